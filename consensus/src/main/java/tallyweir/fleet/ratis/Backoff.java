package tallyweir.fleet.ratis;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter for consecutive failures. The base delay doubles with each failure up to a bound; the random part
 * keeps many clients that failed at the same moment from retrying at the same moment. Not thread-safe.
 */
final class Backoff {
    private static final int MAX_DOUBLINGS = 16;

    private final long minMs;
    private final long maxMs;
    private final RandomGenerator random;
    private int failures;

    /**
     * @param minMs base delay after the first failure
     * @param maxMs upper bound of the base delay
     */
    Backoff(long minMs, long maxMs, RandomGenerator random) {
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.random = random;
    }

    /** Records another failure and returns the delay before the next attempt: between half and one and a half times the base delay. */
    long nextDelayMs() {
        long baseMs = Math.min(maxMs, minMs << Math.min(MAX_DOUBLINGS, failures));
        failures++;
        return baseMs / 2 + random.nextLong(baseMs + 1);
    }

    /** Records a success, so that the next failure starts again from the smallest base delay. */
    void reset() {
        failures = 0;
    }
}
