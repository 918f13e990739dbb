package tallyweir.fleet;

/** What keeps the fleet's promises. Checks switch one off to see that it is needed; nothing else does. */
public enum Guard {
    /** A query is routed under one revision from first to last. */
    WHOLE,
    /** A revision is taken only if the one in force is still the one that its author saw. */
    EXPECTED,
    /** What an earlier incarnation says is turned down. */
    INCARNATION,
    /** A server knows by its own clock that what it was lent is over. */
    LEASE,
    /** What a lost server held is lent on only once nothing it had accepted can still be open. */
    WAIT,
    /** The floors are never lent. */
    FLOOR,
    /** What is in force at a server is compared with what the revision says. */
    DIGEST,
    /** A table that was fetched is used only if its root is the one that was promised. */
    ROOT,
    /** No more than a set share of the fleet is shut out at once. */
    MOST_OUT
}
