package tallyweir.net;

import java.util.EnumSet;
import java.util.Set;

/**
 * Errors that Linux documents for system calls on sockets. The JVM passes them on only as the text of its exceptions.
 * The names are printed in the counters.
 */
enum SocketError {
    EINTR("Interrupted system call"),
    EIO("Input/output error"),
    ENOMEM("Cannot allocate memory"),
    ENFILE("Too many open files in system"),
    EMFILE("Too many open files"),
    ENOSPC("No space left on device"),
    EPIPE("Broken pipe"),
    EPROTO("Protocol error"),
    EPERM("Operation not permitted"),
    ECONNABORTED("Software caused connection abort"),
    ECONNRESET("Connection reset"),
    ENOBUFS("No buffer space available"),
    ETIMEDOUT("Connection timed out"),
    ECONNREFUSED("Connection refused"),
    EHOSTUNREACH("No route to host"),
    ENETUNREACH("Network is unreachable"),
    EADDRNOTAVAIL("Cannot assign requested address"),
    OTHER("");

    private static final Set<SocketError> SINGLE_CONNECTION_ERRORS =
            EnumSet.of(EINTR, EPROTO, EPERM, ECONNABORTED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH);
    private static final Set<SocketError> DISCONNECTS =
            EnumSet.of(EPIPE, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH, ENETUNREACH);
    private static final Set<SocketError> TRANSIENT_ERRORS =
            EnumSet.of(EINTR, EIO, ENOMEM, ENFILE, EMFILE, ENOSPC, ENOBUFS);

    private final String message;

    SocketError(String message) {
        this.message = message;
    }

    /** Whether a failed accept concerns that connection only, so that the next accept may succeed at once. */
    boolean affectsOneConnection() {
        return SINGLE_CONNECTION_ERRORS.contains(this);
    }

    /** Whether it means only that the peer has disconnected or cannot be reached. */
    boolean isDisconnect() {
        return DISCONNECTS.contains(this);
    }

    /** Whether the same call on the same socket may succeed a moment later. */
    boolean isTransient() {
        return TRANSIENT_ERRORS.contains(this);
    }

    /**
     * The first constant with whose text the exception's message begins. A longer text is therefore declared before a
     * shorter one that it begins with.
     */
    static SocketError of(Throwable cause) {
        String text = cause.getMessage() == null ? "" : cause.getMessage();
        for (SocketError error : values()) {
            if (text.startsWith(error.message)) {
                return error;
            }
        }
        return OTHER;
    }
}
