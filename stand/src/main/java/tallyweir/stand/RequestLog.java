package tallyweir.stand;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** What all callers of a run have seen; any thread may add to it. */
public final class RequestLog implements AutoCloseable {
    private static final double MILLION = 1e6;

    private final RigLag lag = new RigLag();
    private final SplittableRandom chance;
    private final List<RequestFate> fates = new ArrayList<>();
    private final Map<String, Integer> answersById = new ConcurrentHashMap<>();

    public RequestLog(long seed) {
        chance = new SplittableRandom(seed);
    }

    /** A new Request-Id. */
    public synchronized String newId() {
        return String.format("%016x", chance.nextLong());
    }

    /** Chance for one caller, apart from that of all others. */
    public synchronized SplittableRandom split() {
        return chance.split();
    }

    /** Whether so long a span, which ends now, is longer than allowed even without what this machine was late by in it. */
    boolean isOver(long began, long allowedNanos) {
        long span = System.nanoTime() - began;
        return span > allowedNanos && span - lag.worstSince(began) > allowedNanos;
    }

    synchronized void add(RequestFate fate) {
        fates.add(fate);
    }

    void answered(String id) {
        answersById.merge(id, 1, Integer::sum);
    }

    /** Requests that got more than one whole answer. */
    public long answeredTwice() {
        return answersById.values().stream().filter(n -> n > 1).count();
    }

    public synchronized List<RequestFate> all() {
        return List.copyOf(fates);
    }

    /**
     * Those whose callers were owed an answer that they did not get. An end that came with the kill is no end of a connection at
     * rest, so what was written before it did not cross it.
     *
     * @param killed when the server was killed
     */
    public List<RequestFate> lost(long killed) {
        return all().stream()
                .filter(fate -> fate.isLost() || fate.end() == RequestFate.End.CROSSED && fate.ended() >= killed)
                .toList();
    }

    /** How many ended in each way. */
    public Map<RequestFate.End, Integer> byEnd() {
        Map<RequestFate.End, Integer> count = new TreeMap<>();
        all().forEach(fate -> count.merge(fate.end(), 1, Integer::sum));
        return count;
    }

    /** A line for each that was lost, its times in milliseconds before the moment given. */
    public static String describe(List<RequestFate> lost, long moment) {
        StringBuilder text = new StringBuilder();
        for (RequestFate fate : lost) {
            text.append(String.format(
                    "%n%s by %s: connected %.1f, written %.1f, %s seen %.1f ms before the end%s",
                    fate.id(),
                    fate.caller(),
                    (moment - fate.connected()) / MILLION,
                    (moment - fate.written()) / MILLION,
                    fate.end(),
                    (moment - fate.ended()) / MILLION,
                    fate.resent() ? ", a resend" : ""));
        }
        return text.toString();
    }

    @Override
    public void close() {
        lag.close();
    }
}
