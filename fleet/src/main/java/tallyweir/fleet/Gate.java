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
    private static final int AHEAD = 4; // headroom asked for above the need: one in so many, plus one
    private static final int IDLE_REPORTS = 8; // reports after which peaks are reset, so that unused shares return

    private record Lingering(long until, TenantId tenant, ConnectionId connection, long since) {}

    /** A connection that counts for a tenant. */
    private static final class Use {
        int open; // queries
        long idleSince = -1; // since when no query is open, -1 while one is
        boolean ending; // accepts no more queries, because the limit was lowered
    }

    private static final class Tenant {
        final LinkedHashMap<ConnectionId, Use> uses = new LinkedHashMap<>();
        int cap = -1; // none
        int floor;
        int granted;
        int target;
        int ending; // number of connections that accept no more queries
        int most; // peak number of connections within the last reports
        final HashSet<ConnectionId> turned = new HashSet<>(); // connections rejected since the last report
        int wanted; // as of the last report
        boolean full; // the fleet grants less than is wanted

        /** Whether this equals the state of a tenant seen for the first time, so that it can be dropped. */
        boolean isIdle() {
            return uses.isEmpty()
                    && turned.isEmpty()
                    && granted == 0
                    && !full
                    && (cap == Caps.UNCAPPED || most == 0 && wanted == 0);
        }
    }

    private final long linger;
    private final Map<TenantId, Tenant> tenants = new HashMap<>(); // only tenants in use
    private final Map<ConnectionId, ArrayDeque<TenantId>> ofConnection = new HashMap<>();
    private final ArrayDeque<Lingering> lingering = new ArrayDeque<>(); // by expiry
    private long now;
    private long leaseUntil = Long.MIN_VALUE;
    private long floorUntil = Long.MIN_VALUE;
    private final FloorMemory floors = new FloorMemory();
    private Caps caps; // null until the first caps are known; until then every tenant counts as at its cap
    private int reports; // since the peaks were last reset
    private boolean pressed; // a tenant was rejected since the last report

    public Gate(long linger) {
        this.linger = linger;
    }

    /** The part of a cap that each slot may use without being lent anything. */
    public static int floor(int cap, double floorShare, int places) {
        return (int) Math.floor(cap * floorShare / places);
    }

    /** Advances the clock and releases the connections whose linger time is over. */
    public void clock(long now) {
        this.now = Math.max(this.now, now);
        while (!lingering.isEmpty() && lingering.peek().until <= this.now) {
            Lingering expired = lingering.poll();
            Use use = use(expired.connection, expired.tenant);
            if (use != null && use.idleSince == expired.since) {
                release(expired.tenant, expired.connection);
            }
        }
    }

    /** When {@link #clock} next has a connection to release, MAX_VALUE if there is none. */
    public long next() {
        return lingering.isEmpty() ? Long.MAX_VALUE : lingering.peek().until;
    }

    /** The state of a tenant, created on first use as if the tenant had been in use all along. */
    private Tenant tenant(TenantId tenant) {
        return tenants.computeIfAbsent(tenant, t -> {
            Tenant state = new Tenant();
            state.cap = caps == null ? Caps.UNCAPPED : caps.of(t);
            state.floor = floors.usable(t);
            return state;
        });
    }

    private Use use(ConnectionId connection, TenantId tenant) {
        Tenant state = tenants.get(tenant);
        return state == null ? null : state.uses.get(connection);
    }

    /** Sets how floors are derived from caps in this fleet. */
    void floors(int places, double floorShare) {
        floors.settings(places, floorShare);
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
        floors.caps(caps);
        tenants.forEach((t, state) -> {
            state.cap = caps.of(t);
            state.floor = Math.min(state.floor, floors.inForce(t));
        });
    }

    /** The caps in force here, null if this server does not know any yet. */
    public Caps caps() {
        return caps;
    }

    /**
     * Takes what the fleet has lent beyond the floors.
     *
     * @param shares by tenant; tenants left out are lent nothing
     * @param leaseUntil when the shares expire
     * @param floorUntil when the floors expire
     * @param floorsFree whether the floors of the caps in force here may be used, even if they are higher than before
     */
    public void lent(Map<TenantId, Grant> shares, long leaseUntil, long floorUntil, boolean floorsFree) {
        this.leaseUntil = leaseUntil;
        this.floorUntil = floorUntil;
        if (floorsFree) {
            floors.free();
        }
        shares.keySet().forEach(this::tenant);
        tenants.forEach((t, state) -> {
            Grant grant = shares.get(t);
            state.granted = grant == null ? 0 : grant.granted();
            state.target = grant == null ? 0 : grant.target();
            state.full = state.target < state.wanted;
            state.floor = floorsFree ? floors.inForce(t) : state.floor;
        });
    }

    /** The fleet has shut this server out: nothing is lent to it any more. */
    public void shutOut() {
        leaseUntil = Long.MIN_VALUE;
    }

    private int floorNow(Tenant state) {
        return now < floorUntil ? state.floor : 0;
    }

    /** The maximum number of connections. */
    private int most(Tenant state) {
        return floorNow(state) + (now < leaseUntil ? state.granted : 0);
    }

    /** The number of connections that the fleet wants the server to reduce to. */
    private int aim(Tenant state) {
        return floorNow(state) + (now < leaseUntil ? Math.min(state.granted, state.target) : 0);
    }

    /**
     * Retires connections above the target: idle ones stop counting at once, the others once their last query is
     * answered.
     */
    private void trim(TenantId t, Tenant state, int aim) {
        if (state.uses.size() - state.ending <= aim) {
            return;
        }
        for (Iterator<Map.Entry<ConnectionId, Use>> i = state.uses.entrySet().iterator();
                i.hasNext() && state.uses.size() - state.ending > aim; ) {
            Map.Entry<ConnectionId, Use> entry = i.next();
            if (entry.getValue().open == 0) {
                i.remove();
                leave(t, entry.getKey());
            }
        }
        for (Use use : state.uses.values()) {
            if (state.uses.size() - state.ending <= aim) {
                return;
            }
            state.ending += use.ending ? 0 : 1;
            use.ending = true;
        }
    }

    /**
     * Called for each query read. Returns whether the query may proceed, in which case its connection counts for the
     * tenant.
     */
    public boolean enter(ConnectionId connection, TenantId tenant) {
        if (caps == null) {
            return false;
        }
        Tenant state = tenant(tenant);
        if (state.cap >= 0) {
            trim(tenant, state, aim(state));
        }
        Use use = state.uses.get(connection);
        if (state.cap >= 0 && (use == null || use.ending)) {
            boolean room =
                    state.uses.size() - state.ending < aim(state) && (use != null || state.uses.size() < most(state));
            if (!room) {
                state.turned.add(connection);
                pressed = true;
                return false;
            }
        }
        if (use == null) {
            use = new Use();
            state.uses.put(connection, use);
            ofConnection.computeIfAbsent(connection, c -> new ArrayDeque<>(1)).add(tenant);
            state.most = Math.max(state.most, state.uses.size());
        }
        state.ending -= use.ending ? 1 : 0;
        use.ending = false;
        use.open++;
        use.idleSince = -1;
        return true;
    }

    /** A query that was admitted has been answered or its caller has disconnected. */
    public void over(ConnectionId connection, TenantId tenant) {
        Use use = use(connection, tenant);
        if (use == null || --use.open > 0) {
            return;
        }
        if (use.ending || linger == 0) {
            release(tenant, connection);
        } else {
            use.idleSince = now;
            lingering.add(new Lingering(now + linger, tenant, connection, now));
        }
    }

    /** A connection has closed: it counts for no tenant any more. */
    public void closed(ConnectionId connection) {
        ArrayDeque<TenantId> counted = ofConnection.get(connection);
        while (counted != null && !counted.isEmpty()) {
            release(counted.peek(), connection);
        }
    }

    private void release(TenantId t, ConnectionId connection) {
        Tenant state = tenants.get(t);
        Use use = state.uses.remove(connection);
        state.ending -= use.ending ? 1 : 0;
        leave(t, connection);
        if (state.isIdle()) {
            tenants.remove(t);
        }
    }

    private void leave(TenantId t, ConnectionId connection) {
        ArrayDeque<TenantId> counted = ofConnection.get(connection);
        counted.remove(t);
        if (counted.isEmpty()) {
            ofConnection.remove(connection);
        }
    }

    /**
     * The needs to report: how much of what was lent is kept, and how much is wanted. From now on no more than what is kept
     * is used, whether or not the report arrives.
     */
    public Map<TenantId, Need> needs() {
        Map<TenantId, Need> needs = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        pressed = false;
        reports = (reports + 1) % IDLE_REPORTS;
        tenants.forEach((t, state) -> {
            if (state.cap >= 0) {
                Need need = need(t, state);
                if (need.keep() > 0 || need.want() > 0) {
                    needs.put(t, need);
                }
            }
            state.turned.clear();
            if (reports == 0) {
                state.most = state.uses.size();
            }
        });
        tenants.values().removeIf(Tenant::isIdle);
        return needs;
    }

    private Need need(TenantId t, Tenant state) {
        trim(t, state, aim(state));
        int used = state.uses.size();
        int most = Math.max(state.most, used) + Math.min(state.turned.size(), state.cap);
        state.wanted = most == 0 ? 0 : Math.max(0, Math.min(state.cap, most + most / AHEAD + 1) - state.floor);
        int open = Math.max(0, used - floorNow(state));
        state.granted = Math.min(state.granted, Math.max(open, Math.min(state.target, state.wanted)));
        return new Need(Math.max(state.granted, open), state.wanted);
    }

    /** Whether a tenant was rejected since the last report, so that the next report should be sent at once. */
    public boolean pressed() {
        return pressed;
    }

    /** The number of connections that count for a tenant now. */
    public int used(TenantId tenant) {
        Tenant state = tenants.get(tenant);
        return state == null ? 0 : state.uses.size();
    }

    /** The maximum number of connections of a tenant now, -1 for no limit. */
    public int most(TenantId tenant) {
        Tenant state = tenants.get(tenant);
        if (state != null) {
            return state.cap < 0 ? -1 : most(state);
        }
        if (caps == null || caps.of(tenant) < 0) {
            return -1;
        }
        return now < floorUntil ? floors.usable(tenant) : 0;
    }

    /** Whether, as far as this server knows, the fleet has no more connections to lend to a tenant. */
    public boolean fleetFull(TenantId tenant) {
        Tenant state = tenants.get(tenant);
        return now < leaseUntil && state != null && state.full;
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
                .append(reports)
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
                    .append(state.ending)
                    .append(',')
                    .append(state.most)
                    .append(',')
                    .append(state.turned.size());
            state.uses.forEach((c, use) -> text.append(use.open).append(use.ending));
        });
        return text.toString();
    }
}
