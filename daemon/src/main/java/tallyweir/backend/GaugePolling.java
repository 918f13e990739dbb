package tallyweir.backend;

import tallyweir.Choice;
import tallyweir.backend.Counters.Count;
import tallyweir.config.Settings;

/**
 * Requests the kernel's gauges when the decisions ask for them. If they do not arrive in time, the decisions go on without them.
 * Runs on the backend's thread; times are in tenths of a millisecond.
 */
final class GaugePolling {
    private final Kernel kernel;
    private final Deadlines deadlines;
    private final Counters counters;
    private final int coreUseIndex;
    private final int runQueueIndex;
    private Deadlines.Deadline timeout; // of the request that is unanswered, or null

    GaugePolling(Kernel kernel, Deadlines deadlines, Counters counters, Settings settings) {
        this.kernel = kernel;
        this.deadlines = deadlines;
        this.counters = counters;
        coreUseIndex = settings.gaugeIndex("core_use");
        runQueueIndex = settings.gaugeIndex("on_cores");
    }

    /** Requests the gauges; the decisions wait for them until the given time. */
    void request(Choice decisions, long until) {
        kernel.requestGauges();
        timeout = deadlines.set(until, () -> {
            counters.add(Count.GAUGES_MISSED);
            done(decisions);
        });
    }

    /** The gauges have arrived. Does nothing if no request is unanswered. */
    void received(Choice decisions, double[] values) {
        if (timeout != null) {
            decisions.setGauges(valueAt(values, coreUseIndex), valueAt(values, runQueueIndex));
            done(decisions);
        }
    }

    private static double valueAt(double[] values, int index) {
        return index >= 0 && index < values.length ? values[index] : 0;
    }

    private void done(Choice decisions) {
        deadlines.cancel(timeout);
        timeout = null;
        decisions.onTimer(Choice.GAUGES_TIMER);
    }
}
