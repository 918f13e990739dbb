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
import tallyweir.search.Search;

/** Explores every order of events of a few servers, and shows that each guard is needed for one of them. */
class ExplorerTest {
    private static final long MOST = 1_000_000;

    @ParameterizedTest
    @EnumSource(
            value = Explorer.Scene.class,
            names = "STOP",
            mode = EnumSource.Mode.EXCLUDE) // takes too long here; the command "fleet explore" runs it
    void nothingGoesWrong(Explorer.Scene scene) {
        Search.Seen seen = Explorer.explore(scene, Set.of(), MOST);
        assertEquals(List.of(), seen.wrong());
        assertTrue(seen.ends() > 10, seen.ends() + " ends");
    }

    @ParameterizedTest
    @EnumSource(value = Guard.class, names = "WHOLE", mode = EnumSource.Mode.EXCLUDE)
    void withoutOneGuardSomethingGoesWrong(Guard guard) {
        Search.Seen seen = Explorer.explore(Explorer.guards().get(guard), EnumSet.of(guard), MOST);
        assertFalse(seen.wrong().isEmpty(), "no violation found without " + guard);
        assertFalse(seen.wrong().get(0).startsWith("given up"), seen.wrong().get(0));
    }

    @Test
    void withoutTheConditionOnEntriesTwoOperatorsAreBothToldThatTheirsIsTaken() {
        Search.Seen seen = Explorer.explore(Explorer.Scene.CHANGES, EnumSet.of(Guard.EXPECTED), MOST);
        assertTrue(seen.wrong().get(0).startsWith("two operators"), seen.wrong().toString());
    }
}
