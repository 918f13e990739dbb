package tallyweir.backend;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import tallyweir.ids.JobId;

/** Warnings and news, one a second at the most: whoever sends bad input in a flood must not fill the log or slow us down. */
final class RateLimitedLog {
    private static final long EVERY = 10_000;

    private final Logger log;
    private final LongSupplier now;
    private long next = Long.MIN_VALUE;
    private long leftOut;

    RateLimitedLog(Class<?> of, LongSupplier now) {
        log = LoggerFactory.getLogger(of);
        this.now = now;
    }

    void warn(String text) {
        write(log.atWarn(), text);
    }

    /** Tells of a query by its name, and why it is told of. */
    void query(JobId job, String reason, String text) {
        write(log.atInfo().addKeyValue("request", job.value()).addKeyValue("reason", reason), text);
    }

    private void write(LoggingEventBuilder event, String text) {
        if (now.getAsLong() < next) {
            leftOut++;
            return;
        }
        next = now.getAsLong() + EVERY;
        if (leftOut > 0) {
            event = event.addKeyValue("left_out", leftOut);
        }
        event.log(text);
        leftOut = 0;
    }
}
