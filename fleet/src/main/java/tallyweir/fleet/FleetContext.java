package tallyweir.fleet;

import java.util.EnumSet;
import java.util.Set;

/**
 * What all parts of the replicated state share: the fleet's settings, its clock, and the guards that are on. Durations and the
 * fleet's clock are tenths of a millisecond.
 */
final class FleetContext {
    private final Set<Guard> disabledGuards;
    private String fleet = "";
    private FleetSettings settings = FleetSettings.NONE;
    private long maxOpenDuration;
    private long now;
    private long wallMs;

    FleetContext(Set<Guard> disabledGuards) {
        this.disabledGuards = disabledGuards.isEmpty() ? EnumSet.noneOf(Guard.class) : EnumSet.copyOf(disabledGuards);
    }

    boolean isEnabled(Guard guard) {
        return !disabledGuards.contains(guard);
    }

    String fleet() {
        return fleet;
    }

    FleetSettings settings() {
        return settings;
    }

    void settings(String fleet, FleetSettings settings) {
        this.fleet = fleet;
        this.settings = settings;
        maxOpenDuration = LeaseDurations.forGrantor(settings.maxOpenDuration(), settings.maxClockDrift());
    }

    /** How long after the end of a server's lease queries that it accepted may still be open, by the fleet's clock. */
    long maxOpenDuration() {
        return isEnabled(Guard.WAIT) ? maxOpenDuration : 0;
    }

    /** The fleet's clock, in tenths of a millisecond. It never goes back. */
    long now() {
        return now;
    }

    /** The leader's wall clock in ms since 1970, only shown to people. */
    long wallMs() {
        return wallMs;
    }

    void advanceClock(long at, long wallMs) {
        now = Math.max(now, at);
        this.wallMs = wallMs;
    }
}
