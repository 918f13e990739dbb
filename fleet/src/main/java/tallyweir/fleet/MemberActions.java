package tallyweir.fleet;

/** What a server's own side of the fleet asks for. None of these calls back before it returns. */
public interface MemberActions {
    /**
     * Queries that have ended since the process began.
     *
     * @param bad of them, late or errored
     */
    record Ended(long ended, long bad) {}

    /** How many queries have ended here so far. */
    Ended ended();

    /** Asks the fleet for a place; its answer comes back, or failed. */
    void join(ServerId server, String listen);

    /** Reports to the fleet; its answer comes back, or failed. */
    void report(Command.Report report);

    /** Finds out whether this server could act on a revision; checked comes back. */
    void check(RevisionRoot revision);

    /** Brings a revision into force here; acting comes back, or cannotAct. */
    void act(RevisionRoot revision);

    /** Whether this server is to turn new queries away and be announced no more. */
    void standBack(boolean back);
}
