package tallyweir.backend;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import tallyweir.ids.JobId;

/** Writes at most one log line per second, so that a flood of bad input neither fills the log nor slows the server. */
final class RateLimitedLog {
    private static final long MIN_INTERVAL_TENTHS_MS = 10_000; // a second

    private final Logger log;
    private final LongSupplier now;
    private long nextAt = Long.MIN_VALUE;
    private long suppressed;

    /** @param now time in tenths of a millisecond */
    RateLimitedLog(Class<?> owner, LongSupplier now) {
        log = LoggerFactory.getLogger(owner);
        this.now = now;
    }

    void warn(String text) {
        write(log.atWarn(), text);
    }

    /** Logs an event of one query, with the query's job id and the reason. */
    void query(JobId job, String reason, String text) {
        write(log.atInfo().addKeyValue("request", job.value()).addKeyValue("reason", reason), text);
    }

    private void write(LoggingEventBuilder event, String text) {
        if (now.getAsLong() < nextAt) {
            suppressed++;
            return;
        }
        nextAt = now.getAsLong() + MIN_INTERVAL_TENTHS_MS;
        if (suppressed > 0) {
            event = event.addKeyValue("left_out", suppressed);
        }
        event.log(text);
        suppressed = 0;
    }
}
