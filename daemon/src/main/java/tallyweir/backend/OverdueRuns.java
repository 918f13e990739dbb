package tallyweir.backend;

import java.util.function.LongSupplier;
import tallyweir.backend.Counters.Count;

/**
 * Runs that go on after their queries are over. Only a notice of the kernel ends a run, and none comes if the start of the run
 * was lost with a link. Therefore each of these runs is requested again until it has ended. By the protocol that starts
 * nothing, as the query is over: it has no effect on a run that goes on, and where there is none the kernel says so. Runs on
 * the backend's thread; times are in tenths of a millisecond.
 */
final class OverdueRuns {
    // Half a second, in which notices that have arrived already are read, also after a pause of this process.
    private static final long FIRST_REQUEST_DELAY_TENTHS_MS = 5_000;
    private static final long REQUEST_INTERVAL_TENTHS_MS = 20_000;

    private final Deadlines deadlines;
    private final Counters counters;
    private final KernelCommands commands;
    private final LongSupplier clock;

    OverdueRuns(Deadlines deadlines, Counters counters, KernelCommands commands, LongSupplier clock) {
        this.deadlines = deadlines;
        this.counters = counters;
        this.commands = commands;
        this.clock = clock;
    }

    /** Adds the run of a query that is over. */
    void add(InFlight inFlight) {
        counters.add(Count.RUNS_OVERDUE);
        scheduleRequest(inFlight, FIRST_REQUEST_DELAY_TENTHS_MS);
    }

    private void scheduleRequest(InFlight inFlight, long delay) {
        deadlines.set(clock.getAsLong() + delay, () -> requestAgain(inFlight));
    }

    private void requestAgain(InFlight inFlight) {
        if (!inFlight.running) {
            return;
        }
        if (isRequested(inFlight)) {
            commands.run(inFlight);
        }
        scheduleRequest(inFlight, REQUEST_INTERVAL_TENTHS_MS);
    }

    /** False while the run waits for its intent to be written, or its last request for a link. */
    private static boolean isRequested(InFlight inFlight) {
        return inFlight.runDelivery != null && !inFlight.runDelivery.isWaiting();
    }
}
