package tallyweir.fleet;

import java.util.BitSet;

/** Whether servers fare worse under the revision in force than before, as long as that is new. */
final class Probation {
    /** Who rolls back what made a fleet fare worse. */
    static final String AUTHOR = "probation";

    private static final int JUDGED_IN_LEASE = 40;
    private static final int ENDED_LEAST = 20; // queries, before a server's share of bad ones tells anything
    private static final double WORSE_LEAST = 0.05; // a share below it is not worse, whatever it was before

    private final FleetContext context;
    private final RevisionHistory history;
    private final BitSet worse = new BitSet(); // places of live servers that fare worse
    private long judgedAt;

    Probation(FleetContext context, RevisionHistory history) {
        this.context = context;
        this.history = history;
    }

    /** The revision in force can still be taken back by itself: it is new, followed another, and was no such rollback. */
    boolean isActive() {
        Revision revision = history.inForce();
        return revision != null
                && context.now() < revision.since + context.settings().probation()
                && history.previous() != null
                && !revision.by().equals(AUTHOR);
    }

    /** Another revision is in force. */
    void begin() {
        worse.clear();
    }

    /** A server has said how its queries ended. */
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

    /** Whether a server fares worse is known by its last report. */
    void note(ServerRecord server) {
        worse.set(
                server.place,
                server.status == ServerRecord.Status.LIVE
                        && server.acting.equals(history.inForceId())
                        && server.health.isUnder(history.inForceId())
                        && server.health.tells(ENDED_LEAST)
                        && server.health.worse(context.settings().worseRatio(), WORSE_LEAST));
    }

    void remove(int place) {
        worse.clear(place);
    }

    boolean isDue() {
        long every = Math.max(1, context.settings().lease() / JUDGED_IN_LEASE);
        return isActive() && context.now() >= judgedAt + every;
    }

    /** Whether so many of the live servers fare worse that the revision is to be taken back. */
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
