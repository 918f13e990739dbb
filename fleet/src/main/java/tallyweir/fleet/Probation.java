package tallyweir.fleet;

import java.util.BitSet;

/**
 * Judges, while the revision in force is new, whether servers have more late or errored queries under it than before.
 * Times are tenths of a millisecond by the fleet's clock.
 */
final class Probation {
    /** The author of rollbacks that probation itself makes. */
    static final String AUTHOR = "probation";

    private static final int JUDGED_IN_LEASE = 40;
    private static final int ENDED_LEAST = 20; // a server's share of bad queries is not judged on fewer
    private static final double WORSE_LEAST = 0.05; // a lower share of bad queries never counts as worse

    private final FleetContext context;
    private final RevisionHistory history;
    private final BitSet worse = new BitSet(); // slots of live servers that have more bad queries than before
    private long judgedAt;

    Probation(FleetContext context, RevisionHistory history) {
        this.context = context;
        this.history = history;
    }

    /** Whether the revision in force may be rolled back automatically: new, not the first, and no such rollback itself. */
    boolean isActive() {
        Revision revision = history.inForce();
        return revision != null
                && context.now() < revision.since + context.settings().probation()
                && history.previous() != null
                && !revision.by().equals(AUTHOR);
    }

    /** Starts over for another revision in force. */
    void begin() {
        worse.clear();
    }

    /**
     * Takes a server's counts of ended queries.
     *
     * @param ended since its process started
     * @param bad how many of them were late or errored
     */
    void report(ServerRecord server, long ended, long bad) {
        server.health.under(history.inForceId());
        boolean counts = isActive() && server.acting.equals(history.inForceId());
        server.health.report(
                ended,
                bad,
                counts,
                context.now(),
                Math.max(1, context.settings().probation()));
        note(server);
    }

    /** Updates from a server's last report whether it fares worse. */
    void note(ServerRecord server) {
        worse.set(
                server.place,
                server.status == ServerRecord.Status.LIVE
                        && server.acting.equals(history.inForceId())
                        && server.health.isUnder(history.inForceId())
                        && server.health.tells(ENDED_LEAST)
                        && server.health.worse(context.settings().worseRatio(), WORSE_LEAST));
    }

    void remove(int slot) {
        worse.clear(slot);
    }

    boolean isDue() {
        long every = Math.max(1, context.settings().lease() / JUDGED_IN_LEASE);
        return isActive() && context.now() >= judgedAt + every;
    }

    /**
     * Whether so many live servers fare worse that the revision is to be rolled back.
     *
     * @param live the number of live servers
     */
    boolean judge(int live) {
        judgedAt = context.now();
        int count = worse.cardinality();
        return count > 0 && count >= context.settings().sickShare() * live;
    }

    long judgedAt() {
        return judgedAt;
    }

    void restore(long judgedAt) {
        this.judgedAt = judgedAt;
    }
}
