package tallyweir.fleet;

/**
 * A safeguard behind one of the fleet's guarantees. Written out by name. Only tests and drills switch one off, to show that it is
 * needed.
 */
public enum Guard {
    /** A query is routed under a single revision from start to end. */
    WHOLE,
    /**
     * A change is accepted only if what it is based on, the revision in force or the values of its entries, is still as its author
     * saw it.
     */
    EXPECTED,
    /** Messages of an earlier incarnation are rejected. */
    INCARNATION,
    /** A server stops using the connections lent to it when its lease ends by its own clock. */
    LEASE,
    /** Connections lent to a lost server are lent to others only once no query that it accepted can still be open. */
    WAIT,
    /** The floors are never lent. */
    FLOOR,
    /** The table in use at a server is compared with that of the revision. */
    DIGEST,
    /** A fetched table is used only if its root is the expected one. */
    ROOT,
    /** No more than a configured share of the fleet is shut out at once. */
    MOST_OUT
}
