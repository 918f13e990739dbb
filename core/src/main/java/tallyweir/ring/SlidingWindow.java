package tallyweir.ring;

/** Count and sum of values over a sliding time window, kept in a fixed number of reused buckets. Not thread-safe. */
public final class SlidingWindow {
    private final long bucketWidth;
    private final long[] counts;
    private final double[] sums;
    private long currentBucket;
    private long count;
    private double sum;

    /**
     * @param window length of the window, in the unit of the times passed to the other methods
     * @param buckets into which the window is divided, its resolution
     */
    public SlidingWindow(long window, int buckets) {
        bucketWidth = Math.max(1, (window + buckets - 1) / buckets);
        counts = new long[buckets + 1];
        sums = new double[buckets + 1];
    }

    public void add(long now, double value) {
        advance(now);
        int index = (int) (currentBucket % counts.length);
        counts[index]++;
        sums[index] += value;
        count++;
        sum += value;
    }

    public long count(long now) {
        advance(now);
        return count;
    }

    /** Number of values since a time within the window. The whole bucket that holds that time is counted. */
    public long countSince(long now, long from) {
        advance(now);
        long total = 0;
        for (long b = Math.max(Math.max(0, from / bucketWidth), currentBucket - counts.length + 1);
                b <= currentBucket;
                b++) {
            total += counts[(int) (b % counts.length)];
        }
        return total;
    }

    public double sum(long now) {
        advance(now);
        return sum;
    }

    /** Mean over the window; 0 when it is empty. */
    public double mean(long now) {
        advance(now);
        return count > 0 ? sum / count : 0;
    }

    private void advance(long now) {
        long bucket = now / bucketWidth;
        if (bucket <= currentBucket) {
            return;
        }
        if (bucket - currentBucket >= counts.length) {
            java.util.Arrays.fill(counts, 0);
            java.util.Arrays.fill(sums, 0);
        } else {
            for (long b = currentBucket + 1; b <= bucket; b++) {
                counts[(int) (b % counts.length)] = 0;
                sums[(int) (b % counts.length)] = 0;
            }
        }
        currentBucket = bucket;
        count = 0;
        sum = 0;
        for (int i = 0; i < counts.length; i++) {
            count += counts[i];
            sum += sums[i];
        }
    }
}
