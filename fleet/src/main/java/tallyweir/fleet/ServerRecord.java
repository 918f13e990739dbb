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

    static final int TRANSITIONS_MOST = 32;

    final int place;
    final ServerId server;
    final String listen;
    Incarnation as;
    long life; // generation of its process; higher for each later process at the address
    Status status = Status.ENTERING;
    long number; // of its last report
    long leaseUntil;
    long floorUntil;
    boolean silent; // its lease has expired without a report
    boolean marked; // should be shut out, but too many servers are out already
    String cause = ""; // why it is out, silent or marked
    RevisionId acting = RevisionId.NONE;
    Digest inForce = Digest.NONE;
    boolean odd; // the reported digest is not that of the reported revision
    long enteredAt; // when this incarnation joined
    long wrongSince = Long.MAX_VALUE; // since when the digest mismatches or the revision never was in force
    int flaps; // consecutive shut-outs without a long live period in between
    long steadySince; // when it last became live
    long mayReturn; // after it was shut out
    long heardWall;
    long outWall;
    final Health health = new Health();
    int folded; // number of older transitions that were dropped
    long foldedOutdated; // outdated queries of the dropped transitions
    final ArrayDeque<RevisionTransition> transitions = new ArrayDeque<>();

    ServerRecord(int place, ServerId server, String listen) {
        this.place = place;
        this.server = server;
        this.listen = listen;
    }

    /** Adds a transition; only the last {@link #TRANSITIONS_MOST} are kept, of older ones just their totals. */
    void add(RevisionTransition transition) {
        transitions.add(transition);
        if (transitions.size() > TRANSITIONS_MOST) {
            foldedOutdated += transitions.poll().outdated();
            folded++;
        }
    }

    /** The number of its slot, from 0. */
    public int place() {
        return place;
    }

    public ServerId server() {
        return server;
    }

    /** The address at which it listens. */
    public String listen() {
        return listen;
    }

    /** Its current incarnation; a new one with each join. */
    public Incarnation as() {
        return as;
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
    public boolean odd() {
        return odd;
    }

    /** Why it is out, silent or marked; empty if it is none of these. */
    public String cause() {
        return cause;
    }

    /** The revision that it reported as applied. */
    public RevisionId acting() {
        return acting;
    }

    /** The root digest of the table that it reported as in use. */
    public Digest inForce() {
        return inForce;
    }

    /** When it last joined or reported, ms since 1970 by the leader's wall clock. */
    public long heardWall() {
        return heardWall;
    }

    /** When it was last shut out or left, ms since 1970 by the leader's wall clock. */
    public long outWall() {
        return outWall;
    }

    /** How many older transitions are no longer kept one by one. */
    public int folded() {
        return folded;
    }

    /** Its latest transitions, oldest first. */
    public Iterable<RevisionTransition> transitions() {
        return transitions;
    }

    /** Queries that it began under an outdated revision, over all transitions. */
    public long outdated() {
        return foldedOutdated
                + transitions.stream().mapToLong(RevisionTransition::outdated).sum();
    }

    SnapshotPart.Server save(boolean isGone) {
        return new SnapshotPart.Server(
                place,
                server,
                listen,
                as,
                life,
                status,
                number,
                leaseUntil,
                floorUntil,
                silent,
                marked,
                cause,
                acting,
                inForce,
                odd,
                enteredAt,
                wrongSince,
                flaps,
                steadySince,
                mayReturn,
                heardWall,
                outWall,
                folded,
                foldedOutdated,
                List.copyOf(transitions),
                health.save(),
                isGone);
    }

    static ServerRecord load(SnapshotPart.Server saved) {
        ServerRecord record = new ServerRecord(saved.place(), saved.server(), saved.listen());
        record.as = saved.as();
        record.life = saved.life();
        record.status = saved.status();
        record.number = saved.number();
        record.leaseUntil = saved.leaseUntil();
        record.floorUntil = saved.floorUntil();
        record.silent = saved.silent();
        record.marked = saved.marked();
        record.cause = saved.cause();
        record.acting = saved.acting();
        record.inForce = saved.inForce();
        record.odd = saved.odd();
        record.enteredAt = saved.enteredAt();
        record.wrongSince = saved.wrongSince();
        record.flaps = saved.flaps();
        record.steadySince = saved.steadySince();
        record.mayReturn = saved.mayReturn();
        record.heardWall = saved.heardWall();
        record.outWall = saved.outWall();
        record.folded = saved.folded();
        record.foldedOutdated = saved.foldedOutdated();
        record.transitions.addAll(saved.transitions());
        record.health.load(saved.counts());
        return record;
    }

    /** All state that determines later behaviour as text, with times relative to {@code from}; for checks. */
    String describe(long from) {
        return server.value() + as.value() + status + (leaseUntil - from) + "," + (floorUntil - from) + silent
                + marked
                + acting.value() + inForce.value() + odd + (wrongSince == Long.MAX_VALUE ? "-" : wrongSince - from)
                + flaps + ","
                + (mayReturn - from);
    }
}
