package tallyweir.tool.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Recorder;

/** Many callers, each with a connection and an open-loop schedule of its own, against one server. */
final class CallerFleet {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int STACK_BYTES = 128 << 10;

    /** What all callers saw together. */
    record Result(LoadResult load, long connectionsOpened, long closedUnderQuery) {}

    private final Recorder latency = new Recorder(SIGNIFICANT_DIGITS);
    private final Map<QueryOutcome, AtomicLong> outcomes = new ConcurrentHashMap<>();
    private final AtomicLong opened = new AtomicLong();
    private final AtomicLong closedUnderQuery = new AtomicLong();

    private CallerFleet() {
        for (QueryOutcome outcome : QueryOutcome.values()) {
            outcomes.put(outcome, new AtomicLong());
        }
    }

    /** Has so many callers send at a rate in all, and returns once the last has its last answer. */
    static Result run(int port, int callers, double totalRate, double seconds, long seed) throws InterruptedException {
        CallerFleet fleet = new CallerFleet();
        ZipfSampler tenants = new ZipfSampler(1);
        long start = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            ArrivalSchedule schedule = new ArrivalSchedule(totalRate / callers, seconds, tenants, seed * callers + i);
            Caller caller = new Caller(port, i, schedule, start, fleet::ended, fleet.opened, fleet.closedUnderQuery);
            Thread thread = new Thread(null, caller, "caller", STACK_BYTES);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return fleet.result(seconds);
    }

    private void ended(QueryOutcome outcome, long latencyNanos) {
        outcomes.get(outcome).incrementAndGet();
        if (outcome == QueryOutcome.HANDLED) {
            latency.recordValue(latencyNanos);
        }
    }

    private Result result(double seconds) {
        Map<QueryOutcome, Long> counts = new EnumMap<>(QueryOutcome.class);
        outcomes.forEach((outcome, count) -> counts.put(outcome, count.get()));
        LoadResult load = new LoadResult(latency.getIntervalHistogram(), counts, 0, seconds);
        return new Result(load, opened.get(), closedUnderQuery.get());
    }
}
