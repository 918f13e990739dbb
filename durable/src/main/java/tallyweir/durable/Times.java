package tallyweir.durable;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * How long the steps of the disk and of the committer take: how many, their sum, the longest since the store was opened
 * and the longest of the last minute. Where writers stall, the step that stalled them is the one whose longest is as long.
 * Any thread may count and read. Times go in as nanoseconds and come out as whole tenths of a millisecond.
 */
public final class Times {
    /** The steps. */
    public enum Of {
        /** A force of a file of the log in the first copy. */
        FORCE_FIRST,
        /** The same in the second. */
        FORCE_SECOND,
        /** A write to a file of the log in the first copy, not counting its force. */
        WRITE_FIRST,
        /** The same in the second. */
        WRITE_SECOND,
        /** A force of the names in the first copy's directory, as a new segment needs it. */
        NAMES_FIRST,
        /** The same in the second. */
        NAMES_SECOND,
        /** A force of an index snapshot, beside the writing. */
        SNAPSHOT,
        /** A group of batches, from its gathering to its answers. */
        GROUP,
        /** A step of upkeep, which groups wait for. */
        UPKEEP
    }

    private static final int BUCKETS = 12;
    private static final long BUCKET = 5_000_000_000L; // ns; all of them together are the last minute
    private static final long UNIT = 100_000; // ns in a tenth of a millisecond

    private final long[] counts = new long[Of.values().length];
    private final long[] sums = new long[counts.length];
    private final long[] longest = new long[counts.length];
    private final long[][] lately = new long[counts.length][BUCKETS];
    private final long[][] bucketOf = new long[counts.length][BUCKETS];

    /**
     * A step is over.
     *
     * @param began by the clock that only goes forward, nanoseconds
     * @param now by the same
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

    /** How often. */
    public synchronized long count(Of what) {
        return counts[what.ordinal()];
    }

    /** The longest since the store was opened, tenths of a millisecond, rounded up. */
    public synchronized long longest(Of what) {
        return up(longest[what.ordinal()]);
    }

    /** The longest of about the last minute, tenths of a millisecond, rounded up. */
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

    /** All by name, times in tenths of a millisecond, in a fixed order. */
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
