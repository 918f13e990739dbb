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

/** Every interleaving of copies, crashes and faults, and that each guard is what answers one of them. */
class ExplorerTest {
    private static final long MOST = 400_000;

    @Test
    void nothingRunsTwiceWhateverTheOrderOfThreeCopies() {
        Search.Seen seen = Explorer.explore(3, Set.of(), MOST);
        assertEquals(List.of(), seen.wrong());
        assertTrue(seen.states() > 1_000, seen.states() + " states");
        assertTrue(seen.ends() > 10, seen.ends() + " ends");
    }

    @ParameterizedTest
    @EnumSource(Marks.Guard.class)
    void withoutOneGuardSomethingGoesWrong(Marks.Guard guard) {
        Search.Seen seen = Explorer.explore(3, EnumSet.of(guard), MOST);
        assertFalse(seen.wrong().isEmpty(), "nothing went wrong without " + guard);
        assertFalse(seen.wrong().get(0).startsWith("given up"), seen.wrong().get(0));
    }
}
