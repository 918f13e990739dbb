package tallyweir.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tallyweir.ids.JobId;

/** How long the ids of one-shot queries are known. */
class RecentRunsTest {
    private static final long RETENTION = 1_000;

    private final RecentRuns runs = new RecentRuns(RETENTION);

    private static JobId job(int number) {
        return new JobId(String.format("%016x", number));
    }

    @Test
    void anIdIsKnownForTheRetentionAfterItWasAddedLast() {
        for (int start = 0; start < 3_000; start += 100) {
            runs.add(job(start), start);
        }
        runs.add(job(1), 3_000);
        assertTrue(runs.contains(job(1), 3_000 + RETENTION));
        assertTrue(runs.contains(job(2_900), 2_900 + RETENTION));
        assertFalse(runs.contains(job(2), 3_000));
    }

    /** Ids that were kept for good would fill the memory. */
    @Test
    void idsAreDroppedAfterTwiceTheRetention() {
        for (int i = 0; i < 100; i++) {
            runs.add(job(i), 10L * i);
        }
        runs.add(job(100), 990 + 2 * RETENTION + 2);
        assertEquals(1, runs.size());
        assertFalse(runs.contains(job(99), 990 + 2 * RETENTION + 2));
    }
}
