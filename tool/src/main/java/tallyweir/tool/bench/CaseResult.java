package tallyweir.tool.bench;

/**
 * What a server did under the load of one case.
 *
 * @param load what its senders saw
 * @param cpuMillis processor time of its process while it was under load
 * @param loadedSeconds for how long it was under load, warm-up left out
 * @param residentKb its resident memory at the end
 * @param machine what the whole machine did meanwhile, this bench included
 */
record CaseResult(LoadResult load, long cpuMillis, double loadedSeconds, long residentKb, MachineUsage machine) {
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Processor time, milliseconds in each second. */
    double cpuMillisPerSecond() {
        return cpuMillis / loadedSeconds;
    }

    /** Cores of the machine that were busy, this bench included. */
    double busyCores() {
        return machine.busyMillis() / MILLIS_PER_SECOND / loadedSeconds;
    }

    /** Cores that the hypervisor gave to others. */
    double stolenCores() {
        return machine.stolenMillis() / MILLIS_PER_SECOND / loadedSeconds;
    }

    /** Processor time for each handled query. */
    double cpuMicrosPerQuery() {
        return cpuMillis * MICROS_PER_MILLI / Math.max(1, load.count(QueryOutcome.HANDLED));
    }
}
