package tallyweir.durable;

import java.io.IOException;

/** The store refused an operation, for a {@link Cause}. No part of the operation was acknowledged; reads remain possible. */
public final class StoreRefusedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** The causes. Their names are printed and counted. */
    public enum Cause {
        /** A key, value or batch exceeds the maximum length, or its namespace does not exist. Retrying is useless. */
        TOO_LONG,
        /** The namespace is at its bound. A retry may succeed once records were deleted or have expired. */
        AT_BOUND,
        /** The disk is full or cannot be written. A retry may succeed once there is space. */
        NO_ROOM,
        /** A force failed. The records are not readable now, but may or may not be there after a restart. */
        UNKNOWN,
        /** The store is closed. */
        CLOSED,
        /** Another process has the store open. */
        IN_USE,
        /** Another process has taken the store over, and this one no longer writes to it. Retrying is useless. */
        FENCED,
        /** The store was written in a newer format than this program supports. */
        NEWER_FORMAT,
        /** A record can be read from neither copy. */
        DAMAGED,
        /** Too much data is waiting for the disk. A retry may succeed soon. */
        BUSY
    }

    private final Cause reason;

    public StoreRefusedException(Cause reason, String text) {
        super(text);
        this.reason = reason;
    }

    public StoreRefusedException(Cause reason, String text, Throwable cause) {
        super(text, cause);
        this.reason = reason;
    }

    /** The cause of the refusal. */
    public Cause reason() {
        return reason;
    }
}
