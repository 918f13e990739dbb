package tallyweir.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tallyweir.durable.Upkeep.Job;

/** Selection of upkeep jobs and of segments to compact. */
class UpkeepTest {
    private final Upkeep upkeep = new Upkeep(0.5, 1_000, 5_000, 600, 0);

    private static Segment segment(int number, long end, long live, long puts, long current) {
        Segment s = new Segment(number, number, number * 100L, null, null);
        s.endOffset = end;
        s.liveBytes = live;
        s.valueCount = puts;
        s.currentCount = current;
        return s;
    }

    private Job next(long now, List<Segment> segments, boolean retired, boolean damage, boolean compacting) {
        return upkeep.next(now, segments, null, retired, damage, compacting);
    }

    @Test
    void jobsThatFreeSpaceComeBeforeRepair() {
        List<Segment> dead = List.of(segment(1, 900, 0, 5, 0), segment(2, 1_000, 900, 5, 5));
        assertEquals(Job.DELETE, next(0, dead, true, true, true));
        assertEquals(Job.MEND, next(0, dead, false, true, true));
        assertEquals(Job.COMPACT, next(0, dead, false, false, true));
        assertEquals(Job.CHOOSE, next(0, dead, false, false, false));
        List<Segment> full = List.of(segment(1, 1_000, 990, 5, 5));
        assertEquals(Job.NONE, next(599, full, false, false, false));
        assertEquals(Job.SWEEP, next(600, full, false, false, false));
        upkeep.onSweepStep(false);
        upkeep.onWritten(1_001);
        assertEquals(Job.SNAPSHOT, next(601, full, false, false, false));
        upkeep.onSnapshot(10);
        assertEquals(Job.NONE, next(602, full, false, false, false));
        upkeep.onSweepStep(true);
        assertEquals(Job.SWEEP, next(603, full, false, false, false));
        upkeep.onSweepStep(false);
        upkeep.onWritten(1_500);
        upkeep.onSnapshot(2_000);
        upkeep.onWritten(3_999);
        assertEquals(
                Job.NONE,
                next(604, full, false, false, false),
                "a large index needs more writes before its next snapshot");
        next(5_000, full, false, false, false);
        upkeep.onSweepStep(false);
        assertEquals(Job.SCRUB, next(5_000, full, false, false, false));
        upkeep.onScrubStep(false);
        assertEquals(Job.NONE, next(5_001, full, false, false, false));
    }

    @Test
    void choosesSegmentWithLeastLiveBytesOnceEnoughIsDead() {
        Segment a = segment(1, 1_000, 600, 10, 6);
        Segment b = segment(2, 1_000, 450, 10, 5);
        Segment c = segment(3, 1_000, 900, 10, 9);
        assertNull(
                upkeep.compactionCandidate(List.of(a, b, c), null, false), "1,050 of 3,000 dead bytes is below half");
        assertSame(b, upkeep.compactionCandidate(List.of(a, b, c), null, true));
        a.liveBytes = 100;
        assertSame(a, upkeep.compactionCandidate(List.of(a, b, c), null, false));
        assertSame(b, upkeep.compactionCandidate(List.of(a, b, c), a, false), "the active segment is never chosen");
    }

    @Test
    void emptySegmentIsChosenAtOnce() {
        Segment empty = segment(2, 10, 0, 0, 0);
        assertSame(empty, upkeep.compactionCandidate(List.of(segment(1, 1_000, 1_000, 1, 1), empty), null, false));
        assertNull(upkeep.compactionCandidate(List.of(segment(1, 1_000, 1_000, 1, 1), empty), empty, false));
    }

    @Test
    void tombstoneIsNeededWhileAnOlderSegmentHasStaleValues() {
        Segment old = segment(1, 1_000, 900, 10, 9);
        Segment with = segment(2, 1_000, 500, 5, 5);
        with.tombstoneBytes = 40;
        with.lastTombstoneStamp = 250;
        assertTrue(Upkeep.mayHideOlderValue(with, List.of(old, with)));
        old.currentCount = 10;
        assertFalse(Upkeep.mayHideOlderValue(with, List.of(old, with)), "all values of the older segment are current");
        Segment later = segment(3, 1_000, 0, 10, 0);
        assertFalse(Upkeep.mayHideOlderValue(with, List.of(old, with, later)), "a later segment holds no older values");
        with.currentCount = 0;
        assertFalse(
                Upkeep.mayHideOlderValue(with, List.of(old, with)), "its own dead values are dropped together with it");
    }

    /** Otherwise a store with few long-lived and many short-lived keys would fill with tombstones. */
    @Test
    void manyTombstonesSelectTheOldestStaleSegment() {
        Segment old = segment(1, 1_000, 990, 10, 9);
        Segment with = segment(2, 3_000, 500, 5, 5);
        with.tombstoneBytes = 2_400;
        with.lastTombstoneStamp = 250;
        assertSame(old, upkeep.compactionCandidate(List.of(old, with), null, false));
    }

    /** Heads and unfilled sectors count as dead bytes, but compaction cannot free them. */
    @Test
    void compactionWithoutGainDelaysTheNext() {
        List<Segment> half = List.of(segment(1, 1_000, 450, 5, 5), segment(2, 1_000, 450, 5, 5));
        assertEquals(Job.CHOOSE, next(0, half, false, false, false));
        upkeep.onCompacted(1_000, 900);
        assertEquals(Job.NONE, next(1, half, false, false, false));
        upkeep.onWritten(999);
        assertEquals(Job.NONE, next(2, half, false, false, false));
        upkeep.onWritten(1);
        assertEquals(Job.CHOOSE, next(3, half, false, false, false));
        upkeep.onCompacted(1_000, 450);
        assertEquals(Job.CHOOSE, next(4, half, false, false, false));
    }
}
