package tallyweir.net;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts failed system calls on sockets by call and error, and logs them at most once per second. Safe for use by any
 * thread. All classes that counting needs are loaded beforehand, since no class can be loaded once descriptors have run
 * out.
 */
final class SocketFailures {
    /** The calls that are counted; the names are printed in the counters. */
    enum Call {
        ACCEPT,
        SELECT,
        REGISTER,
        READ,
        WRITE,
        SOCKET,
        CONNECT
    }

    /** How long a socket is kept while its calls keep failing with transient errors, such as a lack of memory. */
    static final long MAX_RETRY_NANOS = 1_000_000_000;

    /** Much shorter than any caller's timeout, but long enough that retries during a shortage do not take up a core. */
    private static final long RETRY_PAUSE_NANOS = 1_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(SocketFailures.class);
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000;
    private static final Call[] CALLS = Call.values();
    private static final SocketError[] ERRORS = SocketError.values();

    private final AtomicLongArray counts = new AtomicLongArray(CALLS.length * ERRORS.length);
    private long nextLogAtNanos = System.nanoTime();
    private long suppressedCount;

    private static int index(Call call, SocketError error) {
        return call.ordinal() * ERRORS.length + error.ordinal();
    }

    /** Counts a failed call, and logs it unless it means only that the peer has disconnected. */
    void add(Call call, Throwable cause) {
        SocketError error = SocketError.of(cause);
        counts.incrementAndGet(index(call, error));
        if (!error.isDisconnect()) {
            log(call, error, cause);
        }
    }

    private synchronized void log(Call call, SocketError error, Throwable cause) {
        long now = System.nanoTime();
        if (now - nextLogAtNanos < 0) {
            suppressedCount++;
            return;
        }
        nextLogAtNanos = now + LOG_INTERVAL_NANOS;
        LOG.atWarn()
                .addKeyValue("call", call)
                .addKeyValue("error", error)
                .addKeyValue("cause", cause)
                .addKeyValue("left_out", suppressedCount)
                .log("a system call on a socket failed");
        suppressedCount = 0;
    }

    /** Waits before a failed call is retried. */
    static void pause() {
        LockSupport.parkNanos(RETRY_PAUSE_NANOS);
    }

    /** The counts by call and error, such as {@code accept_enfile}; without those that are zero. */
    Map<String, Long> counts() {
        Map<String, Long> byName = new TreeMap<>();
        for (Call call : CALLS) {
            for (SocketError error : ERRORS) {
                long count = counts.get(index(call, error));
                if (count > 0) {
                    byName.put((call + "_" + error).toLowerCase(Locale.ROOT), count);
                }
            }
        }
        return byName;
    }
}
