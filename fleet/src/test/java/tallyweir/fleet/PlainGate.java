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
 * The connections of tenants at one server: a connection counts for a tenant from its first accepted query on it until
 * none is open and a short linger has passed, or until it closes. What may be accepted is a floor, and what the fleet has
 * lent on top while its lease lasts. Deciding is a look at a counter.
 */
public final class PlainGate {
    private static final int AHEAD = 4; // a share is taken ahead of need: one more in so many, and one
    private static final int IDLE_TURNS = 8; // reports after which what was not used is given back

    private record Lingering(long until, TenantId tenant, ConnectionId connection, long since) {}

    /** A connection that counts for a tenant. */
    private static final class Use {
        int open; // queries
        long idleSince = -1; // none is open since, -1 while one is
        boolean ending; // takes no more queries: what may count has become less
    }

    private static final class Tenant {
        final LinkedHashMap<ConnectionId, Use> uses = new LinkedHashMap<>();
        int cap = -1; // none
        int floor;
        int floorThen; // once the fleet has said that the floors are free
        int granted;
        int target;
        int ending; // of those that count
        int most; // that counted at once, since the last reports
        final HashSet<ConnectionId> turned = new HashSet<>(); // connections turned away since the last report
        int wanted; // by the last report
        int turns;
        boolean full; // the fleet has less for it than is wanted
    }

    private final long linger;
    private final Map<TenantId, Tenant> tenants = new HashMap<>();
    private final Map<ConnectionId, ArrayDeque<TenantId>> ofConnection = new HashMap<>();
    private final ArrayDeque<Lingering> lingering = new ArrayDeque<>(); // in the order of their ends
    private long now;
    private long leaseUntil = Long.MIN_VALUE;
    private long floorUntil = Long.MIN_VALUE;
    private int places = 1;
    private double floorShare;
    private boolean
            known; // which caps there are: a server that has never heard must take any tenant for one at its cap

    public PlainGate(long linger) {
        this.linger = linger;
    }

    /** What each place may use of a cap whatever becomes of the fleet. */
    public static int floor(int cap, double floorShare, int places) {
        return (int) Math.floor(cap * floorShare / places);
    }

    /** The time; lingering connections whose time is over are let go. */
    public void clock(long now) {
        this.now = Math.max(this.now, now);
        while (!lingering.isEmpty() && lingering.peek().until <= this.now) {
            Lingering l = lingering.poll();
            Use u = tenant(l.tenant).uses.get(l.connection);
            if (u != null && u.idleSince == l.since) {
                release(l.tenant, l.connection);
            }
        }
    }

    /** When clock lets something go, MAX_VALUE for never. */
    public long next() {
        return lingering.isEmpty() ? Long.MAX_VALUE : lingering.peek().until;
    }

    private Tenant tenant(TenantId t) {
        return tenants.computeIfAbsent(t, x -> new Tenant());
    }

    /** How floors come of caps in this fleet. */
    void floors(int places, double floorShare) {
        this.places = places;
        this.floorShare = floorShare;
    }

    /**
     * Caps that are in force here from now on; who is not named has none. A floor that is higher than
     * before counts once the fleet has said so: until then it may be lent.
     */
    public void caps(Map<TenantId, Integer> caps) {
        known = true;
        caps.keySet().forEach(this::tenant);
        tenants.forEach((t, of) -> {
            of.cap = caps.getOrDefault(t, -1);
            of.floorThen = of.cap < 0 ? 0 : floor(of.cap, floorShare, places);
            of.floor = Math.min(of.floor, of.floorThen);
        });
    }

    /** What the fleet has lent beyond the floors, tenants not named nothing, and until when each may be relied on. */
    public void lent(Map<TenantId, Grant> shares, long leaseUntil, long floorUntil, boolean floorsFree) {
        this.leaseUntil = leaseUntil;
        this.floorUntil = floorUntil;
        shares.keySet().forEach(this::tenant);
        tenants.forEach((t, of) -> {
            Grant g = shares.get(t);
            of.granted = g == null ? 0 : g.granted();
            of.target = g == null ? 0 : g.target();
            of.full = of.target < of.wanted;
            of.floor = floorsFree ? of.floorThen : of.floor;
        });
    }

    /** The fleet has ended this server's life in it: nothing is lent any more. */
    public void shutOut() {
        leaseUntil = Long.MIN_VALUE;
    }

    private int floorNow(Tenant of) {
        return now < floorUntil ? of.floor : 0;
    }

    /** How many connections may count. */
    private int most(Tenant of) {
        return floorNow(of) + (now < leaseUntil ? of.granted : 0);
    }

    /** To how many the fleet wants them to come down. */
    private int aim(Tenant of) {
        return floorNow(of) + (now < leaseUntil ? Math.min(of.granted, of.target) : 0);
    }

    /** Beyond what may count, connections take no more queries: the idle end at once, the others with their last answer. */
    private void trim(TenantId t, Tenant of, int aim) {
        if (of.uses.size() - of.ending <= aim) {
            return;
        }
        for (Iterator<Map.Entry<ConnectionId, Use>> i = of.uses.entrySet().iterator();
                i.hasNext() && of.uses.size() - of.ending > aim; ) {
            Map.Entry<ConnectionId, Use> e = i.next();
            if (e.getValue().open == 0) {
                i.remove();
                leave(t, e.getKey());
            }
        }
        for (Use u : of.uses.values()) {
            if (of.uses.size() - of.ending <= aim) {
                return;
            }
            of.ending += u.ending ? 0 : 1;
            u.ending = true;
        }
    }

    /** A query of a tenant was read: true if it may go on to the decisions, and then its connection counts. */
    public boolean enter(ConnectionId connection, TenantId tenant) {
        if (!known) {
            return false;
        }
        Tenant of = tenant(tenant);
        if (of.cap >= 0) {
            trim(tenant, of, aim(of));
        }
        Use u = of.uses.get(connection);
        if (of.cap >= 0 && (u == null || u.ending)) {
            boolean room = of.uses.size() - of.ending < aim(of) && (u != null || of.uses.size() < most(of));
            if (!room) {
                of.turned.add(connection);
                return false;
            }
        }
        if (u == null) {
            u = new Use();
            of.uses.put(connection, u);
            ofConnection.computeIfAbsent(connection, c -> new ArrayDeque<>(1)).add(tenant);
            of.most = Math.max(of.most, of.uses.size());
        }
        of.ending -= u.ending ? 1 : 0;
        u.ending = false;
        u.open++;
        u.idleSince = -1;
        return true;
    }

    /** A query that was let in is answered or gone. */
    public void over(ConnectionId connection, TenantId tenant) {
        Use u = tenant(tenant).uses.get(connection);
        if (u == null || --u.open > 0) {
            return;
        }
        if (u.ending || linger == 0) {
            release(tenant, connection);
        } else {
            u.idleSince = now;
            lingering.add(new Lingering(now + linger, tenant, connection, now));
        }
    }

    /** A connection is closed: nothing of it counts. */
    public void closed(ConnectionId connection) {
        ArrayDeque<TenantId> all = ofConnection.get(connection);
        while (all != null && !all.isEmpty()) {
            release(all.peek(), connection);
        }
    }

    private void release(TenantId t, ConnectionId connection) {
        Use u = tenant(t).uses.remove(connection);
        tenant(t).ending -= u.ending ? 1 : 0;
        leave(t, connection);
    }

    private void leave(TenantId t, ConnectionId connection) {
        ArrayDeque<TenantId> all = ofConnection.get(connection);
        all.remove(t);
        if (all.isEmpty()) {
            ofConnection.remove(connection);
        }
    }

    /**
     * What is to be reported: of what was lent so much is kept, and so much is wanted. From here on no more is relied on
     * than is kept, whether or not the report arrives.
     */
    public Map<TenantId, Need> needs() {
        Map<TenantId, Need> all = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        tenants.forEach((t, of) -> {
            if (of.cap < 0) {
                return;
            }
            trim(t, of, aim(of));
            int used = of.uses.size();
            int most = Math.max(of.most, used) + Math.min(of.turned.size(), of.cap);
            of.wanted = most == 0 ? 0 : Math.max(0, Math.min(of.cap, most + most / AHEAD + 1) - of.floor);
            int open = Math.max(0, used - floorNow(of));
            of.granted = Math.min(of.granted, Math.max(open, Math.min(of.target, of.wanted)));
            int keep = Math.max(of.granted, open);
            if (keep > 0 || of.wanted > 0) {
                all.put(t, new Need(keep, of.wanted));
            }
            of.turned.clear();
            if (++of.turns >= IDLE_TURNS) {
                of.turns = 0;
                of.most = used;
            }
        });
        return all;
    }

    /** Whether a tenant was turned away since the last report: then the next should not wait. */
    public boolean pressed() {
        return tenants.values().stream().anyMatch(of -> !of.turned.isEmpty());
    }

    /** Connections of a tenant that count now. */
    public int used(TenantId tenant) {
        return tenant(tenant).uses.size();
    }

    /** How many connections of a tenant may count now, -1 for any number. */
    public int most(TenantId tenant) {
        Tenant of = tenant(tenant);
        return of.cap < 0 ? -1 : most(of);
    }

    /** Whether the fleet as a whole has nothing more for a tenant, as far as is known here. */
    public boolean fleetFull(TenantId tenant) {
        return now < leaseUntil && tenant(tenant).full;
    }

    /** The caps in force here. */
    public Map<TenantId, Integer> caps() {
        Map<TenantId, Integer> all = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        tenants.forEach((t, of) -> {
            if (of.cap >= 0) {
                all.put(t, of.cap);
            }
        });
        return all;
    }

    /** All that its future hangs on, times from this one on. */
    String describe(long from) {
        StringBuilder all = new StringBuilder()
                .append(leaseUntil > from ? leaseUntil - from : -1)
                .append(',')
                .append(floorUntil > from ? floorUntil - from : -1);
        tenants.forEach((t, of) -> {
            all.append(t.value())
                    .append(of.cap)
                    .append(',')
                    .append(of.floor)
                    .append(of.floorThen)
                    .append(',')
                    .append(of.granted)
                    .append(',')
                    .append(of.target)
                    .append(',')
                    .append(of.ending)
                    .append(',')
                    .append(of.most)
                    .append(',')
                    .append(of.turned.size())
                    .append(',')
                    .append(of.turns);
            of.uses.forEach((c, u) -> all.append(u.open).append(u.ending));
        });
        return all.toString();
    }
}
