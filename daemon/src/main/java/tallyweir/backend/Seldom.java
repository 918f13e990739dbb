package tallyweir.backend;

import java.util.function.LongSupplier;
import java.util.logging.Logger;

/** Warnings, one a second at the most: whoever sends bad input in a flood must not fill the log or slow us down. */
final class Seldom {
    private static final long EVERY = 10_000;

    private final Logger log;
    private final LongSupplier now;
    private long next = Long.MIN_VALUE;
    private long leftOut;

    Seldom(Class<?> of, LongSupplier now) {
        log = Logger.getLogger(of.getName());
        this.now = now;
    }

    void warn(String text) {
        if (now.getAsLong() < next) {
            leftOut++;
            return;
        }
        next = now.getAsLong() + EVERY;
        log.warning(leftOut > 0 ? text + " (and " + leftOut + " warnings before it)" : text);
        leftOut = 0;
    }
}
