package tallyweir.fleet;

import java.util.EnumSet;
import java.util.Set;

/** What all parts of the shared state go by: the fleet's settings, its clock, and the guards that are on. */
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

    /** How long after a server's lease what it accepted may still be open, by the fleet's clock. */
    long tail() {
        return has(Guard.WAIT) ? tail : 0;
    }

    /** The fleet's clock, tenths of a millisecond. */
    long now() {
        return now;
    }

    /** The wall's clock as the leader had it, ms since 1970; for people. */
    long wall() {
        return wall;
    }

    void clock(long at, long wall) {
        now = Math.max(now, at);
        this.wall = wall;
    }
}
