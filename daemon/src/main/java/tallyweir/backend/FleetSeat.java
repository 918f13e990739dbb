package tallyweir.backend;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.Gate;
import tallyweir.fleet.Guard;
import tallyweir.fleet.Member;
import tallyweir.fleet.MemberActions;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.TenantId;
import tallyweir.ring.Ring;

/**
 * This server in its fleet: connects its own side of the fleet with the client and with the parts that go by a revision. All of
 * it is called on the deciding thread and nothing in it grows with a revision's table.
 */
final class FleetSeat implements MemberActions {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSeat.class);
    private static final long PRESSED = 500; // a tenant that was turned away is reported within so long
    private static final long BACK_OFF = 2_500; // and told to come back after it has had an answer
    private static final long BEGUN_SPAN = 600_000;
    private static final int BEGUN_BUCKETS = 600;
    private static final int FETCHES_MOST = 5; // of a proposed revision, before this server says that it cannot take it
    private static final long FETCH_AGAIN = 2_000;

    private final Queries queries;
    private final Deadlines deadlines;
    private final FleetClient client;
    private final String fleet; // its name
    private final Executor deciding;
    private final Gate gate;
    private final Member member;
    private final String name;
    private final RevisionPreparer preparer;
    private final RevisionParts parts;
    private final Ring begun = new Ring(BEGUN_SPAN, BEGUN_BUCKETS);
    private final long life; // of this process, by the wall's clock at its start
    private final boolean whole;
    private RevisionId checking = RevisionId.NONE; // the proposed revision that is looked at
    private PreparedRevision checked; // the one looked at last, null once it is in use
    private boolean backByFleet;
    private boolean leaving;
    private long newerSince; // by this server's clock: the revision that is wanted came into force
    private Deadlines.Deadline next;

    FleetSeat(
            Queries queries,
            Links links,
            Deadlines deadlines,
            FleetClient client,
            String fleet,
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
        this.deadlines = deadlines;
        this.client = client;
        this.fleet = fleet;
        this.deciding = deciding;
        this.name = name;
        whole = !without.contains(Guard.WHOLE);
        gate = new Gate(linger);
        parts = new RevisionParts(queries, links, gate);
        preparer = new RevisionPreparer(client, this::decide, name, queries.workloads());
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

    private void decide(Runnable news) {
        deciding.execute(() -> {
            if (!leaving) {
                news.run();
                rearm();
            }
        });
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
        return parts.standsBack() || backByFleet;
    }

    Map<String, Long> counts() {
        return Map.of("revision", member.acting().value(), "member", member.member() ? 1L : 0L);
    }

    void leave() {
        leaving = true;
        if (member.as() != null) {
            client.leave(new ServerId(name), member.as());
        }
        client.close();
    }

    // ---- what its own side asks for

    @Override
    public Ended ended() {
        return new Ended(queries.ended(), queries.bad());
    }

    @Override
    public void join(ServerId server, String listen) {
        send(new Command.Join(fleet, server, listen, life));
    }

    @Override
    public void report(Command.Report report) {
        send(report);
    }

    private void send(Command command) {
        client.send(command, this::decide, this::hear, member::failed);
    }

    @Override
    public void check(RevisionRoot revision) {
        checking = revision.id();
        checked = null;
        check(revision, FETCHES_MOST);
    }

    private void check(RevisionRoot revision, int tries) {
        preparer.prepare(
                queries.routes(),
                revision,
                prepared -> {
                    if (checking.equals(revision.id())) {
                        checked = prepared;
                        member.checked(revision.id(), prepared.routes().cannot());
                    }
                },
                why -> checkFailed(revision, tries - 1, why));
    }

    private void checkFailed(RevisionRoot revision, int tries, String why) {
        if (!checking.equals(revision.id())) {
            return; // another one is looked at by now
        }
        LOG.atWarn()
                .addKeyValue("revision", revision.id().value())
                .addKeyValue("why", why)
                .log("a proposed revision could not be had");
        if (tries > 0) {
            deadlines.set(queries.now() + FETCH_AGAIN, () -> check(revision, tries));
        } else {
            member.checked(revision.id(), "it could not be had: " + why);
        }
    }

    @Override
    public void act(RevisionRoot revision) {
        if (checked != null && checked.revision().equals(revision)) {
            use(checked);
        } else {
            preparer.prepare(queries.routes(), revision, this::use, why -> cannotAct(revision, why));
        }
    }

    private void cannotAct(RevisionRoot revision, String why) {
        LOG.atWarn()
                .addKeyValue("revision", revision.id().value())
                .addKeyValue("why", why)
                .log("cannot act on a revision");
        member.cannotAct(revision.id());
    }

    private void use(PreparedRevision next) {
        String cannot = next.routes().cannot();
        if (!cannot.isEmpty()) {
            cannotAct(next.revision(), cannot);
            return;
        }
        checked = null;
        RevisionId revision = next.revision().id();
        long outdated = newerSince == 0 ? 0 : begun.countSince(queries.now(), newerSince);
        newerSince = 0;
        parts.use(next);
        queries.standsBack();
        LOG.atInfo()
                .addKeyValue("revision", revision.value())
                .addKeyValue("outdated", outdated)
                .log("acts on a revision");
        // Later, as this is asked for by the side that hears of it.
        decide(() -> member.acting(revision, parts.digest(), outdated));
    }

    @Override
    public void standBack(boolean back) {
        backByFleet = back;
        LOG.atWarn().log(back ? "out of the fleet: stands back" : "in the fleet again");
        queries.standsBack();
    }

    // ---- what the fleet answers

    private void hear(Answer answer) {
        if (answer instanceof Answer.Joined joined) {
            LOG.atInfo().addKeyValue("incarnation", joined.as().value()).log("has a place in the fleet");
        } else if (answer instanceof Answer.Told told) {
            noteAge(told);
        } else if (answer instanceof Answer.Refused refused) {
            warn(refused.why());
        } else {
            member.failed(); // no answer to what this server asks
            return;
        }
        member.hear(answer);
    }

    private void noteAge(Answer.Told told) {
        if (member.acting().before(told.inForce().id()) && newerSince == 0) {
            newerSince = Math.max(1, queries.now() - told.age());
        }
    }

    private static void warn(Fault why) {
        LOG.atWarn()
                .addKeyValue("why", why.what())
                .addKeyValue("advice", why.advice())
                .log("the fleet turned this server down");
    }
}
