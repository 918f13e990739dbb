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
    final Ring runs;
    final Ring predicted;
    int begun;

    Workload(Effect effect, long expected, long hard, double revenue, double lateValue, long window,
            boolean callsBelow, double poorerValue, Ring runs, Ring predicted) {
        this.effect = effect;
        this.expected = expected;
        this.hard = hard;
        this.revenue = revenue;
        this.lateValue = lateValue;
        this.window = window;
        this.callsBelow = callsBelow;
        this.poorerValue = poorerValue;
        this.runs = runs;
        this.predicted = predicted;
    }
}
