package tallyweir.fleet;

/**
 * Compares how a server's queries ended before and since the revision in force: how many ended, and how many of those were late or
 * errored. Pairs of counts hold the ended queries first, then the bad ones (late or errored).
 */
final class Health {
    private long ended; // by its last report, since its process started
    private long bad;
    private long since; // start of the current window
    private final long[] span = new long[2];
    private final long[] before = new long[2];
    private final long[] after = new long[2];
    private double usual = -1; // the share of bad queries before the revision in force, -1 if unknown
    private RevisionId inForce = RevisionId.NONE; // the revision since which "after" counts

    /** The server runs in another process, whose counts start at zero. */
    void begin() {
        ended = 0;
        bad = 0;
    }

    /**
     * Takes the totals of a report. While the revision in force is on probation they count as after the change.
     *
     * @param ended queries that ended since the process started
     * @param bad those of them that were late or errored
     * @param length of a window of the time before a change, in the unit of {@code now}
     */
    void report(long ended, long bad, boolean onProbation, long now, long length) {
        long[] to = onProbation ? after : span;
        to[0] += Math.max(0, ended - this.ended);
        to[1] += Math.max(0, bad - this.bad);
        this.ended = ended;
        this.bad = bad;
        if (now - since >= length) {
            before[0] = span[0];
            before[1] = span[1];
            span[0] = 0;
            span[1] = 0;
            since = now;
        }
    }

    /**
     * A revision is in force; if it is another than before, the share of bad queries up to now becomes its baseline.
     */
    void under(RevisionId revision) {
        if (isUnder(revision)) {
            return;
        }
        inForce = revision;
        long of = span[0] + before[0];
        usual = of == 0 ? -1 : (span[1] + before[1]) / (double) of;
        after[0] = 0;
        after[1] = 0;
    }

    /** Whether this is the latest revision passed to {@link #under}. */
    boolean isUnder(RevisionId revision) {
        return inForce.equals(revision);
    }

    /** Whether enough queries have ended since the change for a comparison. */
    boolean tells(int least) {
        return usual >= 0 && after[0] >= least;
    }

    /**
     * Whether the number of bad queries exceeds that expected from the baseline by more than chance explains: by more than three
     * times the square root of the expected number.
     *
     * @param ratio multiple of the baseline that is still allowed
     * @param least share of bad queries that is allowed in any case
     */
    boolean worse(double ratio, double least) {
        double most = after[0] * Math.max(least, ratio * usual);
        return after[1] > most + 3 * Math.sqrt(most);
    }

    SnapshotPart.Counts save() {
        return new SnapshotPart.Counts(
                ended, bad, since, span[0], span[1], before[0], before[1], after[0], after[1], usual, inForce);
    }

    void load(SnapshotPart.Counts saved) {
        ended = saved.ended();
        bad = saved.bad();
        since = saved.since();
        span[0] = saved.spanEnded();
        span[1] = saved.spanBad();
        before[0] = saved.beforeEnded();
        before[1] = saved.beforeBad();
        after[0] = saved.afterEnded();
        after[1] = saved.afterBad();
        usual = saved.usual();
        inForce = saved.inForce();
    }
}
