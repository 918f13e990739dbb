package tallyweir.search;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Explicit-state search in the manner of Holzmann and others: tries every order of events that the system allows and
 * checks the rules in each state. Each state is reached by replaying its events from the start, so no state has to be
 * copied; states with equal descriptions are expanded once.
 */
public final class ExhaustiveSearch {
    /**
     * The result of a search.
     *
     * @param states distinct states reached
     * @param steps actions carried out, replays not counted
     * @param quiescentStates in which the system was quiescent
     * @param violations each with the actions that lead to it; empty if there is none
     */
    public record SearchResult(long states, long steps, long quiescentStates, List<String> violations) {}

    private ExhaustiveSearch() {}

    /**
     * Explores all states breadth first, until the first state with a violation has been expanded.
     *
     * @param initial creates the system in its initial state
     * @param maxStates after which the search ends with a violation that says so
     */
    public static SearchResult explore(Supplier<? extends SearchableSystem> initial, long maxStates) {
        Set<String> visited = new HashSet<>();
        ArrayDeque<List<String>> frontier = new ArrayDeque<>();
        List<String> violations = new ArrayList<>();
        frontier.add(List.of());
        visited.add(initial.get().describe());
        long steps = 0;
        long quiescentStates = 0;
        while (!frontier.isEmpty() && violations.isEmpty()) {
            List<String> path = frontier.poll();
            SearchableSystem before = replay(initial, path);
            List<String> enabled = before.enabledActions();
            if (before.isQuiescent(enabled)) {
                quiescentStates++;
                String violation = before.quiescentViolation();
                if (violation != null) {
                    violations.add(violation + ": " + path);
                }
            }
            for (String action : enabled) {
                SearchableSystem after = replay(initial, path);
                after.perform(action);
                steps++;
                List<String> extended = new ArrayList<>(path);
                extended.add(action);
                after.violations().forEach(broken -> violations.add(broken + ": " + extended));
                if (visited.add(after.describe())) {
                    frontier.add(extended);
                }
            }
            if (visited.size() > maxStates) {
                violations.add("given up after " + maxStates + " states");
            }
        }
        return new SearchResult(visited.size(), steps, quiescentStates, violations);
    }

    private static SearchableSystem replay(Supplier<? extends SearchableSystem> initial, List<String> path) {
        SearchableSystem system = initial.get();
        path.forEach(system::perform);
        return system;
    }
}
