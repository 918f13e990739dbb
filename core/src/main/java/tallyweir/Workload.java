package tallyweir;

import tallyweir.ring.Ring;

/** The settings of one workload and what is measured of it. */
final class Workload {
    final Effect effect;
    final long expected;
    final long hard;
    final double revenue;
    final double lateValue;
    final long window;
    final boolean callsBelow;
    final double poorerValue;
    Ring runs;
    Ring predicted;
    int begun;

    Workload(
            Effect effect,
            long expected,
            long hard,
            double revenue,
            double lateValue,
            long window,
            boolean callsBelow,
            double poorerValue) {
        this.effect = effect;
        this.expected = expected;
        this.hard = hard;
        this.revenue = revenue;
        this.lateValue = lateValue;
        this.window = window;
        this.callsBelow = callsBelow;
        this.poorerValue = poorerValue;
    }

    /** Lengths of runs, as measured and as predicted, count over this span. */
    void measuredOver(long span, int buckets) {
        runs = new Ring(span, buckets);
        predicted = new Ring(span, buckets);
    }
}
