package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.List;

/** The server in one slot of the fleet. Times are tenths of a millisecond by the fleet's clock unless named Ms. */
public final class ServerRecord {
    /** The membership status of a server. The names are written into snapshots and audits. */
    public enum Status {
        /** Has joined and does not yet apply the revision in force; has no lease. */
        ENTERING,
        /** Is a member and may hold a lease. */
        LIVE,
        /** Was shut out; may join again after a delay. */
        OUT,
        /** Has left in an orderly way. */
        LEFT
    }

    static final int MAX_TRANSITIONS = 32;

    final int slot;
    final ServerId server;
    final String listen;
    Incarnation incarnation;
    long processGeneration; // generation of its process; higher for each later process at the address
    Status status = Status.ENTERING;
    long reportNumber; // of its last report
    long leaseDeadline;
    long floorDeadline;
    boolean silent; // its lease has expired without a report
    boolean marked; // should be shut out, but too many servers are out already
    String cause = ""; // why it is out, silent or marked
    RevisionId appliedRevision = RevisionId.NONE;
    Digest appliedRoot = Digest.NONE;
    boolean digestMismatch; // the reported digest is not that of the reported revision
    long enteredAt; // when this incarnation joined
    long deviatingSince = Long.MAX_VALUE; // since when the digest mismatches or the revision never was in force
    int flapCount; // consecutive shut-outs without a long live period in between
    long liveSince; // when it last became live
    long mayReturnAt; // after it was shut out
    long heardAtMs;
    long outAtMs;
    final Health health = new Health();
    int foldedTransitions; // number of older transitions that were dropped
    long foldedOutdatedQueries; // outdated queries of the dropped transitions
    final ArrayDeque<RevisionTransition> transitions = new ArrayDeque<>();

    ServerRecord(int slot, ServerId server, String listen) {
        this.slot = slot;
        this.server = server;
        this.listen = listen;
    }

    /** Adds a transition; only the last {@link #MAX_TRANSITIONS} are kept, of older ones just their totals. */
    void add(RevisionTransition transition) {
        transitions.add(transition);
        if (transitions.size() > MAX_TRANSITIONS) {
            foldedOutdatedQueries += transitions.poll().outdatedQueries();
            foldedTransitions++;
        }
    }

    /** The number of its slot, from 0. */
    public int slot() {
        return slot;
    }

    public ServerId server() {
        return server;
    }

    /** The address at which it listens. */
    public String listen() {
        return listen;
    }

    /** Its current incarnation; a new one with each join. */
    public Incarnation incarnation() {
        return incarnation;
    }

    /** Whether it is live and not silent. */
    boolean isHeard() {
        return status == Status.LIVE && !silent;
    }

    public Status status() {
        return status;
    }

    /** Whether its lease has expired without a report. */
    public boolean silent() {
        return silent;
    }

    /** Whether it should be shut out, but too many servers are out already. */
    public boolean marked() {
        return marked;
    }

    /** Whether the digest that it reported is not that of the revision that it reported. */
    public boolean digestMismatch() {
        return digestMismatch;
    }

    /** Why it is out, silent or marked; empty if it is none of these. */
    public String cause() {
        return cause;
    }

    /** The revision that it reported as applied. */
    public RevisionId appliedRevision() {
        return appliedRevision;
    }

    /** The root digest of the table that it reported as in use. */
    public Digest appliedRoot() {
        return appliedRoot;
    }

    /** When it last joined or reported, ms since 1970 by the leader's wall clock. */
    public long heardAtMs() {
        return heardAtMs;
    }

    /** When it was last shut out or left, ms since 1970 by the leader's wall clock. */
    public long outAtMs() {
        return outAtMs;
    }

    /** How many older transitions are no longer kept one by one. */
    public int foldedTransitions() {
        return foldedTransitions;
    }

    /** Its latest transitions, oldest first. */
    public Iterable<RevisionTransition> transitions() {
        return transitions;
    }

    /** Queries that it began under an outdated revision, over all transitions. */
    public long outdatedQueries() {
        return foldedOutdatedQueries
                + transitions.stream()
                        .mapToLong(RevisionTransition::outdatedQueries)
                        .sum();
    }

    SnapshotPart.Server save(boolean isGone) {
        return new SnapshotPart.Server(
                slot,
                server,
                listen,
                incarnation,
                processGeneration,
                status,
                reportNumber,
                leaseDeadline,
                floorDeadline,
                silent,
                marked,
                cause,
                appliedRevision,
                appliedRoot,
                digestMismatch,
                enteredAt,
                deviatingSince,
                flapCount,
                liveSince,
                mayReturnAt,
                heardAtMs,
                outAtMs,
                foldedTransitions,
                foldedOutdatedQueries,
                List.copyOf(transitions),
                health.save(),
                isGone);
    }

    static ServerRecord load(SnapshotPart.Server saved) {
        ServerRecord record = new ServerRecord(saved.slot(), saved.server(), saved.listen());
        record.incarnation = saved.incarnation();
        record.processGeneration = saved.processGeneration();
        record.status = saved.status();
        record.reportNumber = saved.reportNumber();
        record.leaseDeadline = saved.leaseDeadline();
        record.floorDeadline = saved.floorDeadline();
        record.silent = saved.silent();
        record.marked = saved.marked();
        record.cause = saved.cause();
        record.appliedRevision = saved.appliedRevision();
        record.appliedRoot = saved.appliedRoot();
        record.digestMismatch = saved.digestMismatch();
        record.enteredAt = saved.enteredAt();
        record.deviatingSince = saved.deviatingSince();
        record.flapCount = saved.flapCount();
        record.liveSince = saved.liveSince();
        record.mayReturnAt = saved.mayReturnAt();
        record.heardAtMs = saved.heardAtMs();
        record.outAtMs = saved.outAtMs();
        record.foldedTransitions = saved.foldedTransitions();
        record.foldedOutdatedQueries = saved.foldedOutdatedQueries();
        record.transitions.addAll(saved.transitions());
        record.health.load(saved.counts());
        return record;
    }

    /** All state that determines later behaviour as text, with times relative to {@code from}; for checks. */
    String describe(long from) {
        return server.value() + incarnation.value() + status + (leaseDeadline - from) + "," + (floorDeadline - from)
                + silent
                + marked
                + appliedRevision.value() + appliedRoot.value() + digestMismatch
                + (deviatingSince == Long.MAX_VALUE ? "-" : deviatingSince - from)
                + flapCount + ","
                + (mayReturnAt - from);
    }
}
