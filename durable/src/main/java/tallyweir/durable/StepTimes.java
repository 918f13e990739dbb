package tallyweir.durable;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Duration statistics of the steps of the disk and the committer: count, sum, maximum since the store was opened and maximum
 * of the last minute. When writers stall, the cause is the step whose maximum is as long as the stall. Thread-safe. Durations
 * are recorded in nanoseconds and returned in whole tenths of a millisecond.
 */
public final class StepTimes {
    /** The steps. Their lower-case names are part of the printed keys. */
    public enum Step {
        /** A force of a log file in the first copy. */
        FORCE_FIRST,
        /** The same in the second. */
        FORCE_SECOND,
        /** A write to a log file in the first copy, without its force. */
        WRITE_FIRST,
        /** The same in the second. */
        WRITE_SECOND,
        /** A force of the first copy's directory, needed for example by a new segment. */
        NAMES_FIRST,
        /** The same in the second. */
        NAMES_SECOND,
        /** A force of an index snapshot, concurrent with writes to the log. */
        SNAPSHOT,
        /** A group of batches, from collecting them until the writers are answered. */
        GROUP,
        /** A step of upkeep, during which groups wait. */
        UPKEEP
    }

    private static final int BUCKETS = 12;
    private static final long BUCKET_NANOS =
            5_000_000_000L; // the width of a bucket; together the buckets cover the last minute
    private static final long NANOS_PER_TENTH_MS = 100_000;

    private final long[] counts = new long[Step.values().length];
    private final long[] sumNanos = new long[counts.length];
    private final long[] maxNanos = new long[counts.length];
    private final long[][] recentMaxNanos = new long[counts.length][BUCKETS];
    private final long[][] bucketNumbers = new long[counts.length][BUCKETS];

    /**
     * Records a completed step.
     *
     * @param startedAt the start of the step, nanoseconds of {@link System#nanoTime}
     * @param endedAt its end, by the same clock
     */
    synchronized void record(Step step, long startedAt, long endedAt) {
        int i = step.ordinal();
        long elapsed = endedAt - startedAt;
        counts[i]++;
        sumNanos[i] += elapsed;
        maxNanos[i] = Math.max(maxNanos[i], elapsed);
        long number = Math.floorDiv(endedAt, BUCKET_NANOS);
        int b = Math.floorMod(number, BUCKETS);
        if (bucketNumbers[i][b] != number) {
            bucketNumbers[i][b] = number;
            recentMaxNanos[i][b] = 0;
        }
        recentMaxNanos[i][b] = Math.max(recentMaxNanos[i][b], elapsed);
    }

    /** How often the step was recorded. */
    public synchronized long count(Step step) {
        return counts[step.ordinal()];
    }

    /** The longest duration since the store was opened, in tenths of a millisecond, rounded up. */
    public synchronized long maxDuration(Step step) {
        return toTenthsMsRoundedUp(maxNanos[step.ordinal()]);
    }

    /** The longest duration of about the last minute, in tenths of a millisecond, rounded up. */
    public synchronized long recentMaxDuration(Step step, long now) {
        long max = 0;
        for (int b = 0; b < BUCKETS; b++) {
            if (bucketNumbers[step.ordinal()][b] > Math.floorDiv(now, BUCKET_NANOS) - BUCKETS) {
                max = Math.max(max, recentMaxNanos[step.ordinal()][b]);
            }
        }
        return toTenthsMsRoundedUp(max);
    }

    private static long toTenthsMsRoundedUp(long ns) {
        return (ns + NANOS_PER_TENTH_MS - 1) / NANOS_PER_TENTH_MS;
    }

    /** All statistics by printed key, durations in tenths of a millisecond, in a fixed order. */
    public synchronized Map<String, Long> toMap(long now) {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Step of : Step.values()) {
            String name = of.name().toLowerCase(Locale.ROOT);
            all.put(name + "_count", counts[of.ordinal()]);
            all.put(name + "_sum", sumNanos[of.ordinal()] / NANOS_PER_TENTH_MS);
            all.put(name + "_longest", maxDuration(of));
            all.put(name + "_longest_lately", recentMaxDuration(of, now));
        }
        return all;
    }
}
