package tallyweir.fleet;

/** What {@link Member} asks its owner to do. No method calls back into the member before it returns. */
public interface MemberActions {
    /**
     * Counts of queries that have ended since the process started.
     *
     * @param bad how many of them were late or errored
     */
    record QueryCounts(long ended, long bad) {}

    /** Counts of the queries that have ended here so far. */
    QueryCounts endedQueries();

    /** Asks the fleet for a slot; followed by {@link Member#onAnswer} or {@link Member#requestFailed}. */
    void join(ServerId server, String listen);

    /** Reports to the fleet; followed by {@link Member#onAnswer} or {@link Member#requestFailed}. */
    void report(Command.Report report);

    /** Checks whether this server could apply a revision; followed by {@link Member#checked}. */
    void check(RevisionRoot revision);

    /** Applies a revision here; followed by {@link Member#applied(RevisionId, Digest, long)} or {@link Member#applyFailed}. */
    void apply(RevisionRoot revision);

    /** Sets whether this server turns new queries away and is taken off the announce service's list. */
    void setWithdrawn(boolean withdrawn);
}
