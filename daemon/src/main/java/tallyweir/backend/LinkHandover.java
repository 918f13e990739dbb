package tallyweir.backend;

import java.util.function.LongSupplier;
import tallyweir.ids.LinkId;

/**
 * The replacement of a working link to the kernel by a new one. The present link stays in use until the kernel has
 * answered a last request on it, which shows that it has read all commands sent before.
 */
final class LinkHandover {
    // A second in all. Each check is a deadline of its own, as one long deadline would pass while this process is
    // paused.
    private static final long CHECK_INTERVAL_TENTHS_MS = 1_000;
    private static final int MAX_CHECKS = 10;

    private final LinkId replacement;
    private final String tag;
    private final Deadlines deadlines;
    private final LongSupplier clock;
    private final Runnable onTimeout;
    private Deadlines.Deadline nextCheck;
    private int checks;
    private boolean confirmed;

    /**
     * @param replacement the new link, which is open
     * @param tag of the last request on the present link
     * @param onTimeout runs if the answer does not come in time
     */
    LinkHandover(LinkId replacement, String tag, Deadlines deadlines, LongSupplier clock, Runnable onTimeout) {
        this.replacement = replacement;
        this.tag = tag;
        this.deadlines = deadlines;
        this.clock = clock;
        this.onTimeout = onTimeout;
        scheduleCheck();
    }

    LinkId replacement() {
        return replacement;
    }

    /** Whether the kernel has read everything that was sent on the present link. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** The kernel has answered a request on the present link. */
    void answered(String answeredTag) {
        confirmed |= answeredTag.equals(tag);
    }

    private void scheduleCheck() {
        nextCheck = deadlines.set(clock.getAsLong() + CHECK_INTERVAL_TENTHS_MS, this::check);
    }

    private void check() {
        if (++checks < MAX_CHECKS) {
            scheduleCheck();
        } else {
            onTimeout.run();
        }
    }

    /** Ends the wait for the answer. */
    void cancel() {
        deadlines.cancel(nextCheck);
    }
}
