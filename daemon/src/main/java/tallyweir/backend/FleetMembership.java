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
import tallyweir.ring.SlidingWindow;

/**
 * This server's membership in its fleet. Connects the member's state machine with the fleet client and with the parts that
 * depend on the revision in use. All methods are called on the deciding thread, and none does work that grows with a
 * revision's table. Times are tenths of a millisecond.
 */
final class FleetMembership implements MemberActions {
    private static final Logger LOG = LoggerFactory.getLogger(FleetMembership.class);
    private static final long URGENT_REPORT_DELAY_TENTHS_MS =
            500; // a tenant that was turned away is reported within this time
    private static final long BACK_OFF_TENTHS_MS =
            2_500; // for callers turned away; leaves time for the answer to that report
    private static final long QUERIES_READ_WINDOW_TENTHS_MS = 600_000;
    private static final int QUERIES_READ_BUCKETS = 600;
    private static final int MAX_FETCH_ATTEMPTS =
            5; // of a proposed revision, before this server reports that it cannot use it
    private static final long FETCH_RETRY_INTERVAL_TENTHS_MS = 2_000;

    private final Queries queries;
    private final Deadlines deadlines;
    private final FleetClient client;
    private final String fleetName;
    private final Executor decidingExecutor;
    private final Gate gate;
    private final Member member;
    private final String serverName;
    private final RevisionPreparer preparer;
    private final RevisionParts parts;
    private final SlidingWindow queriesRead = new SlidingWindow(QUERIES_READ_WINDOW_TENTHS_MS, QUERIES_READ_BUCKETS);
    private final long
            processStartedAt; // by the wall clock, so that it is higher for each later process of this server
    private final boolean pinsRoutes;
    private RevisionId proposedRevision = RevisionId.NONE; // the proposed revision that is being checked
    private PreparedRevision checkedRevision; // the last one that was checked, null once it is in use
    private boolean withdrawnByFleet;
    private boolean leaving;
    private long newerRevisionAt; // when the newer revision came into force, by this server's clock; 0 if there is none
    private Deadlines.Deadline nextDeadline;

    /**
     * Creates the membership; the server joins the fleet once the clock is set.
     *
     * @param fleetName the name of the fleet
     * @param decidingExecutor runs callbacks on the deciding thread
     * @param serverName the name of this server
     * @param listen the address that this server listens on
     * @param linger how long a connection counts for a tenant after its last query
     * @param minRetryInterval minimum time before an unanswered command is sent again
     * @param withdrawWhenOut whether the server is withdrawn while it is out of the fleet
     * @param processStartedAt start of this process by the wall clock, higher than that of the process before it
     * @param disabledGuards guards that are off, for checks only
     */
    FleetMembership(
            Queries queries,
            Links links,
            Deadlines deadlines,
            FleetClient client,
            String fleetName,
            Executor decidingExecutor,
            String serverName,
            String listen,
            long linger,
            long minRetryInterval,
            boolean withdrawWhenOut,
            long seed,
            long now,
            long processStartedAt,
            Set<Guard> disabledGuards) {
        this.processStartedAt = processStartedAt;
        this.queries = queries;
        this.deadlines = deadlines;
        this.client = client;
        this.fleetName = fleetName;
        this.decidingExecutor = decidingExecutor;
        this.serverName = serverName;
        pinsRoutes = !disabledGuards.contains(Guard.WHOLE);
        gate = new Gate(linger);
        parts = new RevisionParts(queries, links, gate);
        preparer = new RevisionPreparer(client, this::runOnDecidingThread, serverName, queries.workloads());
        member = new Member(
                this,
                gate,
                new ServerId(serverName),
                listen,
                minRetryInterval,
                withdrawWhenOut,
                seed,
                now,
                disabledGuards);
    }

    /**
     * Sets the clock. Called first in each round: a lease that has expired since the last round must end before any input of
     * this round is handled.
     */
    void clock(long now) {
        member.clock(now);
        resetDeadline();
    }

    private void resetDeadline() {
        deadlines.cancel(nextDeadline);
        long dueAt = Math.min(member.nextDeadline(), gate.nextReleaseAt());
        nextDeadline = dueAt == Long.MAX_VALUE ? null : deadlines.set(dueAt, () -> clock(queries.now()));
    }

    private void runOnDecidingThread(Runnable callback) {
        decidingExecutor.execute(() -> {
            if (!leaving) {
                callback.run();
                resetDeadline();
            }
        });
    }

    // ---- queries

    /**
     * Whether the tenant's cap admits a query, which then counts until {@link #onQueryEnded}. After a refusal this server reports to the
     * fleet soon.
     */
    boolean enter(ConnectionId connection, TenantId tenant) {
        boolean admitted = gate.admit(connection, tenant);
        if (!admitted) {
            member.requestReportWithin(URGENT_REPORT_DELAY_TENTHS_MS);
            resetDeadline();
        }
        return admitted;
    }

    /** A query that was admitted is answered, or its caller disconnected. */
    void onQueryEnded(ConnectionId connection, TenantId tenant) {
        gate.onQueryEnd(connection, tenant);
    }

    void onConnectionClosed(ConnectionId connection) {
        gate.onConnectionClosed(connection);
    }

    /** The back-off for callers whose queries are deferred by a cap or a withdrawal. */
    long backOff() {
        return BACK_OFF_TENTHS_MS;
    }

    /** Whether the fleet as a whole has no connections left for a tenant, as far as this server knows. */
    boolean isFleetFull(TenantId tenant) {
        return gate.isFleetFull(tenant);
    }

    /** A query was read. Counts those that were still read under the older revision after a newer one came into force. */
    void onQueryRead(long now) {
        queriesRead.add(now, 1);
    }

    /** Whether a query keeps the store that it was assigned when it was read; false only in checks. */
    boolean pinsRoutes() {
        return pinsRoutes;
    }

    /** Whether this server is withdrawn: it defers new queries and is no longer announced. */
    boolean isWithdrawn() {
        return parts.isWithdrawn() || withdrawnByFleet;
    }

    /** The revision in use and whether this server is a member, for the counters. */
    Map<String, Long> counts() {
        return Map.of("revision", member.applied().value(), "member", member.isMember() ? 1L : 0L);
    }

    /** Leaves the fleet in an orderly way and closes the client; callbacks that arrive later are ignored. */
    void leave() {
        leaving = true;
        if (member.incarnation() != null) {
            client.leave(new ServerId(serverName), member.incarnation());
        }
        client.close();
    }

    // ---- actions of the member

    @Override
    public QueryCounts endedQueries() {
        return new QueryCounts(
                queries.answers().finishedCount(), queries.answers().erroredOrLateCount());
    }

    @Override
    public void join(ServerId server, String listen) {
        send(new Command.Join(fleetName, server, listen, processStartedAt));
    }

    @Override
    public void report(Command.Report report) {
        send(report);
    }

    private void send(Command command) {
        client.send(command, this::runOnDecidingThread, this::onAnswer, member::requestFailed);
    }

    @Override
    public void check(RevisionRoot revision) {
        proposedRevision = revision.id();
        checkedRevision = null;
        check(revision, MAX_FETCH_ATTEMPTS);
    }

    private void check(RevisionRoot revision, int attemptsLeft) {
        preparer.prepare(
                queries.routes(),
                revision,
                prepared -> {
                    if (proposedRevision.equals(revision.id())) {
                        checkedRevision = prepared;
                        member.checked(revision.id(), prepared.routes().unusableReason());
                    }
                },
                reason -> onCheckFailed(revision, attemptsLeft - 1, reason));
    }

    private void onCheckFailed(RevisionRoot revision, int attemptsLeft, String reason) {
        if (!proposedRevision.equals(revision.id())) {
            return; // another one is being checked by now
        }
        LOG.atWarn()
                .addKeyValue("revision", revision.id().value())
                .addKeyValue("why", reason)
                .log("a proposed revision could not be fetched or prepared");
        if (attemptsLeft > 0) {
            deadlines.set(queries.now() + FETCH_RETRY_INTERVAL_TENTHS_MS, () -> check(revision, attemptsLeft));
        } else {
            member.checked(revision.id(), "it could not be had: " + reason);
        }
    }

    @Override
    public void apply(RevisionRoot revision) {
        if (checkedRevision != null && checkedRevision.revision().equals(revision)) {
            applyRevision(checkedRevision);
        } else {
            preparer.prepare(queries.routes(), revision, this::applyRevision, reason -> cannotAct(revision, reason));
        }
    }

    private void cannotAct(RevisionRoot revision, String reason) {
        LOG.atWarn()
                .addKeyValue("revision", revision.id().value())
                .addKeyValue("why", reason)
                .log("cannot act on a revision");
        member.applyFailed(revision.id());
    }

    private void applyRevision(PreparedRevision next) {
        String reason = next.routes().unusableReason();
        if (!reason.isEmpty()) {
            cannotAct(next.revision(), reason);
            return;
        }
        checkedRevision = null;
        RevisionId revision = next.revision().id();
        long outdated = newerRevisionAt == 0 ? 0 : queriesRead.countSince(queries.now(), newerRevisionAt);
        newerRevisionAt = 0;
        parts.apply(next);
        queries.withdrawalChanged();
        LOG.atInfo()
                .addKeyValue("revision", revision.value())
                .addKeyValue("outdated", outdated)
                .log("acts on a revision");
        // Deferred, since the member may be calling this and its actions must not call back before they return.
        runOnDecidingThread(() -> member.applied(revision, parts.digest(), outdated));
    }

    @Override
    public void setWithdrawn(boolean withdrawn) {
        withdrawnByFleet = withdrawn;
        LOG.atWarn().log(withdrawn ? "out of the fleet: new queries are deferred" : "in the fleet again");
        queries.withdrawalChanged();
    }

    // ---- answers of the fleet

    private void onAnswer(Answer answer) {
        if (answer instanceof Answer.Joined joined) {
            LOG.atInfo()
                    .addKeyValue("incarnation", joined.incarnation().value())
                    .log("joined the fleet");
        } else if (answer instanceof Answer.ReportAccepted told) {
            noteNewerRevision(told);
        } else if (answer instanceof Answer.Refused refused) {
            logRefusal(refused.fault());
        } else {
            member.requestFailed(); // not an answer to any command of a server
            return;
        }
        member.onAnswer(answer);
    }

    private void noteNewerRevision(Answer.ReportAccepted told) {
        if (member.applied().isBefore(told.inForce().id()) && newerRevisionAt == 0) {
            newerRevisionAt = Math.max(1, queries.now() - told.inForceDuration());
        }
    }

    private static void logRefusal(Fault fault) {
        LOG.atWarn()
                .addKeyValue("why", fault.description())
                .addKeyValue("advice", fault.advice())
                .log("the fleet turned this server down");
    }
}
