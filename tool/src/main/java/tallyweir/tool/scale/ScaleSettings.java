package tallyweir.tool.scale;

import tallyweir.fleet.FleetSettings;

/** The settings of the fleets that are measured: the defaults of the operators' file, with a place for each server. */
final class ScaleSettings {
    /** The fleet's name. */
    static final String FLEET = "scale";

    /** Ticks of the fleet's clock in a second. */
    static final long SECOND = 10_000;

    /** How long a server may rely on what it is lent after a report. */
    static final long LEASE = 10 * SECOND;

    /** How long a connection counts for a tenant after its last query. */
    static final long LINGER = SECOND;

    /** How long a server waits at the least before it asks again. */
    static final long RETRY = LEASE / 20;

    private static final long VERSION = 1;
    private static final long LONGEST_QUERY = 10 * SECOND;
    private static final long FLOOR_LEASE = 3_600 * SECOND;
    private static final long BEHIND_MOST = 30 * SECOND;
    private static final double DRIFT = 0.01;
    private static final double MOST_OUT = 0.34;
    private static final double MOST_CANNOT = 0.25;
    private static final double FLOOR_SHARE = 0.2;
    private static final long PROBATION = 30 * SECOND;
    private static final double WORSE_RATIO = 2;
    private static final double SICK_SHARE = 0.5;

    private ScaleSettings() {}

    /** Of a fleet with so many places. */
    static FleetSettings fleet(int places) {
        return new FleetSettings(
                VERSION,
                LEASE,
                LONGEST_QUERY + LINGER,
                FLOOR_LEASE,
                BEHIND_MOST,
                DRIFT,
                MOST_OUT,
                MOST_CANNOT,
                places,
                FLOOR_SHARE,
                PROBATION,
                WORSE_RATIO,
                SICK_SHARE);
    }
}
