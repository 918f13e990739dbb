package tallyweir.fleet;

import java.util.BitSet;

/**
 * Judges, while the revision in force is new, whether servers have more late or errored queries under it than before.
 * Times are tenths of a millisecond by the fleet's clock.
 */
final class Probation {
    /** The author of rollbacks that probation itself makes. */
    static final String AUTHOR = "probation";

    private static final int JUDGEMENTS_PER_LEASE = 40;
    private static final int MIN_ENDED_QUERIES = 20; // a server's share of bad queries is not judged on fewer
    private static final double MIN_WORSE_SHARE = 0.05; // a lower share of bad queries never counts as worse

    private final FleetContext context;
    private final RevisionHistory history;
    private final BitSet worseSlots = new BitSet(); // slots of live servers that have more bad queries than before
    private long judgedAt;

    Probation(FleetContext context, RevisionHistory history) {
        this.context = context;
        this.history = history;
    }

    /** Whether the revision in force may be rolled back automatically: new, not the first, and no such rollback itself. */
    boolean isActive() {
        Revision revision = history.inForce();
        return revision != null
                && context.now() < revision.inForceAt + context.settings().probationDuration()
                && history.previous() != null
                && !revision.author().equals(AUTHOR);
    }

    /** Starts over for another revision in force. */
    void begin() {
        worseSlots.clear();
    }

    /**
     * Takes a server's counts of ended queries.
     *
     * @param ended since its process started
     * @param bad how many of them were late or errored
     */
    void report(ServerRecord server, long ended, long bad) {
        server.health.onRevisionInForce(history.inForceId());
        boolean counts = isActive() && server.appliedRevision.equals(history.inForceId());
        server.health.report(
                ended,
                bad,
                counts,
                context.now(),
                Math.max(1, context.settings().probationDuration()));
        update(server);
    }

    /** Updates from a server's last report whether it fares worse. */
    void update(ServerRecord server) {
        worseSlots.set(
                server.slot,
                server.status == ServerRecord.Status.LIVE
                        && server.appliedRevision.equals(history.inForceId())
                        && server.health.isInForce(history.inForceId())
                        && server.health.isConclusive(MIN_ENDED_QUERIES)
                        && server.health.isWorse(context.settings().maxBadShareRatio(), MIN_WORSE_SHARE));
    }

    void remove(int slot) {
        worseSlots.clear(slot);
    }

    boolean isDue() {
        long interval = Math.max(1, context.settings().leaseDuration() / JUDGEMENTS_PER_LEASE);
        return isActive() && context.now() >= judgedAt + interval;
    }

    /**
     * Whether so many live servers fare worse that the revision is to be rolled back.
     *
     * @param live the number of live servers
     */
    boolean judge(int live) {
        judgedAt = context.now();
        int count = worseSlots.cardinality();
        return count > 0 && count >= context.settings().minWorseServersShare() * live;
    }

    long judgedAt() {
        return judgedAt;
    }

    void restore(long judgedAt) {
        this.judgedAt = judgedAt;
    }
}
