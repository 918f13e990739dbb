package tallyweir.tool.bench;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What came of a load.
 *
 * @param latencyNanos of handled queries, counted from their intended start
 * @param outcomes how many queries ended in which way
 * @param unanswered queries without any outcome when the load was given up
 * @param seconds how long the recorded part of the schedule was
 */
record LoadResult(Histogram latencyNanos, Map<QueryOutcome, Long> outcomes, long unanswered, double seconds) {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    static LoadResult empty() {
        return new LoadResult(new Histogram(SIGNIFICANT_DIGITS), new EnumMap<>(QueryOutcome.class), 0, 0);
    }

    /** Both results as one. */
    LoadResult plus(LoadResult other) {
        Histogram latency = latencyNanos.copy();
        latency.add(other.latencyNanos);
        Map<QueryOutcome, Long> sums = new EnumMap<>(QueryOutcome.class);
        sums.putAll(outcomes);
        other.outcomes.forEach((outcome, count) -> sums.merge(outcome, count, Long::sum));
        return new LoadResult(latency, sums, unanswered + other.unanswered, seconds + other.seconds);
    }

    long count(QueryOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    double handledPerSecond() {
        return count(QueryOutcome.HANDLED) / seconds;
    }

    double percentileMillis(double percentile) {
        return latencyNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
