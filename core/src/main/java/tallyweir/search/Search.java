package tallyweir.search;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Plays every order of events that a world can bring about and looks in each state at what must never be. Every state is
 * reached by playing its events anew, so nothing need be copied; states that look the same are gone on from once
 * (Holzmann's and others' explicit search).
 */
public final class Search {
    /** What was seen. */
    public record Seen(long states, long steps, long ends, List<String> wrong) {}

    private Search() {}

    /** @param most states at the most, after which it gives up and says so */
    public static Seen explore(Supplier<? extends World> start, long most) {
        Set<String> known = new HashSet<>();
        ArrayDeque<List<String>> open = new ArrayDeque<>();
        List<String> wrong = new ArrayList<>();
        open.add(List.of());
        known.add(start.get().describe());
        long steps = 0;
        long ends = 0;
        while (!open.isEmpty() && wrong.isEmpty()) {
            List<String> path = open.poll();
            World before = played(start, path);
            List<String> next = before.enabled();
            if (before.rests(next)) {
                ends++;
                String rest = before.wrongAtRest();
                if (rest != null) {
                    wrong.add(rest + ": " + path);
                }
            }
            for (String action : next) {
                World w = played(start, path);
                w.act(action);
                steps++;
                List<String> here = new ArrayList<>(path);
                here.add(action);
                w.wrong().forEach(x -> wrong.add(x + ": " + here));
                if (known.add(w.describe())) {
                    open.add(here);
                }
            }
            if (known.size() > most) {
                wrong.add("given up after " + most + " states");
            }
        }
        return new Seen(known.size(), steps, ends, wrong);
    }

    private static World played(Supplier<? extends World> start, List<String> path) {
        World w = start.get();
        path.forEach(w::act);
        return w;
    }
}
