package tallyweir.durable;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * What the store does for itself between writes: an ordered list of rules, gone through until one fires. Knows no files;
 * the figures come in as arguments.
 */
final class Upkeep {
    /** The jobs, each done in small steps. */
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

    /** Of the bytes a store takes, the share that may be dead before segments are compacted. */
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

    /** Of a segment, the part that its compaction must give back for the next to be worth beginning at once. */
    private static final double GAIN = 0.125;

    /**
     * @param deadShare above 0 and under 1
     * @param scrubEvery the time between passes, tenths of a millisecond, 0 for none
     * @param sweepEvery the time between looks for what has expired, tenths of a millisecond
     */
    Upkeep(double deadShare, int segmentBytes, long scrubEvery, long sweepEvery, long now) {
        this.deadShare = deadShare;
        this.segmentBytes = segmentBytes;
        this.scrubEvery = scrubEvery;
        this.sweepEvery = sweepEvery;
        lastSweep = now;
        lastScrub = now;
        // What gives back room comes first, then what mends, then what makes room, then what only helps.
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
     * What to do next.
     *
     * @param retired whether files wait to be deleted
     * @param damage whether reads came upon damage
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
     * The segment whose compaction gives back most for what it moves, null while too little is dead to bother. The
     * newest is never chosen.
     *
     * @param anyway whether to choose one as soon as anything in it is dead
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
            return oldestStale; // until it goes, no tombstone may
        }
        return anyway ? worst : dead >= Math.max(segmentBytes, deadShare * size) ? worst : null;
    }

    /** Whether a tombstone of a segment may still have to hide an older value elsewhere. */
    static boolean needed(Segment s, Iterable<Segment> segments) {
        return s.tombstones > 0 && needed(s.lastTombstone, s, segments);
    }

    /**
     * Whether a tombstone with a stamp, in a segment, may still have to hide an older value elsewhere: only a segment
     * that was there before it and holds values that are not current can have one, for a dead value is never moved.
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
     * A compaction is through. Where what it wrote is about what it gave back, heads and unfilled sectors are all that
     * is dead, and the next waits until a segment's worth was written.
     *
     * @param segment bytes of the segment that went
     * @param wrote bytes that took its place
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

    /** A pass is wanted whatever the period; true if one is under way, behind which it comes. */
    boolean scrubSoon() {
        scrubWanted = true;
        return scrubbing;
    }

    void scrub(boolean goesOn) {
        scrubWanted &= scrubbing; // a pass under way is not the one that was asked for, one that begins is
        scrubbing = goesOn;
        lastScrub = now;
    }
}
