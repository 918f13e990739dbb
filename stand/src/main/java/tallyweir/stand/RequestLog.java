package tallyweir.stand;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Collects the outcomes of all requests of a test run. Safe for use by several threads. */
public final class RequestLog implements AutoCloseable {
    private static final double NANOS_PER_MS = 1e6;

    private final SchedulingLag lag = new SchedulingLag();
    private final SplittableRandom random;
    private final List<RequestOutcome> outcomes = new ArrayList<>();
    private final Map<String, Integer> answersById = new ConcurrentHashMap<>();

    public RequestLog(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Creates a new Request-Id. */
    public synchronized String newId() {
        return String.format("%016x", random.nextLong());
    }

    /** Creates a random number generator for one caller, independent of those of other callers. */
    public synchronized SplittableRandom newRandom() {
        return random.split();
    }

    /**
     * Whether the time since {@code startedAt} exceeds a maximum even after the machine's own scheduling lag in that time is
     * subtracted.
     */
    boolean exceeds(long startedAt, long maxNanos) {
        long elapsed = System.nanoTime() - startedAt;
        return elapsed > maxNanos && elapsed - lag.maxNanosSince(startedAt) > maxNanos;
    }

    synchronized void add(RequestOutcome outcome) {
        outcomes.add(outcome);
    }

    void onAnswered(String id) {
        answersById.merge(id, 1, Integer::sum);
    }

    /** The number of requests that got more than one complete answer. */
    public long countAnsweredTwice() {
        return answersById.values().stream().filter(n -> n > 1).count();
    }

    /** A copy of the outcomes so far. */
    public synchronized List<RequestOutcome> allOutcomes() {
        return List.copyOf(outcomes);
    }

    /**
     * The requests that should have been answered but were not. A connection that ended when the server was killed was not closed
     * while idle, so its requests did not cross a regular close and count as lost too.
     *
     * @param killedAt when the server was killed, by {@link System#nanoTime()}
     */
    public List<RequestOutcome> lost(long killedAt) {
        return allOutcomes().stream()
                .filter(outcome -> outcome.isLost()
                        || outcome.end() == RequestOutcome.End.CROSSED && outcome.endedAt() >= killedAt)
                .toList();
    }

    /** The number of requests by how they ended. */
    public Map<RequestOutcome.End, Integer> countByEnd() {
        Map<RequestOutcome.End, Integer> counts = new TreeMap<>();
        allOutcomes().forEach(outcome -> counts.merge(outcome.end(), 1, Integer::sum));
        return counts;
    }

    /** Describes each lost request on a line of its own, with times in milliseconds before {@code endedAt}. */
    public static String describe(List<RequestOutcome> lost, long endedAt) {
        StringBuilder text = new StringBuilder();
        for (RequestOutcome outcome : lost) {
            text.append(String.format(
                    "%n%s by %s: connected %.1f, written %.1f, %s seen %.1f ms before the end%s",
                    outcome.id(),
                    outcome.caller(),
                    (endedAt - outcome.connectedAt()) / NANOS_PER_MS,
                    (endedAt - outcome.writtenAt()) / NANOS_PER_MS,
                    outcome.end(),
                    (endedAt - outcome.endedAt()) / NANOS_PER_MS,
                    outcome.resent() ? ", a resend" : ""));
        }
        return text.toString();
    }

    @Override
    public void close() {
        lag.close();
    }
}
