package tallyweir.ring;

/** Counts and sums over the last span, in fixed buckets of time that are used again. */
public final class Ring {
    private final long width;
    private final long[] counts;
    private final double[] sums;
    private long head;
    private long count;
    private double sum;

    public Ring(long span, int buckets) {
        width = Math.max(1, (span + buckets - 1) / buckets);
        counts = new long[buckets + 1];
        sums = new double[buckets + 1];
    }

    public void add(long now, double value) {
        turn(now);
        int at = (int) (head % counts.length);
        counts[at]++;
        sums[at] += value;
        count++;
        sum += value;
    }

    public long count(long now) {
        turn(now);
        return count;
    }

    /** How many since a moment within the span, to the bucket: those of its whole bucket count. */
    public long countSince(long now, long from) {
        turn(now);
        long since = 0;
        for (long b = Math.max(Math.max(0, from / width), head - counts.length + 1); b <= head; b++) {
            since += counts[(int) (b % counts.length)];
        }
        return since;
    }

    public double sum(long now) {
        turn(now);
        return sum;
    }

    /** The mean over the span, 0 when it is empty. */
    public double mean(long now) {
        turn(now);
        return count > 0 ? sum / count : 0;
    }

    private void turn(long now) {
        long bucket = now / width;
        if (bucket <= head) {
            return;
        }
        if (bucket - head >= counts.length) {
            java.util.Arrays.fill(counts, 0);
            java.util.Arrays.fill(sums, 0);
        } else {
            for (long b = head + 1; b <= bucket; b++) {
                counts[(int) (b % counts.length)] = 0;
                sums[(int) (b % counts.length)] = 0;
            }
        }
        head = bucket;
        count = 0;
        sum = 0;
        for (int i = 0; i < counts.length; i++) {
            count += counts[i];
            sum += sums[i];
        }
    }
}
