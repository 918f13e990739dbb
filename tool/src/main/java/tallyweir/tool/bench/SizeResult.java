package tallyweir.tool.bench;

import java.util.Map;

/** The results of all cases with a revision of one size. */
record SizeResult(RevisionSize size, Map<ServerCase, CaseResult> cases) {
    LoadResult load(ServerCase of) {
        return cases.get(of).load();
    }

    /** What a case adds to the baseline at a percentile, milliseconds. */
    double addedMillis(ServerCase of, double percentile) {
        return load(of).percentileMillis(percentile) - load(ServerCase.BASELINE).percentileMillis(percentile);
    }

    /** Handled queries with the fleet part over handled queries without it. */
    double handledRatio() {
        return load(ServerCase.FLEET_ON).handledPerSecond()
                / load(ServerCase.FLEET_OFF).handledPerSecond();
    }

    /** The 99th percentile without the fleet part over that with it; below 1 where the fleet part is slower. */
    double latencyRatio() {
        return load(ServerCase.FLEET_OFF).percentileMillis(BenchReport.BUDGET_PERCENTILE)
                / load(ServerCase.FLEET_ON).percentileMillis(BenchReport.BUDGET_PERCENTILE);
    }
}
