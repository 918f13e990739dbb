package tallyweir.tool.scale;

/** A server of a simulated fleet without sockets to callers. */
interface ServerUnderTest {
    /** Where a server's messages go; each is answered by one call, or has failed. */
    interface Network {
        /** Sends a command to the log. */
        void command(byte[] bytes);

        /** Sends a question that is no entry of the log. */
        void question(byte[] bytes);

        /** Has something done by the server at this time, but after the call that is under way. */
        void later(Runnable action);
    }

    /** Tells the time. */
    void clock(long now);

    /** When it has something to do by itself. */
    long next();

    /** The answer to its last command. */
    void answered(byte[] answer);

    /** The answer to its last question. */
    void told(byte[] answer);

    /** No answer came to its last command. */
    void commandFailed();

    /** No answer came to its last question. */
    void questionFailed();

    /** Lets some connections of callers come and go. */
    void drawLoad();

    /** The revision that it acts on, 0 for none. */
    long acting();

    /** Whether it turns new queries away because it has no lease. */
    boolean standsBack();

    /** Connections of a tenant that count now. */
    int connections(int tenant);
}
