package tallyweir.fleet;

/**
 * What a fleet goes by. Times are tenths of a millisecond.
 *
 * @param version only settings of a higher version than before are taken
 * @param lease how long a server may rely on what it is lent after a report
 * @param tail how long after that what it accepted may still be open by its own clock: longest hard limit and linger
 * @param floorLease so with its floors
 * @param behindMost how long a server may be behind before it is shut out
 * @param drift the ratio by which clocks may run fast or slow
 * @param mostOut the share of servers that may be shut out at once
 * @param mostCannot the share of servers up to which a revision comes into force though they cannot take it
 * @param serversMost places; this and the next are set once, since servers go by the floors that come of them
 * @param floorShare the part of a cap that is spread over all places as floors
 * @param probation how long after it came into force a revision is rolled back if servers fare worse, 0 for never
 * @param worseRatio how many times the share of late and errored queries before is worse
 * @param sickShare the share of live servers of which that has to be so
 */
public record FleetSettings(
        long version,
        long lease,
        long tail,
        long floorLease,
        long behindMost,
        double drift,
        double mostOut,
        double mostCannot,
        int serversMost,
        double floorShare,
        long probation,
        double worseRatio,
        double sickShare) {
    /** Before a fleet is founded. */
    static final FleetSettings NONE = new FleetSettings(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** These for a fleet that goes by others already: what is set once stays. */
    FleetSettings after(FleetSettings before) {
        return new FleetSettings(
                version,
                lease,
                tail,
                floorLease,
                behindMost,
                drift,
                mostOut,
                mostCannot,
                before.serversMost,
                before.floorShare,
                probation,
                worseRatio,
                sickShare);
    }
}
