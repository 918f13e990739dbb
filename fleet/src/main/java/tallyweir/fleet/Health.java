package tallyweir.fleet;

/**
 * Compares how a server's queries ended before and since the revision in force: how many ended, and how many of those were late or
 * errored. Pairs of counts hold the ended queries first, then the bad ones (late or errored).
 */
final class Health {
    private long endedQueries; // by its last report, since its process started
    private long badQueries;
    private long windowStartedAt; // start of the current window
    private final long[] currentWindow = new long[2];
    private final long[] previousWindow = new long[2];
    private final long[] sinceChange = new long[2];
    private double baselineBadShare = -1; // the share of bad queries before the revision in force, -1 if unknown
    private RevisionId inForce = RevisionId.NONE; // the revision since which "after" counts

    /** The server runs in another process, whose counts start at zero. */
    void onProcessStart() {
        endedQueries = 0;
        badQueries = 0;
    }

    /**
     * Takes the totals of a report. While the revision in force is on probation they count as after the change.
     *
     * @param endedQueries queries that ended since the process started
     * @param badQueries those of them that were late or errored
     * @param windowDuration of a window of the time before a change, in the unit of {@code now}
     */
    void report(long endedQueries, long badQueries, boolean onProbation, long now, long windowDuration) {
        long[] counts = onProbation ? sinceChange : currentWindow;
        counts[0] += Math.max(0, endedQueries - this.endedQueries);
        counts[1] += Math.max(0, badQueries - this.badQueries);
        this.endedQueries = endedQueries;
        this.badQueries = badQueries;
        if (now - windowStartedAt >= windowDuration) {
            previousWindow[0] = currentWindow[0];
            previousWindow[1] = currentWindow[1];
            currentWindow[0] = 0;
            currentWindow[1] = 0;
            windowStartedAt = now;
        }
    }

    /**
     * A revision is in force; if it is another than before, the share of bad queries up to now becomes its baseline.
     */
    void onRevisionInForce(RevisionId revision) {
        if (isInForce(revision)) {
            return;
        }
        inForce = revision;
        long total = currentWindow[0] + previousWindow[0];
        baselineBadShare = total == 0 ? -1 : (currentWindow[1] + previousWindow[1]) / (double) total;
        sinceChange[0] = 0;
        sinceChange[1] = 0;
    }

    /** Whether this is the latest revision passed to {@link #onRevisionInForce}. */
    boolean isInForce(RevisionId revision) {
        return inForce.equals(revision);
    }

    /** Whether enough queries have ended since the change for a comparison. */
    boolean isConclusive(int minQueries) {
        return baselineBadShare >= 0 && sinceChange[0] >= minQueries;
    }

    /**
     * Whether the number of bad queries exceeds that expected from the baseline by more than chance explains: by more than three
     * times the square root of the expected number.
     *
     * @param maxRatio multiple of the baseline that is still allowed
     * @param minBadShare share of bad queries that is allowed in any case
     */
    boolean isWorse(double maxRatio, double minBadShare) {
        double expectedBad = sinceChange[0] * Math.max(minBadShare, maxRatio * baselineBadShare);
        return sinceChange[1] > expectedBad + 3 * Math.sqrt(expectedBad);
    }

    SnapshotPart.Counts save() {
        return new SnapshotPart.Counts(
                endedQueries,
                badQueries,
                windowStartedAt,
                currentWindow[0],
                currentWindow[1],
                previousWindow[0],
                previousWindow[1],
                sinceChange[0],
                sinceChange[1],
                baselineBadShare,
                inForce);
    }

    void load(SnapshotPart.Counts saved) {
        endedQueries = saved.ended();
        badQueries = saved.bad();
        windowStartedAt = saved.windowStartedAt();
        currentWindow[0] = saved.windowEnded();
        currentWindow[1] = saved.windowBad();
        previousWindow[0] = saved.beforeEnded();
        previousWindow[1] = saved.beforeBad();
        sinceChange[0] = saved.afterEnded();
        sinceChange[1] = saved.afterBad();
        baselineBadShare = saved.baselineBadShare();
        inForce = saved.inForce();
    }
}
