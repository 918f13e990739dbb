package tallyweir.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Injects the faults that the store must survive, and checks that each defence is needed to survive them. */
class FaultInjectionTest {
    private static final int SEEDS = 6;

    @Test
    void survivesPowerFailureAtEveryOperation() {
        Drill.Tally all = new Drill.Tally();
        for (int seed = 0; seed < SEEDS; seed++) {
            all.add(Drill.powerCuts(seed, 40, 1, 3, Set.of()));
        }
        assertEquals(List.of(), all.violations());
        assertTrue(all.openings() > 5_000, "only " + all.openings() + " openings");
        assertTrue(all.cutInOpening() > 500, "only " + all.cutInOpening() + " cut in the opening");
    }

    @Test
    void survivesFailedForcesFullDiskAndReadOnlyDisk() {
        Drill.Tally all = new Drill.Tally();
        for (int seed = 0; seed < SEEDS; seed++) {
            all.add(Drill.diskFaults(seed, 80, Set.of()));
        }
        all.add(Drill.diskFaults(
                7, 400, Set.of())); // the clock steps back before an expiry time that compaction has acted on
        assertEquals(List.of(), all.violations());
    }

    @Test
    void oldVersionsDoNotReappear() {
        assertEquals(List.of(), Drill.staleVersions(1, 400, Set.of()).violations());
    }

    @Test
    void writesAcknowledgedByTwoProcessesAreFoundWithoutLock() {
        Drill.Tally t = Drill.takeovers(1, 1_500, Set.of());
        assertEquals(List.of(), t.violations());
        assertTrue(t.openings() > 3_500, "only " + t.openings() + " openings");
    }

    @Test
    void survivesTruncationAndDamageAtEveryOffset() throws IOException {
        Drill.Tally t = Drill.fileDamage(null, 3, 60, 1, 4, Set.of());
        assertEquals(List.of(), t.violations());
        assertTrue(t.openings() > 20_000, "only " + t.openings() + " openings");
    }

    @Test
    void survivesTruncationAndDamageOnFileSystem(@TempDir Path dir) throws IOException {
        Drill.Tally t = Drill.fileDamage(dir, 4, 30, 41, 4, Set.of());
        assertEquals(List.of(), t.violations());
        assertTrue(t.openings() > 200, "only " + t.openings() + " openings");
    }

    /** A defence is shown to be needed only if a fault without it breaks the store. */
    @ParameterizedTest
    @EnumSource(Defence.class)
    void storeFailsWithoutAnyOneDefence(Defence defence) throws IOException {
        Set<Defence> without = EnumSet.of(defence);
        Drill.Tally all = new Drill.Tally();
        for (int seed = 0; seed < SEEDS && all.passed(); seed++) {
            all.add(Drill.fileDamage(null, seed, 60, 7, 4, without));
            all.add(Drill.powerCuts(seed, 40, 1, 3, without));
            all.add(Drill.diskFaults(seed, 80, without));
            all.add(Drill.staleVersions(seed, 100, without));
            all.add(Drill.takeovers(seed, 100, without));
        }
        assertFalse(all.passed(), "nothing went wrong without " + defence);
    }
}
