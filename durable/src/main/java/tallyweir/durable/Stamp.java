package tallyweir.durable;

/**
 * The number of a record: its time in tenths of a millisecond since 1970, followed by a count within that time, so that
 * records in the order of their stamps are in the order of writing and of time. Stamps never decrease, even if the clock steps
 * back: then they are incremented from the last one (the hybrid logical clock of Kulkarni and others, 2014, with one party).
 */
public final class Stamp {
    static final int COUNT_BITS = 14;

    /** The latest time that a stamp can represent, in tenths of a millisecond since 1970. */
    public static final long MAX_TIME_TENTHS_MS = Long.MAX_VALUE >>> COUNT_BITS;

    private Stamp() {}

    /** The stamp that follows the last one, at a time in tenths of a millisecond since 1970. */
    public static long next(long last, long now) {
        return Math.max(last + 1, lowestAt(now));
    }

    /** The lowest stamp of a time in tenths of a millisecond since 1970. */
    public static long lowestAt(long time) {
        return Math.max(0, time) << COUNT_BITS;
    }

    /** The time of a stamp, in tenths of a millisecond since 1970. */
    public static long time(long stamp) {
        return stamp >>> COUNT_BITS;
    }
}
