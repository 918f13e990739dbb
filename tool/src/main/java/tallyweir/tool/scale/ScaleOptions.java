package tallyweir.tool.scale;

/**
 * What is to be run.
 *
 * @param changesPerDay of one cap each
 * @param seconds how long it is measured
 */
record ScaleOptions(FleetSize size, double changesPerDay, long seed, double seconds, int activeTenants) {
    private static final double SECONDS_IN_DAY = 86_400;

    /** Ticks from one change to the next. */
    long changeEvery() {
        return Math.max(1, (long) (SECONDS_IN_DAY / changesPerDay * ScaleSettings.SECOND));
    }

    /** Ticks for which it is measured. */
    long span() {
        return (long) (seconds * ScaleSettings.SECOND);
    }
}
