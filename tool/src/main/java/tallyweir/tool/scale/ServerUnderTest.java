package tallyweir.tool.scale;

import tallyweir.ids.TenantId;

/** A server of a fleet without sockets to callers; it talks to the voters by the client that it was made with. */
interface ServerUnderTest {
    /** Tells the time. */
    void clock(long now);

    /** When it has something to do by itself. */
    long next();

    /** Lets some connections of callers come and go. */
    void drawLoad();

    /** The revision that it acts on, 0 for none. */
    long acting();

    /** Whether it turns new queries away because it has no lease. */
    boolean standsBack();

    /** Connections of a tenant that count now. */
    int connections(TenantId tenant);

    /** Lets go of what the process held beside its memory. */
    void close();
}
