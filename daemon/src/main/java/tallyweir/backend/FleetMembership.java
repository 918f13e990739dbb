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
 * This server's membership in its fleet. Connects the member's state machine with the fleet client and with the parts that
 * depend on the revision in use. All methods are called on the deciding thread, and none does work that grows with a
 * revision's table. Times are tenths of a millisecond.
 */
final class FleetMembership implements MemberActions {
    private static final Logger LOG = LoggerFactory.getLogger(FleetMembership.class);
    private static final long PRESSED = 500; // a tenant that was turned away is reported within this time
    private static final long BACK_OFF = 2_500; // for callers turned away; leaves time for the answer to that report
    private static final long BEGUN_SPAN = 600_000;
    private static final int BEGUN_BUCKETS = 600;
    private static final int FETCHES_MOST =
            5; // of a proposed revision, before this server reports that it cannot use it
    private static final long FETCH_AGAIN = 2_000;

    private final Queries queries;
    private final Deadlines deadlines;
    private final FleetClient client;
    private final String fleet;
    private final Executor deciding;
    private final Gate gate;
    private final Member member;
    private final String name;
    private final RevisionPreparer preparer;
    private final RevisionParts parts;
    private final Ring begun = new Ring(BEGUN_SPAN, BEGUN_BUCKETS);
    private final long life; // by the wall clock, so that it is higher for each later process of this server
    private final boolean whole;
    private RevisionId checking = RevisionId.NONE; // the proposed revision that is being checked
    private PreparedRevision checked; // the last one that was checked, null once it is in use
    private boolean backByFleet;
    private boolean leaving;
    private long newerSince; // when the newer revision came into force, by this server's clock; 0 if there is none
    private Deadlines.Deadline next;

    /**
     * Creates the membership; the server joins the fleet once the clock is set.
     *
     * @param fleet the name of the fleet
     * @param decidingExecutor runs callbacks on the deciding thread
     * @param name the name of this server
     * @param listen the address that this server listens on
     * @param linger how long a connection counts for a tenant after its last query
     * @param minRetryInterval minimum time before an unanswered command is sent again
     * @param withdrawWhenOut whether the server is withdrawn while it is out of the fleet
     * @param life start of this process by the wall clock, higher than that of the process before it
     * @param disabledGuards guards that are off, for checks only
     */
    FleetMembership(
            Queries queries,
            Links links,
            Deadlines deadlines,
            FleetClient client,
            String fleet,
            Executor decidingExecutor,
            String name,
            String listen,
            long linger,
            long minRetryInterval,
            boolean withdrawWhenOut,
            long seed,
            long now,
            long life,
            Set<Guard> disabledGuards) {
        this.life = life;
        this.queries = queries;
        this.deadlines = deadlines;
        this.client = client;
        this.fleet = fleet;
        this.deciding = decidingExecutor;
        this.name = name;
        whole = !disabledGuards.contains(Guard.WHOLE);
        gate = new Gate(linger);
        parts = new RevisionParts(queries, links, gate);
        preparer = new RevisionPreparer(client, this::decide, name, queries.workloads());
        member = new Member(
                this, gate, new ServerId(name), listen, minRetryInterval, withdrawWhenOut, seed, now, disabledGuards);
    }

    /**
     * Sets the clock. Called first in each round: a lease that has expired since the last round must end before any input of
     * this round is handled.
     */
    void clock(long now) {
        member.clock(now);
        rearm();
    }

    private void rearm() {
        deadlines.cancel(next);
        long at = Math.min(member.next(), gate.next());
        next = at == Long.MAX_VALUE ? null : deadlines.set(at, () -> clock(queries.now()));
    }

    private void decide(Runnable callback) {
        deciding.execute(() -> {
            if (!leaving) {
                callback.run();
                rearm();
            }
        });
    }

    // ---- queries

    /**
     * Whether the tenant's cap admits a query, which then counts until {@link #over}. After a refusal this server reports to the
     * fleet soon.
     */
    boolean enter(ConnectionId connection, TenantId tenant) {
        boolean admitted = gate.enter(connection, tenant);
        if (!admitted) {
            member.stir(PRESSED);
            rearm();
        }
        return admitted;
    }

    /** A query that was admitted is answered, or its caller disconnected. */
    void over(ConnectionId connection, TenantId tenant) {
        gate.over(connection, tenant);
    }

    void closed(ConnectionId connection) {
        gate.closed(connection);
    }

    /** The back-off for callers whose queries are deferred by a cap or a withdrawal. */
    long backOff() {
        return BACK_OFF;
    }

    /** Whether the fleet as a whole has no connections left for a tenant, as far as this server knows. */
    boolean full(TenantId tenant) {
        return gate.fleetFull(tenant);
    }

    /** A query was read. Counts those that were still read under the older revision after a newer one came into force. */
    void begun(long now) {
        begun.add(now, 1);
    }

    /** Whether a query keeps the store that it was assigned when it was read; false only in checks. */
    boolean whole() {
        return whole;
    }

    /** Whether this server is withdrawn: it defers new queries and is no longer announced. */
    boolean standsBack() {
        return parts.standsBack() || backByFleet;
    }

    /** The revision in use and whether this server is a member, for the counters. */
    Map<String, Long> counts() {
        return Map.of("revision", member.acting().value(), "member", member.member() ? 1L : 0L);
    }

    /** Leaves the fleet in an orderly way and closes the client; callbacks that arrive later are ignored. */
    void leave() {
        leaving = true;
        if (member.as() != null) {
            client.leave(new ServerId(name), member.as());
        }
        client.close();
    }

    // ---- actions of the member

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

    private void check(RevisionRoot revision, int attemptsLeft) {
        preparer.prepare(
                queries.routes(),
                revision,
                prepared -> {
                    if (checking.equals(revision.id())) {
                        checked = prepared;
                        member.checked(revision.id(), prepared.routes().cannot());
                    }
                },
                reason -> checkFailed(revision, attemptsLeft - 1, reason));
    }

    private void checkFailed(RevisionRoot revision, int attemptsLeft, String reason) {
        if (!checking.equals(revision.id())) {
            return; // another one is being checked by now
        }
        LOG.atWarn()
                .addKeyValue("revision", revision.id().value())
                .addKeyValue("why", reason)
                .log("a proposed revision could not be fetched or prepared");
        if (attemptsLeft > 0) {
            deadlines.set(queries.now() + FETCH_AGAIN, () -> check(revision, attemptsLeft));
        } else {
            member.checked(revision.id(), "it could not be had: " + reason);
        }
    }

    @Override
    public void act(RevisionRoot revision) {
        if (checked != null && checked.revision().equals(revision)) {
            use(checked);
        } else {
            preparer.prepare(queries.routes(), revision, this::use, reason -> cannotAct(revision, reason));
        }
    }

    private void cannotAct(RevisionRoot revision, String reason) {
        LOG.atWarn()
                .addKeyValue("revision", revision.id().value())
                .addKeyValue("why", reason)
                .log("cannot act on a revision");
        member.cannotAct(revision.id());
    }

    private void use(PreparedRevision next) {
        String reason = next.routes().cannot();
        if (!reason.isEmpty()) {
            cannotAct(next.revision(), reason);
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
        // Deferred, since the member may be calling this and its actions must not call back before they return.
        decide(() -> member.acting(revision, parts.digest(), outdated));
    }

    @Override
    public void standBack(boolean withdrawn) {
        backByFleet = withdrawn;
        LOG.atWarn().log(withdrawn ? "out of the fleet: new queries are deferred" : "in the fleet again");
        queries.standsBack();
    }

    // ---- answers of the fleet

    private void hear(Answer answer) {
        if (answer instanceof Answer.Joined joined) {
            LOG.atInfo().addKeyValue("incarnation", joined.as().value()).log("joined the fleet");
        } else if (answer instanceof Answer.Told told) {
            noteAge(told);
        } else if (answer instanceof Answer.Refused refused) {
            warn(refused.why());
        } else {
            member.failed(); // not an answer to any command of a server
            return;
        }
        member.hear(answer);
    }

    private void noteAge(Answer.Told told) {
        if (member.acting().before(told.inForce().id()) && newerSince == 0) {
            newerSince = Math.max(1, queries.now() - told.age());
        }
    }

    private static void warn(Fault fault) {
        LOG.atWarn()
                .addKeyValue("why", fault.what())
                .addKeyValue("advice", fault.advice())
                .log("the fleet refused a command of this server");
    }
}
