package tallyweir.stand;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The events that the stand-ins on both sides of the program observed, in the order of observation. Safe for use by several
 * threads.
 */
public final class History {
    /** The types of events: {@link #RUN} is observed by the kernel, all others by the caller. */
    public enum EventType {
        REQUESTED,
        RUN,
        HANDLED,
        DEFERRED,
        ERRORED,
        DISCONNECTED,
        NO_ANSWER
    }

    /**
     * One event.
     *
     * @param key the idempotency key
     * @param job the id of the query, unique to each request, so it differs between retries of one key
     * @param text the result for a run or a handled answer; {@code at once} or {@code late} for an error
     */
    public record Event(EventType type, String key, String job, String text) {}

    /**
     * The evaluation of a history.
     *
     * @param keys the number of idempotency keys seen
     * @param ranTwice keys whose query ran more than once
     * @param differing answers that differ from the first result of their key, and immediate errors after it
     * @param unanswered requests without an answer
     * @param handled keys with a handled answer
     * @param repeatsHandled keys with more than one handled answer
     */
    public record Verdict(int keys, int ranTwice, int differing, int unanswered, int handled, int repeatsHandled) {}

    private final List<Event> events = new ArrayList<>();

    /** Appends an event. */
    public synchronized void add(EventType type, String key, String job, String text) {
        events.add(new Event(type, key, job, text));
    }

    /** Evaluates the complete history, independently of how the program is implemented. */
    public synchronized Verdict verdict() {
        Map<String, Integer> runs = new HashMap<>();
        Map<String, String> answers = new HashMap<>();
        Map<String, Integer> handled = new HashMap<>();
        Set<String> askedAfterResult = new HashSet<>();
        int differing = 0;
        int unanswered = 0;
        for (Event e : events) {
            switch (e.type) {
                case REQUESTED -> {
                    runs.putIfAbsent(e.key, 0);
                    if (answers.containsKey(e.key)) {
                        askedAfterResult.add(e.job);
                    }
                }
                // After a result was sent, a retry must get that result or be deferred. Late errors are those of a full
                // queue.
                case ERRORED -> differing += e.text.equals("at once") && askedAfterResult.contains(e.job) ? 1 : 0;
                case RUN -> runs.merge(e.key, 1, Integer::sum);
                case HANDLED -> {
                    handled.merge(e.key, 1, Integer::sum);
                    String previous = answers.putIfAbsent(e.key, e.text);
                    differing += previous != null && !previous.equals(e.text) ? 1 : 0;
                }
                case NO_ANSWER -> unanswered++;
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

    /** The number of runs of each job. */
    public synchronized Map<String, Integer> runsByJob() {
        Map<String, Integer> runs = new HashMap<>();
        for (Event e : events) {
            if (e.type == EventType.RUN) {
                runs.merge(e.job, 1, Integer::sum);
            }
        }
        return runs;
    }
}
