package tallyweir.fleet.ratis;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter for consecutive failures. The base delay doubles with each failure up to a bound; the random part
 * keeps many clients that failed at the same moment from retrying at the same moment. Not thread-safe.
 */
final class Backoff {
    private static final int DOUBLINGS_MOST = 16;

    private final long leastMs;
    private final long mostMs;
    private final RandomGenerator random;
    private int failures;

    /**
     * @param leastMs base delay after the first failure
     * @param mostMs upper bound of the base delay
     */
    Backoff(long leastMs, long mostMs, RandomGenerator random) {
        this.leastMs = leastMs;
        this.mostMs = mostMs;
        this.random = random;
    }

    /** Records another failure and returns the delay before the next attempt: between half and one and a half times the base delay. */
    long afterFailureMs() {
        long span = Math.min(mostMs, leastMs << Math.min(DOUBLINGS_MOST, failures));
        failures++;
        return span / 2 + random.nextLong(span + 1);
    }

    /** Records a success, so that the next failure starts again from the smallest base delay. */
    void succeeded() {
        failures = 0;
    }
}
