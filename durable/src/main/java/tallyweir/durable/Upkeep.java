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

    private record Rule(BooleanSupplier when, Job then) {}

    /** Share of the store's bytes that may be dead before segments are compacted. */
    private final double deadShare;

    private final int segmentBytes;
    private final long scrubEvery;
    private final long sweepEvery;
    private final List<Rule> rules = new ArrayList<>();
    private boolean retired;
    private boolean damage;
    private boolean compacting;
    private Segment worst;
    private boolean sweeping;
    private boolean scrubbing;
    private boolean scrubWanted;
    private long now;
    private long lastSweep;
    private long lastScrub;
    private long sinceSnapshot;
    private long snapshotSize;
    private long noGain;

    /** Share of a segment that its compaction must free for the next compaction to start at once. */
    private static final double GAIN = 0.125;

    /**
     * @param deadShare between 0 and 1, both exclusive
     * @param scrubEvery interval between scrub passes, 0 for none
     * @param sweepEvery interval between sweeps for expired records
     */
    Upkeep(double deadShare, int segmentBytes, long scrubEvery, long sweepEvery, long now) {
        this.deadShare = deadShare;
        this.segmentBytes = segmentBytes;
        this.scrubEvery = scrubEvery;
        this.sweepEvery = sweepEvery;
        lastSweep = now;
        lastScrub = now;
        // Order: jobs that free space at once, repair, jobs that make space, then jobs that are only useful.
        rule(() -> retired, Job.DELETE);
        rule(() -> damage, Job.MEND);
        rule(() -> compacting, Job.COMPACT);
        rule(() -> worst != null, Job.CHOOSE);
        rule(() -> sweeping || this.now - lastSweep >= this.sweepEvery, Job.SWEEP);
        rule(() -> sinceSnapshot > Math.max(this.segmentBytes, 2 * snapshotSize), Job.SNAPSHOT);
        rule(
                () -> scrubbing || scrubWanted || this.scrubEvery > 0 && this.now - lastScrub >= this.scrubEvery,
                Job.SCRUB);
    }

    private void rule(BooleanSupplier when, Job then) {
        rules.add(new Rule(when, then));
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
        this.retired = retired;
        this.damage = damage;
        this.compacting = compacting;
        worst = compacting || noGain > 0 ? null : worst(segments, active, false);
        for (Rule r : rules) {
            if (r.when.getAsBoolean()) {
                return r.then;
            }
        }
        return Job.NONE;
    }

    /**
     * Returns the segment with the smallest share of bytes to move, or null while too few bytes are dead. A segment with
     * nothing left to keep is returned at once; the active segment never is.
     *
     * @param anyway whether to return a segment however little is dead
     */
    Segment worst(Iterable<Segment> segments, Segment active, boolean anyway) {
        long size = 0;
        long kept = 0;
        long tombstones = 0;
        Segment worst = null;
        Segment oldestStale = null;
        double least = Double.MAX_VALUE;
        for (Segment s : segments) {
            long keeps = s.live + (needed(s, segments) ? s.tombstones : 0);
            size += s.end;
            kept += keeps;
            tombstones += s.tombstones;
            if (s == active) {
                continue;
            }
            if (keeps == 0) {
                return s;
            }
            if (oldestStale == null && s.hasStale()) {
                oldestStale = s;
            }
            if ((double) keeps / s.end < least) {
                least = (double) keeps / s.end;
                worst = s;
            }
        }
        long dead = size - kept;
        if (tombstones > deadShare * kept && tombstones > segmentBytes && oldestStale != null) {
            return oldestStale; // its stale values keep the tombstones needed
        }
        return anyway ? worst : dead >= Math.max(segmentBytes, deadShare * size) ? worst : null;
    }

    /** Whether a tombstone of a segment may still hide an older value in another segment. */
    static boolean needed(Segment s, Iterable<Segment> segments) {
        return s.tombstones > 0 && needed(s.lastTombstone, s, segments);
    }

    /**
     * Whether a tombstone in a segment may still hide an older value in another one. Only a segment created before the
     * tombstone that holds stale values can contain such a value, because dead values are never moved.
     */
    static boolean needed(long stamp, Segment in, Iterable<Segment> segments) {
        for (Segment o : segments) {
            if (o != in && o.created < stamp && o.hasStale()) {
                return true;
            }
        }
        return false;
    }

    void written(long bytes) {
        sinceSnapshot += bytes;
        noGain -= bytes;
    }

    /**
     * Records a finished compaction. If it wrote about as many bytes as it freed, only heads and unfilled sectors are
     * dead, and the next compaction waits until one segment's worth of bytes has been written.
     *
     * @param segment bytes of the compacted segment
     * @param wrote bytes written to replace it
     */
    void compacted(long segment, long wrote) {
        noGain = segment - wrote < GAIN * segment ? segmentBytes : 0;
    }

    void snapshot(long size) {
        sinceSnapshot = 0;
        snapshotSize = size;
    }

    void sweep(boolean goesOn) {
        sweeping = goesOn;
        lastSweep = now;
    }

    /** Requests a scrub pass regardless of the interval. Returns true if a pass is under way, after which it starts. */
    boolean scrubSoon() {
        scrubWanted = true;
        return scrubbing;
    }

    void scrub(boolean goesOn) {
        scrubWanted &= scrubbing; // a pass already under way does not satisfy the request; one that starts now does
        scrubbing = goesOn;
        lastScrub = now;
    }
}
