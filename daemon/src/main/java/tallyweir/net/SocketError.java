package tallyweir.net;

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

    private final String message;

    SocketError(String message) {
        this.message = message;
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
