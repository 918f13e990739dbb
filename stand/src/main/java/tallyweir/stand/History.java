package tallyweir.stand;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What happened, as both sides of the program saw it, in the order in which it was seen. */
public final class History {
    /** What may happen. */
    public enum What {
        ASKED,
        RUN,
        HANDLED,
        DEFERRED,
        ERRORED,
        BROKEN,
        NOTHING
    }

    /** @param text of a run and of a handled answer: the result; of an error: {@code at once} or {@code late} */
    public record Event(What what, String mark, String job, String text) {}

    /** What a history tells. */
    public record Verdict(int keys, int ranTwice, int differing, int unanswered, int handled, int repeatsHandled) {}

    private final List<Event> events = new ArrayList<>();

    public synchronized void add(What what, String mark, String job, String text) {
        events.add(new Event(what, mark, job, text));
    }

    /** Reads the whole history and judges it; knows nothing of how the program works. */
    public synchronized Verdict verdict() {
        Map<String, Integer> runs = new HashMap<>();
        Map<String, String> answers = new HashMap<>();
        Map<String, Integer> handled = new HashMap<>();
        Set<String> after = new HashSet<>();
        int differing = 0;
        int unanswered = 0;
        for (Event e : events) {
            switch (e.what) {
                case ASKED -> {
                    runs.putIfAbsent(e.mark, 0);
                    if (answers.containsKey(e.mark)) {
                        after.add(e.job);
                    }
                }
                // Whoever asks once a result is out hears it, or to come again; late errors are those of a full queue.
                case ERRORED -> differing += e.text.equals("at once") && after.contains(e.job) ? 1 : 0;
                case RUN -> runs.merge(e.mark, 1, Integer::sum);
                case HANDLED -> {
                    handled.merge(e.mark, 1, Integer::sum);
                    String before = answers.putIfAbsent(e.mark, e.text);
                    differing += before != null && !before.equals(e.text) ? 1 : 0;
                }
                case NOTHING -> unanswered++;
                default -> {}
            }
        }
        return new Verdict(
                runs.size(),
                (int) runs.values().stream().filter(n -> n > 1).count(),
                differing,
                unanswered,
                handled.size(),
                (int) handled.values().stream().filter(n -> n > 1).count());
    }

    /** How often each job was run. */
    public synchronized Map<String, Integer> runsByJob() {
        Map<String, Integer> runs = new HashMap<>();
        for (Event e : events) {
            if (e.what == What.RUN) {
                runs.merge(e.job, 1, Integer::sum);
            }
        }
        return runs;
    }
}
