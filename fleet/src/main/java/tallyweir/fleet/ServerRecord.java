package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.List;

/** One place of the fleet, and the server that has it. */
public final class ServerRecord {
    /** How it stands with the server. */
    public enum Status {
        ENTERING,
        LIVE,
        OUT,
        LEFT
    }

    static final int TRANSITIONS_MOST = 32;

    final int place;
    final ServerId server;
    final String listen;
    Incarnation as;
    long life; // of its process
    Status status = Status.ENTERING;
    long number; // of its last report
    long leaseUntil;
    long floorUntil;
    boolean silent; // its lease is over
    boolean marked; // ought to be shut out, and too many are
    String cause = ""; // of being out or marked
    RevisionId acting = RevisionId.NONE;
    Digest inForce = Digest.NONE;
    boolean odd; // the digest is not that of the revision
    long enteredAt; // when it came in last, as this incarnation
    long wrongSince = Long.MAX_VALUE; // that it is odd, or acts on what never was in force
    int flaps;
    long steadySince; // when it came in last
    long mayReturn;
    long heardWall;
    long outWall;
    final Health health = new Health();
    int folded; // transitions that are no longer kept
    long foldedOutdated;
    final ArrayDeque<RevisionTransition> transitions = new ArrayDeque<>();

    ServerRecord(int place, ServerId server, String listen) {
        this.place = place;
        this.server = server;
        this.listen = listen;
    }

    void add(RevisionTransition transition) {
        transitions.add(transition);
        if (transitions.size() > TRANSITIONS_MOST) {
            foldedOutdated += transitions.poll().outdated();
            folded++;
        }
    }

    public int place() {
        return place;
    }

    public ServerId server() {
        return server;
    }

    public String listen() {
        return listen;
    }

    public Incarnation as() {
        return as;
    }

    /** Whether it is live and heard. */
    boolean isHeard() {
        return status == Status.LIVE && !silent;
    }

    public Status status() {
        return status;
    }

    public boolean silent() {
        return silent;
    }

    public boolean marked() {
        return marked;
    }

    public boolean odd() {
        return odd;
    }

    public String cause() {
        return cause;
    }

    public RevisionId acting() {
        return acting;
    }

    public Digest inForce() {
        return inForce;
    }

    public long heardWall() {
        return heardWall;
    }

    public long outWall() {
        return outWall;
    }

    public int folded() {
        return folded;
    }

    public Iterable<RevisionTransition> transitions() {
        return transitions;
    }

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

    /** All that its future hangs on, times from this one on. */
    String describe(long from) {
        return server.value() + as.value() + status + (leaseUntil - from) + "," + (floorUntil - from) + silent
                + marked
                + acting.value() + inForce.value() + odd + (wrongSince == Long.MAX_VALUE ? "-" : wrongSince - from)
                + flaps + ","
                + (mayReturn - from);
    }
}
