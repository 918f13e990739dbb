package tallyweir.results;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tallyweir.search.ExhaustiveSearch;

/** Explores every interleaving of copies, crashes and faults, and shows that each guard prevents a violation. */
class ExplorerTest {
    private static final long MAX_STATES = 400_000;

    @Test
    void nothingRunsTwiceInAnyOrderOfThreeCopies() {
        ExhaustiveSearch.SearchResult result = Explorer.explore(3, Set.of(), MAX_STATES);
        assertEquals(List.of(), result.violations());
        assertTrue(result.states() > 1_000, result.states() + " states");
        assertTrue(result.quiescentStates() > 10, result.quiescentStates() + " quiescent states");
    }

    @ParameterizedTest
    @EnumSource(IdempotencyTracker.Guard.class)
    void violationIsFoundWithoutAnyOneGuard(IdempotencyTracker.Guard guard) {
        ExhaustiveSearch.SearchResult result = Explorer.explore(3, EnumSet.of(guard), MAX_STATES);
        assertFalse(result.violations().isEmpty(), "no violation without " + guard);
        assertFalse(
                result.violations().get(0).startsWith("given up"),
                result.violations().get(0));
    }
}
