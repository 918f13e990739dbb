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
        s.end = end;
        s.live = live;
        s.puts = puts;
        s.current = current;
        return s;
    }

    private Job next(long now, List<Segment> segments, boolean retired, boolean damage, boolean compacting) {
        return upkeep.next(now, segments, null, retired, damage, compacting);
    }

    @Test
    void whatGivesBackRoomComesFirstThenWhatMends() {
        List<Segment> dead = List.of(segment(1, 900, 0, 5, 0), segment(2, 1_000, 900, 5, 5));
        assertEquals(Job.DELETE, next(0, dead, true, true, true));
        assertEquals(Job.MEND, next(0, dead, false, true, true));
        assertEquals(Job.COMPACT, next(0, dead, false, false, true));
        assertEquals(Job.CHOOSE, next(0, dead, false, false, false));
        List<Segment> full = List.of(segment(1, 1_000, 990, 5, 5));
        assertEquals(Job.NONE, next(599, full, false, false, false));
        assertEquals(Job.SWEEP, next(600, full, false, false, false));
        upkeep.sweep(false);
        upkeep.written(1_001);
        assertEquals(Job.SNAPSHOT, next(601, full, false, false, false));
        upkeep.snapshot(10);
        assertEquals(Job.NONE, next(602, full, false, false, false));
        upkeep.sweep(true);
        assertEquals(Job.SWEEP, next(603, full, false, false, false));
        upkeep.sweep(false);
        upkeep.written(1_500);
        upkeep.snapshot(2_000);
        upkeep.written(3_999);
        assertEquals(
                Job.NONE,
                next(604, full, false, false, false),
                "a large index needs more writes before its next snapshot");
        next(5_000, full, false, false, false);
        upkeep.sweep(false);
        assertEquals(Job.SCRUB, next(5_000, full, false, false, false));
        upkeep.scrub(false);
        assertEquals(Job.NONE, next(5_001, full, false, false, false));
    }

    @Test
    void theSegmentThatKeepsLeastIsChosenOnceEnoughIsDead() {
        Segment a = segment(1, 1_000, 600, 10, 6);
        Segment b = segment(2, 1_000, 450, 10, 5);
        Segment c = segment(3, 1_000, 900, 10, 9);
        assertNull(upkeep.worst(List.of(a, b, c), null, false), "1,050 of 3,000 dead bytes is below half");
        assertSame(b, upkeep.worst(List.of(a, b, c), null, true));
        a.live = 100;
        assertSame(a, upkeep.worst(List.of(a, b, c), null, false));
        assertSame(b, upkeep.worst(List.of(a, b, c), a, false), "the active segment is never chosen");
    }

    @Test
    void whatKeepsNothingGoesAtOnce() {
        Segment empty = segment(2, 10, 0, 0, 0);
        assertSame(empty, upkeep.worst(List.of(segment(1, 1_000, 1_000, 1, 1), empty), null, false));
        assertNull(upkeep.worst(List.of(segment(1, 1_000, 1_000, 1, 1), empty), empty, false));
    }

    @Test
    void aTombstoneIsNeededWhileAnOlderSegmentHoldsWhatIsNotCurrent() {
        Segment old = segment(1, 1_000, 900, 10, 9);
        Segment with = segment(2, 1_000, 500, 5, 5);
        with.tombstones = 40;
        with.lastTombstone = 250;
        assertTrue(Upkeep.needed(with, List.of(old, with)));
        old.current = 10;
        assertFalse(Upkeep.needed(with, List.of(old, with)), "all values of the older segment are current");
        Segment later = segment(3, 1_000, 0, 10, 0);
        assertFalse(Upkeep.needed(with, List.of(old, with, later)), "a later segment holds no older values");
        with.current = 0;
        assertFalse(Upkeep.needed(with, List.of(old, with)), "its own dead values are dropped together with it");
    }

    /** Otherwise a store with few long-lived and many short-lived keys would fill with tombstones. */
    @Test
    void manyTombstonesMakeTheOldestStaleSegmentGo() {
        Segment old = segment(1, 1_000, 990, 10, 9);
        Segment with = segment(2, 3_000, 500, 5, 5);
        with.tombstones = 2_400;
        with.lastTombstone = 250;
        assertSame(old, upkeep.worst(List.of(old, with), null, false));
    }

    /** Heads and unfilled sectors count as dead bytes, but compaction cannot free them. */
    @Test
    void aCompactionThatGaveNothingBackIsNotFollowedAtOnce() {
        List<Segment> half = List.of(segment(1, 1_000, 450, 5, 5), segment(2, 1_000, 450, 5, 5));
        assertEquals(Job.CHOOSE, next(0, half, false, false, false));
        upkeep.compacted(1_000, 900);
        assertEquals(Job.NONE, next(1, half, false, false, false));
        upkeep.written(999);
        assertEquals(Job.NONE, next(2, half, false, false, false));
        upkeep.written(1);
        assertEquals(Job.CHOOSE, next(3, half, false, false, false));
        upkeep.compacted(1_000, 450);
        assertEquals(Job.CHOOSE, next(4, half, false, false, false));
    }
}
