package tallyweir.fleet;

/**
 * The settings of a fleet. Times are tenths of a millisecond.
 *
 * @param version settings are adopted only if their version is higher than that of the current ones
 * @param leaseDuration how long after a report a server may use the connections lent to it
 * @param maxOpenDuration how long after the lease the queries that it accepted may still be open, by its own clock: the longest hard limit
 *     plus the linger time
 * @param floorLeaseDuration how long after a report a server may use its floors
 * @param maxBehindDuration maximum time that a server may be behind the revision in force before it is shut out
 * @param maxClockDrift maximum ratio by which a clock may run fast or slow
 * @param maxShutOutShare maximum share of servers that may be shut out at once
 * @param maxRejectingShare maximum share of servers that cannot act on a revision for it to come into force nevertheless
 * @param maxServers number of slots; this and the floor share are fixed when the fleet is created, because servers rely on the
 *     floors that follow from them
 * @param floorShare the share of a cap that is divided among all slots as floors
 * @param probationDuration how long after it came into force a revision is rolled back if servers do worse under it, 0 for never
 * @param maxBadShareRatio a server does worse if its share of late and errored queries is more than this many times that before
 * @param minWorseServersShare the minimum share of live servers that must do worse for a rollback
 */
public record FleetSettings(
        long version,
        long leaseDuration,
        long maxOpenDuration,
        long floorLeaseDuration,
        long maxBehindDuration,
        double maxClockDrift,
        double maxShutOutShare,
        double maxRejectingShare,
        int maxServers,
        double floorShare,
        long probationDuration,
        double maxBadShareRatio,
        double minWorseServersShare) {
    /** The settings before a fleet is created. */
    static final FleetSettings NONE = new FleetSettings(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /**
     * These settings for a fleet that has others already: the number of slots and the floor share stay as they were.
     */
    FleetSettings withFixedPartsOf(FleetSettings before) {
        return new FleetSettings(
                version,
                leaseDuration,
                maxOpenDuration,
                floorLeaseDuration,
                maxBehindDuration,
                maxClockDrift,
                maxShutOutShare,
                maxRejectingShare,
                before.maxServers,
                before.floorShare,
                probationDuration,
                maxBadShareRatio,
                minWorseServersShare);
    }
}
