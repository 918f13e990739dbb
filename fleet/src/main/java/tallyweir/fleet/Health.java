package tallyweir.fleet;

/** How a server's queries ended before and since it acts on the revision in force: of how many, how many late or errored. */
final class Health {
    private long ended; // by its last report, since its process began
    private long bad;
    private long since; // when the span under way began
    private final long[] span = new long[2];
    private final long[] before = new long[2];
    private final long[] after = new long[2];
    private double usual = -1; // the share before the revision in force, -1 for not known
    private RevisionId inForce = RevisionId.NONE; // that after counts from

    /** Another process: its counts begin at zero. */
    void begin() {
        ended = 0;
        bad = 0;
    }

    /** What has ended since the process began; counts as after the change while that is on probation. */
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

    /** A revision is in force; if it is another, what was is what it is held against. */
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

    /** Whether it has been told that this revision is in force. */
    boolean isUnder(RevisionId revision) {
        return inForce.equals(revision);
    }

    /** Whether enough has ended since to tell. */
    boolean tells(int least) {
        return usual >= 0 && after[0] >= least;
    }

    /** More are bad than that ratio to before, by more than chance makes of so few (three times the root of their number). */
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
