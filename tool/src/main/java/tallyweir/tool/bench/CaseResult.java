package tallyweir.tool.bench;

/**
 * What a server did under the load of one case.
 *
 * @param load what its senders saw
 * @param cpuMillis processor time of its process while it was under load
 * @param loadedSeconds for how long it was under load, warm-up left out
 * @param residentKb its resident memory at the end
 */
record CaseResult(LoadResult load, long cpuMillis, double loadedSeconds, long residentKb) {
    private static final double MICROS_PER_MILLI = 1_000;

    /** Processor time, milliseconds in each second. */
    double cpuMillisPerSecond() {
        return cpuMillis / loadedSeconds;
    }

    /** Processor time for each handled query. */
    double cpuMicrosPerQuery() {
        return cpuMillis * MICROS_PER_MILLI / Math.max(1, load.count(QueryOutcome.HANDLED));
    }
}
