package tallyweir.durable;

import java.io.IOException;

/** What the store did not do, and why. Nothing of it was acknowledged; reading goes on. */
public final class Refused extends IOException {
    private static final long serialVersionUID = 1L;

    /** The causes, as counted. */
    public enum Cause {
        /** A key, value or batch is longer than any may be, or names no namespace. Never worth trying again. */
        TOO_LONG,
        /** The namespace is at its bound and refuses. Worth trying again when something was deleted or has expired. */
        AT_BOUND,
        /** The disk has no room, or cannot be written. Worth trying again when there is room. */
        NO_ROOM,
        /** A force failed: whether the records come back after a restart is not known, here they do not. */
        UNKNOWN,
        /** The store is closed. */
        CLOSED,
        /** Another process has the store open. */
        IN_USE,
        /** Another process has taken the store over; this one writes it no more. Never worth trying again. */
        FENCED,
        /** Written by a later format than this program knows. */
        NEWER_FORMAT,
        /** Neither copy of a record can be read. */
        DAMAGED,
        /** More waits for the disk than may. Worth trying again soon. */
        BUSY
    }

    private final Cause why;

    public Refused(Cause why, String text) {
        super(text);
        this.why = why;
    }

    public Refused(Cause why, String text, Throwable cause) {
        super(text, cause);
        this.why = why;
    }

    /** Why, in one word. */
    public Cause why() {
        return why;
    }
}
