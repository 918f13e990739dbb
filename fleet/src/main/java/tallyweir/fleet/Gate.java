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
 * Limits the connections of each tenant at one server. A connection counts for a tenant from the tenant's first accepted query
 * on it until none of its queries is open and a short linger time has passed, or until the connection closes. A tenant may
 * have as many as its floor, plus what the fleet has lent on top while the lease lasts. A decision compares counters only.
 * Times are in the unit of the clock that the caller passes in.
 */
public final class Gate {
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
        int granted;
        int target;
        int retiring; // number of connections that accept no more queries
        int peak; // peak number of connections within the last reports
        final HashSet<ConnectionId> rejected = new HashSet<>(); // connections rejected since the last report
        int wanted; // as of the last report
        boolean fleetFull; // the fleet grants less than is wanted

        /** Whether this equals the state of a tenant seen for the first time, so that it can be dropped. */
        boolean isIdle() {
            return uses.isEmpty()
                    && rejected.isEmpty()
                    && granted == 0
                    && !fleetFull
                    && (cap == Caps.UNCAPPED || peak == 0 && wanted == 0);
        }
    }

    private final long lingerTime;
    private final Map<TenantId, Tenant> tenants = new HashMap<>(); // only tenants in use
    private final Map<ConnectionId, ArrayDeque<TenantId>> tenantsByConnection = new HashMap<>();
    private final ArrayDeque<Lingering> lingering = new ArrayDeque<>(); // by expiry
    private long now;
    private long leaseUntil = Long.MIN_VALUE;
    private long floorUntil = Long.MIN_VALUE;
    private final FloorHistory floors = new FloorHistory();
    private Caps caps; // null until the first caps are known; until then every tenant counts as at its cap
    private int reportsInPeakWindow; // since the peaks were last reset
    private boolean rejectedSinceReport; // a tenant was rejected since the last report

    public Gate(long lingerTime) {
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
            ConnectionUse use = use(expired.connection, expired.tenant);
            if (use != null && use.idleSince == expired.idleSince) {
                release(expired.tenant, expired.connection);
            }
        }
    }

    /** When {@link #advanceClock} next has a connection to release, MAX_VALUE if there is none. */
    public long nextReleaseAt() {
        return lingering.isEmpty() ? Long.MAX_VALUE : lingering.peek().expiresAt;
    }

    /** The state of a tenant, created on first use as if the tenant had been in use all along. */
    private Tenant tenant(TenantId tenant) {
        return tenants.computeIfAbsent(tenant, t -> {
            Tenant state = new Tenant();
            state.cap = caps == null ? Caps.UNCAPPED : caps.of(t);
            state.floor = floors.usableFloor(t);
            return state;
        });
    }

    private ConnectionUse use(ConnectionId connection, TenantId tenant) {
        Tenant state = tenants.get(tenant);
        return state == null ? null : state.uses.get(connection);
    }

    /** Sets how floors are derived from caps in this fleet. */
    void configureFloors(int slots, double floorShare) {
        floors.configure(slots, floorShare);
    }

    /**
     * Sets the caps in force here; passing the current ones again changes nothing. A floor that is higher than before applies
     * only once the fleet has declared the floors free, since until then it may be lent to others. Costs as many lookups as
     * tenants are in use.
     */
    public void caps(Caps caps) {
        if (this.caps == caps) {
            return;
        }
        this.caps = caps;
        floors.onCapsInForce(caps);
        tenants.forEach((t, state) -> {
            state.cap = caps.of(t);
            state.floor = Math.min(state.floor, floors.floorInForce(t));
        });
    }

    /** The caps in force here, null if this server does not know any yet. */
    public Caps caps() {
        return caps;
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
        if (floorsFree) {
            floors.onFloorsFree();
        }
        grants.keySet().forEach(this::tenant);
        tenants.forEach((t, state) -> {
            Grant grant = grants.get(t);
            state.granted = grant == null ? 0 : grant.granted();
            state.target = grant == null ? 0 : grant.target();
            state.fleetFull = state.target < state.wanted;
            state.floor = floorsFree ? floors.floorInForce(t) : state.floor;
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
        if (caps == null) {
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
                rejectedSinceReport = true;
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
        ConnectionUse use = use(connection, tenant);
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
        Tenant state = tenants.get(t);
        ConnectionUse use = state.uses.remove(connection);
        state.retiring -= use.retiring ? 1 : 0;
        unlink(t, connection);
        if (state.isIdle()) {
            tenants.remove(t);
        }
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
        rejectedSinceReport = false;
        reportsInPeakWindow = (reportsInPeakWindow + 1) % PEAK_WINDOW_REPORTS;
        tenants.forEach((t, state) -> {
            if (state.cap >= 0) {
                Need need = need(t, state);
                if (need.kept() > 0 || need.wanted() > 0) {
                    result.put(t, need);
                }
            }
            state.rejected.clear();
            if (reportsInPeakWindow == 0) {
                state.peak = state.uses.size();
            }
        });
        tenants.values().removeIf(Tenant::isIdle);
        return result;
    }

    private Need need(TenantId t, Tenant state) {
        trim(t, state, targetConnections(state));
        int used = state.uses.size();
        int peak = Math.max(state.peak, used) + Math.min(state.rejected.size(), state.cap);
        state.wanted =
                peak == 0 ? 0 : Math.max(0, Math.min(state.cap, peak + peak / HEADROOM_DIVISOR + 1) - state.floor);
        int open = Math.max(0, used - currentFloor(state));
        state.granted = Math.min(state.granted, Math.max(open, Math.min(state.target, state.wanted)));
        return new Need(Math.max(state.granted, open), state.wanted);
    }

    /** Whether a tenant was rejected since the last report, so that the next report should be sent at once. */
    public boolean hasRejected() {
        return rejectedSinceReport;
    }

    /** The number of connections that count for a tenant now. */
    public int usedConnections(TenantId tenant) {
        Tenant state = tenants.get(tenant);
        return state == null ? 0 : state.uses.size();
    }

    /** The maximum number of connections of a tenant now, -1 for no limit. */
    public int maxConnections(TenantId tenant) {
        Tenant state = tenants.get(tenant);
        if (state != null) {
            return state.cap < 0 ? -1 : maxConnections(state);
        }
        if (caps == null || caps.of(tenant) < 0) {
            return -1;
        }
        return now < floorUntil ? floors.usableFloor(tenant) : 0;
    }

    /** Whether, as far as this server knows, the fleet has no more connections to lend to a tenant. */
    public boolean isFleetFull(TenantId tenant) {
        Tenant state = tenants.get(tenant);
        return now < leaseUntil && state != null && state.fleetFull;
    }

    /** Number of tenants in use: connected or lent to, or recently connected or rejected. */
    int tenantsInUse() {
        return tenants.size();
    }

    /**
     * A text that is equal for equal states, with times relative to {@code from}; the exploration of states compares
     * it.
     */
    String describe(long from) {
        StringBuilder text = new StringBuilder()
                .append(leaseUntil > from ? leaseUntil - from : -1)
                .append(',')
                .append(floorUntil > from ? floorUntil - from : -1)
                .append(caps != null)
                .append(reportsInPeakWindow)
                .append(floors.describe());
        tenants.forEach((t, state) -> {
            text.append(t.value())
                    .append(state.cap)
                    .append(',')
                    .append(state.floor)
                    .append(',')
                    .append(state.granted)
                    .append(',')
                    .append(state.target)
                    .append(',')
                    .append(state.retiring)
                    .append(',')
                    .append(state.peak)
                    .append(',')
                    .append(state.rejected.size());
            state.uses.forEach((c, use) -> text.append(use.openQueries).append(use.retiring));
        });
        return text.toString();
    }
}
