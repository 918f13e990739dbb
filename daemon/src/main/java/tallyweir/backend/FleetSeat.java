package tallyweir.backend;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.config.BadSetting;
import tallyweir.config.Routing;
import tallyweir.fleet.Acts;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Caps;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Gate;
import tallyweir.fleet.Grant;
import tallyweir.fleet.Guard;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Member;
import tallyweir.fleet.Need;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.Way;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.TenantId;
import tallyweir.ring.Ring;

/** This server in its fleet: carries words between its own side, the way to the fleet and the parts that are routed by it. */
final class FleetSeat implements Acts, Answers {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSeat.class);
    private static final long PRESSED = 500; // a tenant that was turned away is reported within so long
    private static final long BACK_OFF = 2_500; // and told to come back after it has had an answer
    private static final long BEGUN_SPAN = 600_000;
    private static final int BEGUN_BUCKETS = 600;

    /** The caps that a revision's text lists. */
    private record RoutingCaps(Map<TenantId, Integer> caps) implements Caps {
        @Override
        public int of(TenantId tenant) {
            return caps.getOrDefault(tenant, UNCAPPED);
        }
    }

    private final Queries queries;
    private final Links links;
    private final Deadlines deadlines;
    private final Way way;
    private final Executor deciding;
    private final Gate gate;
    private final Member member;
    private final String name;
    private final Map<RevisionId, Routing> read = new HashMap<>(); // the one in force here and what may follow
    private final Ring begun = new Ring(BEGUN_SPAN, BEGUN_BUCKETS);
    private InetSocketAddress kernel; // by the revision in force, null for as configured
    private InetSocketAddress announce;
    private final long life; // of this process, by the wall's clock at its start
    private boolean backByRevision;
    private boolean backByFleet;
    private boolean leaving;
    private final boolean whole;
    private long newerSince; // by this server's clock: the revision that is wanted came into force
    private Deadlines.Deadline next;

    FleetSeat(
            Queries queries,
            Links links,
            Deadlines deadlines,
            Way way,
            Executor deciding,
            String name,
            String listen,
            long linger,
            long again,
            boolean backWhole,
            long seed,
            long now,
            long life,
            Set<Guard> without) {
        this.life = life;
        this.queries = queries;
        this.links = links;
        this.deadlines = deadlines;
        this.way = way;
        this.deciding = deciding;
        this.name = name;
        whole = !without.contains(Guard.WHOLE);
        gate = new Gate(linger);
        member = new Member(this, gate, new ServerId(name), listen, again, backWhole, seed, now, without);
    }

    /** The clock of each round comes first: what was lent may be over since the last, whatever has come in meanwhile. */
    void clock(long now) {
        member.clock(now);
        rearm();
    }

    private void rearm() {
        deadlines.cancel(next);
        long at = Math.min(member.next(), gate.next());
        next = at == Long.MAX_VALUE ? null : deadlines.set(at, () -> clock(queries.now()));
    }

    // ---- queries

    /** Whether a query of this tenant may go on to the decisions. */
    boolean enter(ConnectionId connection, TenantId tenant) {
        boolean in = gate.enter(connection, tenant);
        if (!in) {
            member.stir(PRESSED);
            rearm();
        }
        return in;
    }

    void over(ConnectionId connection, TenantId tenant) {
        gate.over(connection, tenant);
    }

    void closed(ConnectionId connection) {
        gate.closed(connection);
    }

    long backOff() {
        return BACK_OFF;
    }

    boolean full(TenantId tenant) {
        return gate.fleetFull(tenant);
    }

    void begun(long now) {
        begun.add(now, 1);
    }

    /** Whether a query keeps the route it was given at read. */
    boolean whole() {
        return whole;
    }

    /** Whether new queries are to be turned away and this server is announced no more. */
    boolean standsBack() {
        return backByRevision || backByFleet;
    }

    Map<String, Long> counts() {
        return Map.of("revision", member.acting().value(), "member", member.member() ? 1L : 0L);
    }

    void leave() {
        leaving = true;
        if (member.as() != null) {
            way.leave(new ServerId(name), member.as());
        }
        way.close();
    }

    // ---- what its own side asks for

    @Override
    public void join(ServerId server, String listen) {
        way.join(server, listen, life, this::decide, this, member::failed);
    }

    @Override
    public void report(
            ServerId server,
            Incarnation as,
            long number,
            RevisionId acting,
            Digest inForce,
            long outdated,
            RevisionId checked,
            String cannot,
            Map<TenantId, Need> needs) {
        way.report(
                server,
                as,
                number,
                acting,
                inForce,
                outdated,
                checked,
                cannot,
                queries.ended(),
                queries.bad(),
                needs,
                this::decide,
                this,
                member::failed);
    }

    private void decide(Runnable news) {
        deciding.execute(() -> {
            if (!leaving) {
                news.run();
                rearm();
            }
        });
    }

    @Override
    public void check(RevisionId revision) {
        way.body(revision, this::decide, text -> {
            String why = text == null ? "its text could not be had" : read(revision, text);
            member.checked(revision, why);
        });
    }

    /** Why a revision cannot be acted on, empty if it can; what it says is kept. */
    private String read(RevisionId revision, byte[] text) {
        try {
            Routing r = Routing.parse(text);
            String why = r.cannot(queries.workloads());
            if (why.isEmpty()) {
                read.put(revision, r);
            }
            return why;
        } catch (BadSetting e) {
            return e.getMessage();
        }
    }

    @Override
    public void act(RevisionId revision) {
        if (read.containsKey(revision)) {
            take(revision);
            return;
        }
        way.body(revision, this::decide, text -> {
            String why = text == null ? "its text could not be had" : read(revision, text);
            if (why.isEmpty()) {
                take(revision);
            } else {
                LOG.atWarn()
                        .addKeyValue("revision", revision.value())
                        .addKeyValue("why", why)
                        .log("cannot act on a revision");
                member.cannotAct(revision);
            }
        });
    }

    private void take(RevisionId revision) {
        Routing r = read.get(revision);
        read.keySet().removeIf(id -> id.before(revision));
        long outdated = newerSince == 0 ? 0 : begun.countSince(queries.now(), newerSince);
        newerSince = 0;
        queries.route(new Routes(revision, r.stores));
        gate.caps(new RoutingCaps(r.caps));
        if (!same(kernel, r.kernels.get(name)) || !same(announce, r.announce)) {
            kernel = r.kernels.get(name);
            announce = r.announce;
            links.route(kernel, announce);
        }
        backByRevision = r.standBack.contains(name);
        queries.standsBack();
        LOG.atInfo()
                .addKeyValue("revision", revision.value())
                .addKeyValue("outdated", outdated)
                .log("acts on a revision");
        // Later, as this is asked for by the side that hears of it.
        decide(() -> member.acting(revision, inForce(), outdated));
    }

    private static boolean same(InetSocketAddress a, InetSocketAddress b) {
        return a == null ? b == null : a.equals(b);
    }

    /** Of the parts in use. */
    private Digest inForce() {
        Map<TenantId, Integer> caps = gate.caps() instanceof RoutingCaps inUse ? inUse.caps : Map.of();
        return Routing.inForce(queries.routes().stores, announce, kernel, caps, backByRevision);
    }

    @Override
    public void standBack(boolean back) {
        backByFleet = back;
        LOG.atWarn().log(back ? "out of the fleet: stands back" : "in the fleet again");
        queries.standsBack();
    }

    // ---- what the fleet answers

    @Override
    public void joined(Incarnation as, int places, double floorShare, long next) {
        LOG.atInfo().addKeyValue("incarnation", as.value()).log("has a place in the fleet");
        member.joined(as, places, floorShare);
    }

    @Override
    public void told(
            long number,
            long lease,
            long floorLease,
            boolean floorsFree,
            RevisionId inForce,
            long age,
            RevisionId toCheck,
            Map<TenantId, Grant> shares,
            long next) {
        if (member.acting().before(inForce) && newerSince == 0) {
            newerSince = Math.max(1, queries.now() - age);
        }
        member.told(number, lease, floorLease, floorsFree, inForce, toCheck, shares, next);
    }

    @Override
    public void done(RevisionId revision) {
        member.failed(); // no answer to what this server asks
    }

    @Override
    public void refused(Fault why) {
        LOG.atWarn()
                .addKeyValue("why", why.what())
                .addKeyValue("advice", why.advice())
                .log("the fleet turned this server down");
        member.refused(why);
    }
}
