package tallyweir.durable;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Duration statistics of the steps of the disk and the committer: count, sum, maximum since the store was opened and maximum
 * of the last minute. When writers stall, the cause is the step whose maximum is as long as the stall. Thread-safe. Durations
 * are recorded in nanoseconds and returned in whole tenths of a millisecond.
 */
public final class Times {
    /** The steps. Their lower-case names are part of the printed keys. */
    public enum Of {
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
    private static final long BUCKET =
            5_000_000_000L; // the width of a bucket; together the buckets cover the last minute
    private static final long UNIT = 100_000;

    private final long[] counts = new long[Of.values().length];
    private final long[] sums = new long[counts.length];
    private final long[] longest = new long[counts.length];
    private final long[][] lately = new long[counts.length][BUCKETS];
    private final long[][] bucketOf = new long[counts.length][BUCKETS];

    /**
     * Records a completed step.
     *
     * @param began the start of the step, nanoseconds of {@link System#nanoTime}
     * @param now its end, by the same clock
     */
    synchronized void add(Of what, long began, long now) {
        int i = what.ordinal();
        long took = now - began;
        counts[i]++;
        sums[i] += took;
        longest[i] = Math.max(longest[i], took);
        long number = Math.floorDiv(now, BUCKET);
        int b = Math.floorMod(number, BUCKETS);
        if (bucketOf[i][b] != number) {
            bucketOf[i][b] = number;
            lately[i][b] = 0;
        }
        lately[i][b] = Math.max(lately[i][b], took);
    }

    /** How often the step was recorded. */
    public synchronized long count(Of what) {
        return counts[what.ordinal()];
    }

    /** The longest duration since the store was opened, in tenths of a millisecond, rounded up. */
    public synchronized long longest(Of what) {
        return up(longest[what.ordinal()]);
    }

    /** The longest duration of about the last minute, in tenths of a millisecond, rounded up. */
    public synchronized long lately(Of what, long now) {
        long most = 0;
        for (int b = 0; b < BUCKETS; b++) {
            if (bucketOf[what.ordinal()][b] > Math.floorDiv(now, BUCKET) - BUCKETS) {
                most = Math.max(most, lately[what.ordinal()][b]);
            }
        }
        return up(most);
    }

    private static long up(long ns) {
        return (ns + UNIT - 1) / UNIT;
    }

    /** All statistics by printed key, durations in tenths of a millisecond, in a fixed order. */
    public synchronized Map<String, Long> all(long now) {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Of of : Of.values()) {
            String name = of.name().toLowerCase(Locale.ROOT);
            all.put(name + "_count", counts[of.ordinal()]);
            all.put(name + "_sum", sums[of.ordinal()] / UNIT);
            all.put(name + "_longest", longest(of));
            all.put(name + "_longest_lately", lately(of, now));
        }
        return all;
    }
}
