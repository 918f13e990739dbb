package tallyweir.fleet;

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

/** Explores every order of events of a few servers, and shows that each guard is needed for one of them. */
class ExplorerTest {
    private static final long MAX_STATES = 1_000_000;

    @ParameterizedTest
    @EnumSource(
            value = Explorer.Scene.class,
            names = "STOP",
            mode = EnumSource.Mode.EXCLUDE) // takes too long here; the command "fleet explore" runs it
    void noSceneViolatesAnInvariant(Explorer.Scene scene) {
        ExhaustiveSearch.SearchResult seen = Explorer.explore(scene, Set.of(), MAX_STATES);
        assertEquals(List.of(), seen.violations());
        assertTrue(seen.quiescentStates() > 10, seen.quiescentStates() + " ends");
    }

    @ParameterizedTest
    @EnumSource(value = Guard.class, names = "WHOLE", mode = EnumSource.Mode.EXCLUDE)
    void withoutAGuardAnInvariantIsViolated(Guard guard) {
        ExhaustiveSearch.SearchResult seen =
                Explorer.explore(Explorer.scenesByGuard().get(guard), EnumSet.of(guard), MAX_STATES);
        assertFalse(seen.violations().isEmpty(), "no violation found without " + guard);
        assertFalse(
                seen.violations().get(0).startsWith("given up"),
                seen.violations().get(0));
    }

    @Test
    void withoutTheConditionOnEntriesTwoOperatorsAreBothAccepted() {
        ExhaustiveSearch.SearchResult seen =
                Explorer.explore(Explorer.Scene.CHANGES, EnumSet.of(Guard.EXPECTED), MAX_STATES);
        assertTrue(
                seen.violations().get(0).startsWith("two operators"),
                seen.violations().toString());
    }
}
