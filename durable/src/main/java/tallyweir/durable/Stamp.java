package tallyweir.durable;

/**
 * The number of a record: its time in tenths of a millisecond since 1970 and a count within it, so that the order of
 * numbers is the order of writing and of time. Never goes back, whatever the clock does: behind the last number it
 * counts on from there (the hybrid clock of Kulkarni and others, 2014, with one party).
 */
public final class Stamp {
    static final int COUNT_BITS = 14;

    /** The latest time that has a number, tenths of a millisecond since 1970. */
    public static final long LATEST = Long.MAX_VALUE >>> COUNT_BITS;

    private Stamp() {}

    /** The number after the last one, at a time. */
    public static long next(long last, long now) {
        return Math.max(last + 1, first(now));
    }

    /** The lowest number of a time. */
    public static long first(long time) {
        return Math.max(0, time) << COUNT_BITS;
    }

    /** The time of a number, tenths of a millisecond since 1970. */
    public static long time(long stamp) {
        return stamp >>> COUNT_BITS;
    }
}
