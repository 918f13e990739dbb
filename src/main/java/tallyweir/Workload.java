package tallyweir;

import tallyweir.ring.Ring;

record Workload(Effect effect, long expected, long hard, double revenue, double lateValue, long window,
        double poorerValue, Ring runs, Ring predicted) {}
