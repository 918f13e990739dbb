package tallyweir.net;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Failures of system calls on sockets, counted by call and error and logged at a bounded rate. Any thread may tell of one. */
final class SocketFailures {
    /** The calls that are counted. */
    enum Call {
        ACCEPT,
        SELECT,
        REGISTER,
        READ,
        WRITE,
        CONNECT
    }

    private record Kind(Call call, SocketError error) {}

    private static final Logger LOG = LoggerFactory.getLogger(SocketFailures.class);
    private static final long LOG_EVERY_NANOS = 1_000_000_000;

    private final Map<Kind, LongAdder> counts = new ConcurrentHashMap<>();
    private long logNext = System.nanoTime();
    private long notLogged;

    void add(Call call, Throwable cause) {
        Kind kind = new Kind(call, SocketError.of(cause));
        counts.computeIfAbsent(kind, k -> new LongAdder()).increment();
        log(kind, cause);
    }

    private synchronized void log(Kind kind, Throwable cause) {
        long now = System.nanoTime();
        if (now - logNext < 0) {
            notLogged++;
            return;
        }
        logNext = now + LOG_EVERY_NANOS;
        LOG.atWarn()
                .addKeyValue("call", kind.call)
                .addKeyValue("error", kind.error)
                .addKeyValue("cause", cause)
                .addKeyValue("left_out", notLogged)
                .log("a system call on a socket failed");
        notLogged = 0;
    }

    /** By call and error, such as {@code accept_enfile}. */
    Map<String, Long> counts() {
        Map<String, Long> byName = new TreeMap<>();
        counts.forEach(
                (kind, count) -> byName.put((kind.call + "_" + kind.error).toLowerCase(Locale.ROOT), count.sum()));
        return byName;
    }
}
