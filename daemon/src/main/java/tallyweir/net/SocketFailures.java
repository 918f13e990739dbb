package tallyweir.net;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Failures of system calls on sockets, counted by call and error and logged at a bounded rate. Any thread may tell of one.
 * All that counting needs is loaded beforehand, since without descriptors no class can be.
 */
final class SocketFailures {
    /** The calls that are counted. */
    enum Call {
        ACCEPT,
        SELECT,
        REGISTER,
        READ,
        WRITE,
        SOCKET,
        CONNECT
    }

    /** For so long a socket whose calls fail in a row, for want of something, is kept. */
    static final long PATIENCE_NANOS = 1_000_000_000;

    /** Short next to any caller's patience, long enough that a shortage does not take a core. */
    private static final long PAUSE_NANOS = 1_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(SocketFailures.class);
    private static final long LOG_EVERY_NANOS = 1_000_000_000;
    private static final Call[] CALLS = Call.values();
    private static final SocketError[] ERRORS = SocketError.values();

    private final AtomicLongArray counts = new AtomicLongArray(CALLS.length * ERRORS.length);
    private long logNext = System.nanoTime();
    private long notLogged;

    private static int place(Call call, SocketError error) {
        return call.ordinal() * ERRORS.length + error.ordinal();
    }

    void add(Call call, Throwable cause) {
        SocketError error = SocketError.of(cause);
        counts.incrementAndGet(place(call, error));
        if (!error.isEndOfConnection()) {
            log(call, error, cause);
        }
    }

    private synchronized void log(Call call, SocketError error, Throwable cause) {
        long now = System.nanoTime();
        if (now - logNext < 0) {
            notLogged++;
            return;
        }
        logNext = now + LOG_EVERY_NANOS;
        LOG.atWarn()
                .addKeyValue("call", call)
                .addKeyValue("error", error)
                .addKeyValue("cause", cause)
                .addKeyValue("left_out", notLogged)
                .log("a system call on a socket failed");
        notLogged = 0;
    }

    /** Waits before a call is made again. */
    static void pause() {
        LockSupport.parkNanos(PAUSE_NANOS);
    }

    /** By call and error, such as {@code accept_enfile}; without those that never failed. */
    Map<String, Long> counts() {
        Map<String, Long> byName = new TreeMap<>();
        for (Call call : CALLS) {
            for (SocketError error : ERRORS) {
                long count = counts.get(place(call, error));
                if (count > 0) {
                    byName.put((call + "_" + error).toLowerCase(Locale.ROOT), count);
                }
            }
        }
        return byName;
    }
}
