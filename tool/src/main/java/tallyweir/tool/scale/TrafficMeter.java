package tallyweir.tool.scale;

import java.util.Arrays;

/** Messages, bytes and processor time of one role, as a whole and by second of the simulation. */
final class TrafficMeter {
    private long[] messagesBySecond = new long[64];
    private long[] nanosecondsBySecond = new long[64];
    private long messages;
    private long bytes;
    private long nanoseconds;

    /** Messages of so many bytes in all came in or went out. */
    void messages(long now, long count, long length) {
        messages += count;
        bytes += length;
        messagesBySecond = counted(messagesBySecond, second(now), count);
    }

    /** Something was worked out for so long. */
    void worked(long now, long took) {
        nanoseconds += took;
        nanosecondsBySecond = counted(nanosecondsBySecond, second(now), took);
    }

    private static int second(long now) {
        return (int) (now / ScaleSettings.SECOND);
    }

    private static long[] counted(long[] bySecond, int second, long more) {
        long[] large = second < bySecond.length ? bySecond : Arrays.copyOf(bySecond, 2 * second);
        large[second] += more;
        return large;
    }

    /** Begins anew with the totals; what was counted by second stays. */
    void reset() {
        messages = 0;
        bytes = 0;
        nanoseconds = 0;
    }

    /** Messages since the last reset. */
    long messages() {
        return messages;
    }

    /** Bytes since the last reset. */
    long bytes() {
        return bytes;
    }

    /** Processor time since the last reset. */
    long nanoseconds() {
        return nanoseconds;
    }

    /** The most messages in any second of a span. */
    long peakMessages(long from, long to) {
        return peak(messagesBySecond, from, to);
    }

    /** The most processor time in any second of a span, nanoseconds. */
    long peakNanoseconds(long from, long to) {
        return peak(nanosecondsBySecond, from, to);
    }

    private static long peak(long[] bySecond, long from, long to) {
        long most = 0;
        for (int second = second(from); second <= second(to) && second < bySecond.length; second++) {
            most = Math.max(most, bySecond[second]);
        }
        return most;
    }
}
