package tallyweir.fleet.ratis;

import java.util.random.RandomGenerator;

/**
 * How long to wait after failures in a row: a random part of a span that doubles with each, so that many clients that failed at
 * the same moment do not return at the same moment.
 */
final class Backoff {
    private static final int DOUBLINGS_MOST = 16;

    private final long leastMs;
    private final long mostMs;
    private final RandomGenerator random;
    private int failures;

    /**
     * @param leastMs the span after the first failure
     * @param mostMs the span that it grows to
     */
    Backoff(long leastMs, long mostMs, RandomGenerator random) {
        this.leastMs = leastMs;
        this.mostMs = mostMs;
        this.random = random;
    }

    /** There was another failure. */
    long afterFailureMs() {
        long span = Math.min(mostMs, leastMs << Math.min(DOUBLINGS_MOST, failures));
        failures++;
        return span / 2 + random.nextLong(span + 1);
    }

    /** There was none. */
    void succeeded() {
        failures = 0;
    }
}
