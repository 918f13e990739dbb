package tallyweir.stand;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Collects the outcomes of all requests of a test run. Safe for use by several threads. */
public final class RequestLog implements AutoCloseable {
    private static final double MILLION = 1e6;

    private final RigLag lag = new RigLag();
    private final SplittableRandom chance;
    private final List<RequestFate> fates = new ArrayList<>();
    private final Map<String, Integer> answersById = new ConcurrentHashMap<>();

    public RequestLog(long seed) {
        chance = new SplittableRandom(seed);
    }

    /** Creates a new Request-Id. */
    public synchronized String newId() {
        return String.format("%016x", chance.nextLong());
    }

    /** Creates a random number generator for one caller, independent of those of other callers. */
    public synchronized SplittableRandom split() {
        return chance.split();
    }

    /**
     * Whether the time since {@code startedAt} exceeds a maximum even after the machine's own scheduling lag in that time is
     * subtracted.
     */
    boolean isOver(long startedAt, long maxNanos) {
        long elapsed = System.nanoTime() - startedAt;
        return elapsed > maxNanos && elapsed - lag.worstSince(startedAt) > maxNanos;
    }

    synchronized void add(RequestFate fate) {
        fates.add(fate);
    }

    void answered(String id) {
        answersById.merge(id, 1, Integer::sum);
    }

    /** The number of requests that got more than one complete answer. */
    public long answeredTwice() {
        return answersById.values().stream().filter(n -> n > 1).count();
    }

    /** A copy of the outcomes so far. */
    public synchronized List<RequestFate> all() {
        return List.copyOf(fates);
    }

    /**
     * The requests that should have been answered but were not. A connection that ended when the server was killed was not closed
     * while idle, so its requests did not cross a regular close and count as lost too.
     *
     * @param killedAt when the server was killed, by {@link System#nanoTime()}
     */
    public List<RequestFate> lost(long killedAt) {
        return all().stream()
                .filter(fate -> fate.isLost() || fate.end() == RequestFate.End.CROSSED && fate.ended() >= killedAt)
                .toList();
    }

    /** The number of requests by how they ended. */
    public Map<RequestFate.End, Integer> byEnd() {
        Map<RequestFate.End, Integer> count = new TreeMap<>();
        all().forEach(fate -> count.merge(fate.end(), 1, Integer::sum));
        return count;
    }

    /** Describes each lost request on a line of its own, with times in milliseconds before {@code endedAt}. */
    public static String describe(List<RequestFate> lost, long endedAt) {
        StringBuilder text = new StringBuilder();
        for (RequestFate fate : lost) {
            text.append(String.format(
                    "%n%s by %s: connected %.1f, written %.1f, %s seen %.1f ms before the end%s",
                    fate.id(),
                    fate.caller(),
                    (endedAt - fate.connected()) / MILLION,
                    (endedAt - fate.written()) / MILLION,
                    fate.end(),
                    (endedAt - fate.ended()) / MILLION,
                    fate.resent() ? ", a resend" : ""));
        }
        return text.toString();
    }

    @Override
    public void close() {
        lag.close();
    }
}
