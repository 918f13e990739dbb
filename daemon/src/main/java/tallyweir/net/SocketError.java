package tallyweir.net;

import java.util.EnumSet;
import java.util.Set;

/** Errors that Linux documents for system calls on sockets, as the virtual machine's messages tell them. */
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

    private static final Set<SocketError> OF_ONE_CONNECTION =
            EnumSet.of(EINTR, EPROTO, EPERM, ECONNABORTED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH);
    private static final Set<SocketError> END_OF_CONNECTION =
            EnumSet.of(EPIPE, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH, ENETUNREACH);
    private static final Set<SocketError> MAY_PASS = EnumSet.of(EINTR, EIO, ENOMEM, ENFILE, EMFILE, ENOSPC, ENOBUFS);

    private final String message;

    SocketError(String message) {
        this.message = message;
    }

    /** Whether a failed accept says nothing of the next one. */
    boolean isOfOneConnection() {
        return OF_ONE_CONNECTION.contains(this);
    }

    /** Whether it says only that the other side has gone. */
    boolean isEndOfConnection() {
        return END_OF_CONNECTION.contains(this);
    }

    /** Whether the same call on the same socket may work a moment later. */
    boolean mayPass() {
        return MAY_PASS.contains(this);
    }

    /** The first whose message the cause begins with, so that a longer one stands before what it begins with. */
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
