package tallyweir;

import tallyweir.ring.Ring;

/** The settings and measurements of one workload. Times are tenths of a millisecond. */
final class Workload {
    final Effect effect;
    final long expected;
    final long hard;
    final double revenue;
    final double lateValue; // part of the revenue that an answer past its expected time earns
    final long window; // in which a repeat of a stamped query must not run again
    final boolean callsBelow;
    final double poorerValue; // part of the revenue that a degraded answer earns; 0 if there is none
    Ring runs;
    Ring predicted;
    int begun;

    Workload(
            Effect effect,
            long expectedTime,
            long hardLimit,
            double revenue,
            double lateValue,
            long repeatWindow,
            boolean callsStore,
            double degradedValue) {
        this.effect = effect;
        this.expected = expectedTime;
        this.hard = hardLimit;
        this.revenue = revenue;
        this.lateValue = lateValue;
        this.window = repeatWindow;
        this.callsBelow = callsStore;
        this.poorerValue = degradedValue;
    }

    /** Sets the window over which the durations of runs are averaged, both measured and predicted. */
    void measuredOver(long measurementWindow, int buckets) {
        runs = new Ring(measurementWindow, buckets);
        predicted = new Ring(measurementWindow, buckets);
    }
}
