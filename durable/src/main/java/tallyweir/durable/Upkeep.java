package tallyweir.durable;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Selects the store's next maintenance job: an ordered list of rules, of which the first that applies wins. Does no
 * input or output; its inputs are passed as arguments. Times are in tenths of a millisecond.
 */
final class Upkeep {
    /**
     * The jobs, each done in small steps. Names are written out by {@code name()}: DELETE removes files of retired
     * segments, MEND repairs damage found by reads, COMPACT continues a compaction and CHOOSE starts one, SWEEP removes
     * expired records, SNAPSHOT writes the index, SCRUB verifies both copies.
     */
    enum Job {
        DELETE,
        MEND,
        COMPACT,
        CHOOSE,
        SWEEP,
        SNAPSHOT,
        SCRUB,
        NONE
    }

    private record Rule(BooleanSupplier condition, Job job) {}

    /** Share of the store's bytes that may be dead before segments are compacted. */
    private final double maxDeadShare;

    private final int segmentBytes;
    private final long scrubInterval;
    private final long sweepInterval;
    private final List<Rule> rules = new ArrayList<>();
    private boolean hasRetired;
    private boolean hasDamage;
    private boolean compacting;
    private Segment candidate;
    private boolean sweeping;
    private boolean scrubbing;
    private boolean scrubRequested;
    private long now;
    private long lastSweepAt;
    private long lastScrubAt;
    private long bytesSinceSnapshot;
    private long snapshotBytes;
    private long compactionPauseBytes;

    /** Share of a segment that its compaction must free for the next compaction to start at once. */
    private static final double MIN_COMPACTION_GAIN = 0.125;

    /**
     * @param maxDeadShare between 0 and 1, both exclusive
     * @param scrubInterval interval between scrub passes, 0 for none
     * @param sweepInterval interval between sweeps for expired records
     */
    Upkeep(double maxDeadShare, int segmentBytes, long scrubInterval, long sweepInterval, long now) {
        this.maxDeadShare = maxDeadShare;
        this.segmentBytes = segmentBytes;
        this.scrubInterval = scrubInterval;
        this.sweepInterval = sweepInterval;
        lastSweepAt = now;
        lastScrubAt = now;
        // Order: jobs that free space at once, repair, jobs that make space, then jobs that are only useful.
        addRule(() -> hasRetired, Job.DELETE);
        addRule(() -> hasDamage, Job.MEND);
        addRule(() -> compacting, Job.COMPACT);
        addRule(() -> candidate != null, Job.CHOOSE);
        addRule(() -> sweeping || this.now - lastSweepAt >= this.sweepInterval, Job.SWEEP);
        addRule(() -> bytesSinceSnapshot > Math.max(this.segmentBytes, 2 * snapshotBytes), Job.SNAPSHOT);
        addRule(
                () -> scrubbing
                        || scrubRequested
                        || this.scrubInterval > 0 && this.now - lastScrubAt >= this.scrubInterval,
                Job.SCRUB);
    }

    private void addRule(BooleanSupplier condition, Job job) {
        rules.add(new Rule(condition, job));
    }

    /**
     * Returns the next job.
     *
     * @param retired whether files of retired segments can be deleted
     * @param damage whether reads have found damage
     * @param compacting whether a segment is being compacted
     */
    Job next(
            long now, Iterable<Segment> segments, Segment active, boolean retired, boolean damage, boolean compacting) {
        this.now = now;
        this.hasRetired = retired;
        this.hasDamage = damage;
        this.compacting = compacting;
        candidate = compacting || compactionPauseBytes > 0 ? null : compactionCandidate(segments, active, false);
        for (Rule r : rules) {
            if (r.condition.getAsBoolean()) {
                return r.job;
            }
        }
        return Job.NONE;
    }

    /**
     * Returns the segment with the smallest share of bytes to move, or null while too few bytes are dead. A segment with
     * nothing left to keep is returned at once; the active segment never is.
     *
     * @param anyDead whether to return a segment however little is dead
     */
    Segment compactionCandidate(Iterable<Segment> segments, Segment active, boolean anyDead) {
        long totalBytes = 0;
        long keptBytes = 0;
        long tombstones = 0;
        Segment best = null;
        Segment oldestStale = null;
        double minKeptShare = Double.MAX_VALUE;
        for (Segment s : segments) {
            long keepsBytes = s.liveBytes + (mayHideOlderValue(s, segments) ? s.tombstoneBytes : 0);
            totalBytes += s.endOffset;
            keptBytes += keepsBytes;
            tombstones += s.tombstoneBytes;
            if (s == active) {
                continue;
            }
            if (keepsBytes == 0) {
                return s;
            }
            if (oldestStale == null && s.hasStaleValues()) {
                oldestStale = s;
            }
            if ((double) keepsBytes / s.endOffset < minKeptShare) {
                minKeptShare = (double) keepsBytes / s.endOffset;
                best = s;
            }
        }
        long deadBytes = totalBytes - keptBytes;
        if (tombstones > maxDeadShare * keptBytes && tombstones > segmentBytes && oldestStale != null) {
            return oldestStale; // its stale values keep the tombstones needed
        }
        return anyDead ? best : deadBytes >= Math.max(segmentBytes, maxDeadShare * totalBytes) ? best : null;
    }

    /** Whether a tombstone of a segment may still hide an older value in another segment. */
    static boolean mayHideOlderValue(Segment s, Iterable<Segment> segments) {
        return s.tombstoneBytes > 0 && mayHideOlderValue(s.lastTombstoneStamp, s, segments);
    }

    /**
     * Whether a tombstone in a segment may still hide an older value in another one. Only a segment created before the
     * tombstone that holds stale values can contain such a value, because dead values are never moved.
     */
    static boolean mayHideOlderValue(long stamp, Segment in, Iterable<Segment> segments) {
        for (Segment o : segments) {
            if (o != in && o.createdStamp < stamp && o.hasStaleValues()) {
                return true;
            }
        }
        return false;
    }

    void onWritten(long bytes) {
        bytesSinceSnapshot += bytes;
        compactionPauseBytes -= bytes;
    }

    /**
     * Records a finished compaction. If it wrote about as many bytes as it freed, only heads and unfilled sectors are
     * dead, and the next compaction waits until one segment's worth of bytes has been written.
     *
     * @param compactedBytes bytes of the compacted segment
     * @param writtenBytes bytes written to replace it
     */
    void onCompacted(long compactedBytes, long writtenBytes) {
        compactionPauseBytes = compactedBytes - writtenBytes < MIN_COMPACTION_GAIN * compactedBytes ? segmentBytes : 0;
    }

    void onSnapshot(long bytes) {
        bytesSinceSnapshot = 0;
        snapshotBytes = bytes;
    }

    void onSweepStep(boolean unfinished) {
        sweeping = unfinished;
        lastSweepAt = now;
    }

    /** Requests a scrub pass regardless of the interval. Returns true if a pass is under way, after which it starts. */
    boolean requestScrub() {
        scrubRequested = true;
        return scrubbing;
    }

    void onScrubStep(boolean unfinished) {
        scrubRequested &= scrubbing; // a pass already under way does not satisfy the request; one that starts now does
        scrubbing = unfinished;
        lastScrubAt = now;
    }
}
