package tallyweir.fleet;

import java.util.EnumSet;
import java.util.Set;

/**
 * What all parts of the replicated state share: the fleet's settings, its clock, and the guards that are on. Durations and the
 * fleet's clock are tenths of a millisecond.
 */
final class FleetContext {
    private final Set<Guard> without;
    private String fleet = "";
    private FleetSettings settings = FleetSettings.NONE;
    private long tail;
    private long now;
    private long wall;

    FleetContext(Set<Guard> without) {
        this.without = without.isEmpty() ? EnumSet.noneOf(Guard.class) : EnumSet.copyOf(without);
    }

    boolean has(Guard guard) {
        return !without.contains(guard);
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
        tail = LeaseSpans.waited(settings.tail(), settings.drift());
    }

    /** How long after the end of a server's lease queries that it accepted may still be open, by the fleet's clock. */
    long tail() {
        return has(Guard.WAIT) ? tail : 0;
    }

    /** The fleet's clock, in tenths of a millisecond. It never goes back. */
    long now() {
        return now;
    }

    /** The leader's wall clock in ms since 1970, only shown to people. */
    long wall() {
        return wall;
    }

    void clock(long at, long wall) {
        now = Math.max(now, at);
        this.wall = wall;
    }
}
