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
import tallyweir.search.Search;

/** Explores every interleaving of copies, crashes and faults, and shows that each guard prevents a violation. */
class ExplorerTest {
    private static final long MOST = 400_000;

    @Test
    void nothingRunsTwiceWhateverTheOrderOfThreeCopies() {
        Search.Seen result = Explorer.explore(3, Set.of(), MOST);
        assertEquals(List.of(), result.wrong());
        assertTrue(result.states() > 1_000, result.states() + " states");
        assertTrue(result.ends() > 10, result.ends() + " quiescent states");
    }

    @ParameterizedTest
    @EnumSource(Marks.Guard.class)
    void withoutOneGuardSomethingGoesWrong(Marks.Guard guard) {
        Search.Seen result = Explorer.explore(3, EnumSet.of(guard), MOST);
        assertFalse(result.wrong().isEmpty(), "no violation without " + guard);
        assertFalse(result.wrong().get(0).startsWith("given up"), result.wrong().get(0));
    }
}
