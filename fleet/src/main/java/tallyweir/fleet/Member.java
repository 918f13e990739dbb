package tallyweir.fleet;

import java.util.Set;
import java.util.SplittableRandom;
import tallyweir.rules.RuleList;

/**
 * A server's side of the fleet protocol: decides from the fleet's answers and its own clock what the server may do now.
 * Nothing here blocks. A server that hears nothing from the fleet continues with the revision it has, and its leases
 * expire by its own clock before the fleet lends the same share to another server.
 *
 * <p>Times are tenths of a millisecond. Not thread-safe.
 */
public final class Member {
    private static final int MAX_BACKOFF_FACTOR = 16; // bounds the delay, so that the fleet is retried regularly

    private final MemberActions actions;
    private final Gate gate;
    private final Set<Guard> disabledGuards;
    private final ServerId server;
    private final String listen;
    private final boolean withdrawWithoutLease;
    private final long minRetryDelay;
    private final SplittableRandom random;
    private final RuleList rules = new RuleList();
    private long now;
    private Incarnation incarnation;
    private boolean awaitingAnswer; // a join or report was sent and is unanswered
    private long nextRequestAt; // when the next report or join is due
    private long reportNumber; // of the last report
    private long reportSentAt; // when the last report was first sent
    private boolean reportAnswered = true; // the last report
    private long leaseDeadline = Long.MIN_VALUE;
    private boolean member;
    private int failures;
    private RevisionId appliedRevision = RevisionId.NONE;
    private Digest appliedRoot = Digest.NONE;
    private long outdatedQueries;
    private RevisionRoot wantedRevision = RevisionRoot.NONE;
    private RevisionId applyingRevision = RevisionId.NONE;
    private RevisionId failedRevision = RevisionId.NONE;
    private long failedAt;
    private RevisionRoot revisionToCheck = RevisionRoot.NONE;
    private RevisionId checkingRevision = RevisionId.NONE;
    private RevisionId checkedRevision = RevisionId.NONE;
    private String checkFailure = "";
    private boolean withdrawn;

    /**
     * @param gate the counts of tenants' connections; this class sets how many the server may accept
     * @param minRetryDelay minimum delay before an unanswered request is sent again
     * @param withdrawWithoutLease whether a server without a lease withdraws completely, or continues without its grants
     * @param seed of the random part of delays
     * @param disabledGuards guards that are switched off, for checks only
     */
    public Member(
            MemberActions actions,
            Gate gate,
            ServerId server,
            String listen,
            long minRetryDelay,
            boolean withdrawWithoutLease,
            long seed,
            long now,
            Set<Guard> disabledGuards) {
        this.actions = actions;
        this.gate = gate;
        this.server = server;
        this.listen = listen;
        this.minRetryDelay = minRetryDelay;
        this.withdrawWithoutLease = withdrawWithoutLease;
        this.disabledGuards = disabledGuards;
        this.now = now;
        random = new SplittableRandom(seed);
        nextRequestAt = now;
        // Order: expiries first, then checking and applying revisions, then requests to the fleet.
        rules.add(
                () -> member && now() >= leaseDeadline && !disabledGuards.contains(Guard.LEASE), this::onLeaseExpired);
        rules.add(() -> shouldWithdraw() != withdrawn, this::notifyWithdrawal);
        rules.add(
                () -> checkedRevision.isBefore(revisionToCheck.id()) && !checkingRevision.equals(revisionToCheck.id()),
                this::check);
        rules.add(
                () -> appliedRevision.isBefore(wantedRevision.id())
                        && applyingRevision.value() == 0
                        && !(failedRevision.equals(wantedRevision.id()) && now() < failedAt + this.minRetryDelay),
                this::applyWanted);
        rules.add(() -> !awaitingAnswer && incarnation == null && now() >= nextRequestAt, this::join);
        rules.add(() -> !awaitingAnswer && incarnation != null && now() >= nextRequestAt, this::report);
    }

    private void notifyWithdrawal() {
        withdrawn = shouldWithdraw();
        actions.setWithdrawn(withdrawn);
    }

    private void check() {
        checkingRevision = revisionToCheck.id();
        actions.check(revisionToCheck);
    }

    private void applyWanted() {
        applyingRevision = wantedRevision.id();
        actions.apply(wantedRevision);
    }

    private long now() {
        return now;
    }

    private void settle() {
        rules.runUntilStable();
    }

    private boolean shouldWithdraw() {
        return withdrawWithoutLease && !member;
    }

    private void onLeaseExpired() {
        member = false;
    }

    private void join() {
        awaitingAnswer = true;
        actions.join(server, listen);
    }

    private void report() {
        awaitingAnswer = true;
        if (reportAnswered) {
            reportNumber++;
            reportSentAt = now;
            reportAnswered = false;
        }
        MemberActions.QueryCounts queries = actions.endedQueries();
        actions.report(new Command.Report(
                server,
                incarnation,
                reportNumber,
                appliedRevision,
                appliedRoot,
                outdatedQueries,
                checkedRevision,
                checkFailure,
                queries.ended(),
                queries.bad(),
                gate.needs()));
    }

    /** The delay until the next attempt: exponential in the number of failures, with random jitter. */
    private long backOff(long base) {
        long range = base << Math.min(4, failures);
        return base / 2 + random.nextLong(Math.max(1, Math.min(range, base * MAX_BACKOFF_FACTOR)));
    }

    // ---- inputs

    /** Advances the clock and does what is due by now. */
    public void clock(long now) {
        this.now = Math.max(this.now, now);
        gate.advanceClock(this.now);
        settle();
    }

    /** When {@link #clock} next has something to do, Long.MAX_VALUE for never. */
    public long nextDeadline() {
        long deadline = awaitingAnswer ? Long.MAX_VALUE : nextRequestAt;
        return member ? Math.min(deadline, leaseDeadline) : deadline;
    }

    /** The fleet answered the last request. */
    public void onAnswer(Answer answer) {
        if (answer instanceof Answer.Joined joined) {
            onJoined(joined);
        } else if (answer instanceof Answer.ReportAccepted told) {
            onReportAnswer(told);
        } else if (answer instanceof Answer.Refused refused) {
            onRefused(refused.fault());
        } else {
            throw new IllegalArgumentException("no server asks for what this answers: " + answer);
        }
    }

    private void onJoined(Answer.Joined joined) {
        gate.configureFloors(joined.slots(), joined.floorShare());
        incarnation = joined.incarnation();
        awaitingAnswer = false;
        failures = 0;
        reportNumber = 0;
        reportAnswered = true;
        nextRequestAt = now;
        settle();
    }

    /** Ignores answers to any report but the last. */
    private void onReportAnswer(Answer.ReportAccepted told) {
        if (incarnation == null || told.reportNumber() != reportNumber || reportAnswered) {
            return;
        }
        awaitingAnswer = false;
        reportAnswered = true;
        failures = 0;
        nextRequestAt = now + told.maxReportDelay();
        member = told.leaseDuration() > 0 && now < reportSentAt + told.leaseDuration();
        leaseDeadline = reportSentAt + told.leaseDuration();
        if (told.leaseDuration() > 0) {
            gate.updateGrants(
                    told.grants(),
                    disabledGuards.contains(Guard.LEASE) ? Long.MAX_VALUE : leaseDeadline,
                    disabledGuards.contains(Guard.LEASE) ? Long.MAX_VALUE : reportSentAt + told.floorLeaseDuration(),
                    told.floorsFree() && told.inForce().id().equals(appliedRevision));
        }
        if (told.inForce().id().value() == 0 && appliedRevision.value() == 0) {
            gate.caps(Caps.NONE); // no revision is in force yet
        }
        wantedRevision = told.inForce();
        revisionToCheck = told.proposed();
        settle();
    }

    /** The fleet refused the last request. */
    private void onRefused(Fault fault) {
        awaitingAnswer = false;
        long delay = minRetryDelay;
        if (fault instanceof Fault.ShutOut shut) {
            incarnation = null;
            member = false;
            gate.shutOut();
            delay = Math.max(minRetryDelay, shut.returnDelayTenthsMs());
        } else if (fault instanceof Fault.NotYet notYet) {
            delay = Math.max(minRetryDelay, notYet.returnDelayTenthsMs());
        }
        failures++;
        nextRequestAt = now + delay + random.nextLong(Math.max(1, minRetryDelay));
        settle();
    }

    /** No answer came to the last request; the fleet may have received it or not. */
    public void requestFailed() {
        if (awaitingAnswer) {
            awaitingAnswer = false;
            failures++;
            nextRequestAt = now + backOff(minRetryDelay);
            settle();
        }
    }

    /**
     * This server has applied a revision.
     *
     * @param appliedRoot the root of the table that is really in use here
     * @param outdatedQueries queries that began under an earlier revision after this one came into force
     */
    public void applied(RevisionId revision, Digest appliedRoot, long outdatedQueries) {
        appliedRevision = revision;
        this.appliedRoot = appliedRoot;
        this.outdatedQueries = outdatedQueries;
        applyingRevision = RevisionId.NONE;
        nextRequestAt = Math.min(nextRequestAt, now); // the fleet waits for this report
        settle();
    }

    /** A revision could not be applied here; it is tried again after the retry delay. */
    public void applyFailed(RevisionId revision) {
        applyingRevision = RevisionId.NONE;
        failedRevision = revision;
        failedAt = now;
        settle();
    }

    /**
     * This server has checked whether it could apply a revision.
     *
     * @param failure the reason why it could not, empty if it could
     */
    public void checked(RevisionId revision, String failure) {
        checkedRevision = revision;
        checkingRevision = RevisionId.NONE;
        checkFailure = failure;
        nextRequestAt = Math.min(nextRequestAt, now);
        settle();
    }

    /** Asks for a report within a delay: a tenant came near its limit here, or the fleet has something new to tell. */
    public void requestReportWithin(long within) {
        nextRequestAt = Math.min(nextRequestAt, now + within);
        settle();
    }

    // ---- queries

    /** Whether the server holds a lease, by its own clock as of the last call of {@link #clock}. */
    public boolean isMember() {
        return member;
    }

    /** The revision that this server has applied. */
    public RevisionId applied() {
        return appliedRevision;
    }

    /** The incarnation that the fleet gave this server, null while it has none. */
    public Incarnation incarnation() {
        return incarnation;
    }

    /** All state that determines later behaviour as text, with times relative to {@code from}; for checks. */
    String describe(long from) {
        return (incarnation == null ? "-" : incarnation.value()) + "," + awaitingAnswer + "," + (nextRequestAt - from)
                + "," + reportAnswered
                + "," + (reportAnswered ? 0 : reportSentAt - from) + "," + (member ? leaseDeadline - from : "-") + ","
                + failures + ","
                + appliedRevision.value()
                + wantedRevision.id().value() + applyingRevision.value() + failedRevision.value()
                + revisionToCheck.id().value() + checkingRevision.value()
                + checkedRevision.value() + withdrawn;
    }
}
