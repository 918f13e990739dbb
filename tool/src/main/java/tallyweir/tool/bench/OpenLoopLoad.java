package tallyweir.tool.bench;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Recorder;

/**
 * Plays a schedule against a target. Latency counts from the intended start of a query, so that a target or a sender that
 * stalls shows in every query that was due meanwhile (no coordinated omission).
 */
final class OpenLoopLoad {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long LAST_ANSWER_NANOS = 2_500_000_000L;
    private static final int POLL_MILLIS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Recorder latency = new Recorder(SIGNIFICANT_DIGITS);
    private final Map<QueryOutcome, AtomicLong> outcomes = new EnumMap<>(QueryOutcome.class);
    private final AtomicLong open = new AtomicLong();
    private final long warmupNanos;

    /** @param warmupSeconds queries that are due earlier than this are sent, but not recorded */
    private OpenLoopLoad(double warmupSeconds) {
        warmupNanos = (long) (warmupSeconds * NANOS_PER_SECOND);
        for (QueryOutcome outcome : QueryOutcome.values()) {
            outcomes.put(outcome, new AtomicLong());
        }
    }

    /** Plays the schedule to its end, waits for the last answers and returns what came of it. */
    static LoadResult run(ArrivalSchedule schedule, double seconds, double warmupSeconds, QueryTarget target)
            throws InterruptedException {
        OpenLoopLoad load = new OpenLoopLoad(warmupSeconds);
        load.play(schedule, target);
        load.awaitAnswers();
        return load.result(seconds - warmupSeconds);
    }

    private void play(ArrivalSchedule schedule, QueryTarget target) {
        long start = System.nanoTime();
        while (schedule.hasNext()) {
            Arrival arrival = schedule.next();
            long intended = start + arrival.offsetNanos();
            waitUntil(intended);
            boolean recorded = arrival.offsetNanos() >= warmupNanos;
            open.incrementAndGet();
            target.send(arrival, outcome -> ended(outcome, intended, recorded));
        }
    }

    private static void waitUntil(long nanoTime) {
        for (long left = nanoTime - System.nanoTime(); left > 0; left = nanoTime - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private void ended(QueryOutcome outcome, long intended, boolean recorded) {
        if (recorded) {
            outcomes.get(outcome).incrementAndGet();
        }
        if (recorded && outcome == QueryOutcome.HANDLED) {
            latency.recordValue(System.nanoTime() - intended);
        }
        open.decrementAndGet();
    }

    private void awaitAnswers() throws InterruptedException {
        long end = System.nanoTime() + LAST_ANSWER_NANOS;
        while (open.get() > 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private LoadResult result(double recordedSeconds) {
        Map<QueryOutcome, Long> counts = new EnumMap<>(QueryOutcome.class);
        outcomes.forEach((outcome, count) -> counts.put(outcome, count.get()));
        return new LoadResult(latency.getIntervalHistogram(), counts, open.get(), recordedSeconds);
    }
}
