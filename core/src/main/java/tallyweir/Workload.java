package tallyweir;

import tallyweir.ring.SlidingWindow;

/** The settings and measurements of one workload. Times are tenths of a millisecond. */
final class Workload {
    final Effect effect;
    final long expectedTime;
    final long hardLimit;
    final double revenue;
    final double lateValue; // part of the revenue that an answer past its expected time earns
    final long repeatWindow; // in which a repeat of a stamped query must not run again
    final boolean callsStore;
    final double degradedValue; // part of the revenue that a degraded answer earns; 0 if there is none
    SlidingWindow runDurations;
    SlidingWindow predictedRunTimes;
    int startedRuns;

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
        this.expectedTime = expectedTime;
        this.hardLimit = hardLimit;
        this.revenue = revenue;
        this.lateValue = lateValue;
        this.repeatWindow = repeatWindow;
        this.callsStore = callsStore;
        this.degradedValue = degradedValue;
    }

    /** Sets the window over which the durations of runs are averaged, both measured and predicted. */
    void setMeasurementWindow(long measurementWindow, int buckets) {
        runDurations = new SlidingWindow(measurementWindow, buckets);
        predictedRunTimes = new SlidingWindow(measurementWindow, buckets);
    }
}
