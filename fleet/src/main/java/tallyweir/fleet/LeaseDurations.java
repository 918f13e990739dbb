package tallyweir.fleet;

/**
 * Converts a duration between two clocks that may each run fast or slow by the configured drift ratio. The holder of a
 * lease uses a shorter duration and the grantor a longer one, so the holder's lease ends before the grantor lends the
 * same thing to another. Durations may have any unit; the result has the same one.
 */
public final class LeaseDurations {
    private LeaseDurations() {}

    /** How long, by its own clock, the holder may rely on a lease that lasts {@code duration} by the fleet's clock. */
    public static long forHolder(long duration, double drift) {
        return (long) Math.floor(duration * (1 - drift) / (1 + drift));
    }

    /** How long the fleet must wait, by its own clock, until {@code duration} has certainly passed by a server's clock. */
    public static long forGrantor(long duration, double drift) {
        return (long) Math.ceil(duration * (1 + drift) / (1 - drift));
    }
}
