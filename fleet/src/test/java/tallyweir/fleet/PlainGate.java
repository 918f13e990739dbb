package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.TenantId;

/**
 * A plain reference model of {@link Gate} that keeps state for every tenant with a cap; the class that Gate replaced.
 *
 * <p>Limits the connections of each tenant at one server. A connection counts for a tenant from the tenant's first accepted query
 * on it until none of its queries is open and a short linger time has passed, or until the connection closes. A tenant may
 * have as many as its floor, plus what the fleet has lent on top while the lease lasts. A decision compares counters only.
 * Times are in the unit of the clock that the caller passes in.
 */
public final class PlainGate {
    private static final int HEADROOM_DIVISOR = 4; // headroom asked for above the need: one in so many, plus one
    private static final int PEAK_WINDOW_REPORTS =
            8; // reports after which peaks are reset, so that unused shares return

    private record Lingering(long expiresAt, TenantId tenant, ConnectionId connection, long idleSince) {}

    /** A connection that counts for a tenant. */
    private static final class ConnectionUse {
        int openQueries; // queries
        long idleSince = -1; // since when no query is open, -1 while one is
        boolean retiring; // accepts no more queries, because the limit was lowered
    }

    private static final class Tenant {
        final LinkedHashMap<ConnectionId, ConnectionUse> uses = new LinkedHashMap<>();
        int cap = -1; // none
        int floor;
        int floorOnceFree; // the floor once the fleet has declared the floors free
        int granted;
        int target;
        int retiring; // number of connections that accept no more queries
        int peak; // peak number of connections within the last reports
        final HashSet<ConnectionId> rejected = new HashSet<>(); // connections rejected since the last report
        int wanted; // as of the last report
        int reportsInPeakWindow;
        boolean fleetFull; // the fleet grants less than is wanted
    }

    private final long lingerTime;
    private final Map<TenantId, Tenant> tenants = new HashMap<>();
    private final Map<ConnectionId, ArrayDeque<TenantId>> tenantsByConnection = new HashMap<>();
    private final ArrayDeque<Lingering> lingering = new ArrayDeque<>(); // by expiry
    private long now;
    private long leaseUntil = Long.MIN_VALUE;
    private long floorUntil = Long.MIN_VALUE;
    private int slots = 1;
    private double floorShare;
    private boolean hasCaps; // whether any caps are known; until then every tenant counts as at its cap

    public PlainGate(long lingerTime) {
        this.lingerTime = lingerTime;
    }

    /** The part of a cap that each slot may use without being lent anything. */
    public static int floor(int cap, double floorShare, int slots) {
        return (int) Math.floor(cap * floorShare / slots);
    }

    /** Advances the clock and releases the connections whose linger time is over. */
    public void advanceClock(long now) {
        this.now = Math.max(this.now, now);
        while (!lingering.isEmpty() && lingering.peek().expiresAt <= this.now) {
            Lingering expired = lingering.poll();
            ConnectionUse use = tenant(expired.tenant).uses.get(expired.connection);
            if (use != null && use.idleSince == expired.idleSince) {
                release(expired.tenant, expired.connection);
            }
        }
    }

    /** When {@link #advanceClock} next has a connection to release, MAX_VALUE if there is none. */
    public long nextReleaseAt() {
        return lingering.isEmpty() ? Long.MAX_VALUE : lingering.peek().expiresAt;
    }

    private Tenant tenant(TenantId t) {
        return tenants.computeIfAbsent(t, absent -> new Tenant());
    }

    /** Sets how floors are derived from caps in this fleet. */
    void configureFloors(int slots, double floorShare) {
        this.slots = slots;
        this.floorShare = floorShare;
    }

    /**
     * Sets the caps in force here; tenants left out have none. A floor that is higher than before applies only once the fleet
     * has declared the floors free, since until then it may be lent to others.
     */
    public void caps(Map<TenantId, Integer> caps) {
        hasCaps = true;
        caps.keySet().forEach(this::tenant);
        tenants.forEach((t, state) -> {
            state.cap = caps.getOrDefault(t, -1);
            state.floorOnceFree = state.cap < 0 ? 0 : floor(state.cap, floorShare, slots);
            state.floor = Math.min(state.floor, state.floorOnceFree);
        });
    }

    /**
     * Takes what the fleet has lent beyond the floors.
     *
     * @param grants by tenant; tenants left out are lent nothing
     * @param leaseUntil when the shares expire
     * @param floorUntil when the floors expire
     * @param floorsFree whether the floors of the caps in force here may be used, even if they are higher than before
     */
    public void updateGrants(Map<TenantId, Grant> grants, long leaseUntil, long floorUntil, boolean floorsFree) {
        this.leaseUntil = leaseUntil;
        this.floorUntil = floorUntil;
        grants.keySet().forEach(this::tenant);
        tenants.forEach((t, state) -> {
            Grant grant = grants.get(t);
            state.granted = grant == null ? 0 : grant.granted();
            state.target = grant == null ? 0 : grant.target();
            state.fleetFull = state.target < state.wanted;
            state.floor = floorsFree ? state.floorOnceFree : state.floor;
        });
    }

    /** The fleet has shut this server out: nothing is lent to it any more. */
    public void shutOut() {
        leaseUntil = Long.MIN_VALUE;
    }

    private int currentFloor(Tenant state) {
        return now < floorUntil ? state.floor : 0;
    }

    /** The maximum number of connections. */
    private int maxConnections(Tenant state) {
        return currentFloor(state) + (now < leaseUntil ? state.granted : 0);
    }

    /** The number of connections that the fleet wants the server to reduce to. */
    private int targetConnections(Tenant state) {
        return currentFloor(state) + (now < leaseUntil ? Math.min(state.granted, state.target) : 0);
    }

    /**
     * Retires connections above the target: idle ones stop counting at once, the others once their last query is
     * answered.
     */
    private void trim(TenantId t, Tenant state, int target) {
        if (state.uses.size() - state.retiring <= target) {
            return;
        }
        for (Iterator<Map.Entry<ConnectionId, ConnectionUse>> i =
                        state.uses.entrySet().iterator();
                i.hasNext() && state.uses.size() - state.retiring > target; ) {
            Map.Entry<ConnectionId, ConnectionUse> entry = i.next();
            if (entry.getValue().openQueries == 0) {
                i.remove();
                unlink(t, entry.getKey());
            }
        }
        for (ConnectionUse use : state.uses.values()) {
            if (state.uses.size() - state.retiring <= target) {
                return;
            }
            state.retiring += use.retiring ? 0 : 1;
            use.retiring = true;
        }
    }

    /**
     * Called for each query read. Returns whether the query may proceed, in which case its connection counts for the
     * tenant.
     */
    public boolean admit(ConnectionId connection, TenantId tenant) {
        if (!hasCaps) {
            return false;
        }
        Tenant state = tenant(tenant);
        if (state.cap >= 0) {
            trim(tenant, state, targetConnections(state));
        }
        ConnectionUse use = state.uses.get(connection);
        if (state.cap >= 0 && (use == null || use.retiring)) {
            boolean hasRoom = state.uses.size() - state.retiring < targetConnections(state)
                    && (use != null || state.uses.size() < maxConnections(state));
            if (!hasRoom) {
                state.rejected.add(connection);
                return false;
            }
        }
        if (use == null) {
            use = new ConnectionUse();
            state.uses.put(connection, use);
            tenantsByConnection
                    .computeIfAbsent(connection, c -> new ArrayDeque<>(1))
                    .add(tenant);
            state.peak = Math.max(state.peak, state.uses.size());
        }
        state.retiring -= use.retiring ? 1 : 0;
        use.retiring = false;
        use.openQueries++;
        use.idleSince = -1;
        return true;
    }

    /** A query that was admitted has been answered or its caller has disconnected. */
    public void onQueryEnd(ConnectionId connection, TenantId tenant) {
        ConnectionUse use = tenant(tenant).uses.get(connection);
        if (use == null || --use.openQueries > 0) {
            return;
        }
        if (use.retiring || lingerTime == 0) {
            release(tenant, connection);
        } else {
            use.idleSince = now;
            lingering.add(new Lingering(now + lingerTime, tenant, connection, now));
        }
    }

    /** A connection has closed: it counts for no tenant any more. */
    public void onConnectionClosed(ConnectionId connection) {
        ArrayDeque<TenantId> counted = tenantsByConnection.get(connection);
        while (counted != null && !counted.isEmpty()) {
            release(counted.peek(), connection);
        }
    }

    private void release(TenantId t, ConnectionId connection) {
        ConnectionUse use = tenant(t).uses.remove(connection);
        tenant(t).retiring -= use.retiring ? 1 : 0;
        unlink(t, connection);
    }

    private void unlink(TenantId t, ConnectionId connection) {
        ArrayDeque<TenantId> counted = tenantsByConnection.get(connection);
        counted.remove(t);
        if (counted.isEmpty()) {
            tenantsByConnection.remove(connection);
        }
    }

    /**
     * The needs to report: how much of what was lent is kept, and how much is wanted. From now on no more than what is kept
     * is used, whether or not the report arrives.
     */
    public Map<TenantId, Need> needs() {
        Map<TenantId, Need> result = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        tenants.forEach((t, state) -> {
            if (state.cap < 0) {
                return;
            }
            trim(t, state, targetConnections(state));
            int used = state.uses.size();
            int peak = Math.max(state.peak, used) + Math.min(state.rejected.size(), state.cap);
            state.wanted =
                    peak == 0 ? 0 : Math.max(0, Math.min(state.cap, peak + peak / HEADROOM_DIVISOR + 1) - state.floor);
            int open = Math.max(0, used - currentFloor(state));
            state.granted = Math.min(state.granted, Math.max(open, Math.min(state.target, state.wanted)));
            int keep = Math.max(state.granted, open);
            if (keep > 0 || state.wanted > 0) {
                result.put(t, new Need(keep, state.wanted));
            }
            state.rejected.clear();
            if (++state.reportsInPeakWindow >= PEAK_WINDOW_REPORTS) {
                state.reportsInPeakWindow = 0;
                state.peak = used;
            }
        });
        return result;
    }

    /** Whether a tenant was rejected since the last report, so that the next report should be sent at once. */
    public boolean hasRejected() {
        return tenants.values().stream().anyMatch(state -> !state.rejected.isEmpty());
    }

    /** The number of connections that count for a tenant now. */
    public int usedConnections(TenantId tenant) {
        return tenant(tenant).uses.size();
    }

    /** The maximum number of connections of a tenant now, -1 for no limit. */
    public int maxConnections(TenantId tenant) {
        Tenant state = tenant(tenant);
        return state.cap < 0 ? -1 : maxConnections(state);
    }

    /** Whether, as far as this server knows, the fleet has no more connections to lend to a tenant. */
    public boolean isFleetFull(TenantId tenant) {
        return now < leaseUntil && tenant(tenant).fleetFull;
    }

    /** The caps in force here by tenant, ordered by name. */
    public Map<TenantId, Integer> caps() {
        Map<TenantId, Integer> caps = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        tenants.forEach((t, state) -> {
            if (state.cap >= 0) {
                caps.put(t, state.cap);
            }
        });
        return caps;
    }

    /**
     * A text that is equal for equal states, with times relative to {@code from}; the exploration of states compares
     * it.
     */
    String describe(long from) {
        StringBuilder text = new StringBuilder()
                .append(leaseUntil > from ? leaseUntil - from : -1)
                .append(',')
                .append(floorUntil > from ? floorUntil - from : -1);
        tenants.forEach((t, state) -> {
            text.append(t.value())
                    .append(state.cap)
                    .append(',')
                    .append(state.floor)
                    .append(state.floorOnceFree)
                    .append(',')
                    .append(state.granted)
                    .append(',')
                    .append(state.target)
                    .append(',')
                    .append(state.retiring)
                    .append(',')
                    .append(state.peak)
                    .append(',')
                    .append(state.rejected.size())
                    .append(',')
                    .append(state.reportsInPeakWindow);
            state.uses.forEach((c, use) -> text.append(use.openQueries).append(use.retiring));
        });
        return text.toString();
    }
}
