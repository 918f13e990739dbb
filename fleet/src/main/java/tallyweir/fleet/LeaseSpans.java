package tallyweir.fleet;

/**
 * LeaseSpans of time that two clocks measure. Each may run fast or slow by a set ratio; of the one that relies on something
 * the span is made shorter, of the one that gives it to another longer, so that the first is over before the second.
 */
public final class LeaseSpans {
    private LeaseSpans() {}

    /** How long a server may rely on what lasts so long by the fleet's clock. */
    public static long relied(long span, double drift) {
        return (long) Math.floor(span * (1 - drift) / (1 + drift));
    }

    /** How long the fleet waits so that so long has surely passed by a server's clock. */
    public static long waited(long span, double drift) {
        return (long) Math.ceil(span * (1 + drift) / (1 - drift));
    }
}
