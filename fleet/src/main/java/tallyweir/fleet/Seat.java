package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.List;

/** One place of the fleet, and the server that has it. */
public final class Seat {
    /** How it stands with the server. */
    public enum Standing {
        ENTERING,
        LIVE,
        OUT,
        LEFT
    }

    static final int PASSAGES_MOST = 32;

    final int place;
    final ServerId server;
    final String listen;
    Incarnation as;
    long life; // of its process
    Standing standing = Standing.ENTERING;
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
    int folded; // passages that are no longer kept
    long foldedOutdated;
    final ArrayDeque<Passage> passages = new ArrayDeque<>();

    Seat(int place, ServerId server, String listen) {
        this.place = place;
        this.server = server;
        this.listen = listen;
    }

    void pass(Passage p) {
        passages.add(p);
        if (passages.size() > PASSAGES_MOST) {
            foldedOutdated += passages.poll().outdated();
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
        return standing == Standing.LIVE && !silent;
    }

    public Standing standing() {
        return standing;
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

    public Iterable<Passage> passages() {
        return passages;
    }

    public long outdated() {
        return foldedOutdated + passages.stream().mapToLong(Passage::outdated).sum();
    }

    SnapshotPart.Server save(boolean isGone) {
        return new SnapshotPart.Server(
                place,
                server,
                listen,
                as,
                life,
                standing,
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
                List.copyOf(passages),
                health.save(),
                isGone);
    }

    static Seat load(SnapshotPart.Server saved) {
        Seat seat = new Seat(saved.place(), saved.server(), saved.listen());
        seat.as = saved.as();
        seat.life = saved.life();
        seat.standing = saved.standing();
        seat.number = saved.number();
        seat.leaseUntil = saved.leaseUntil();
        seat.floorUntil = saved.floorUntil();
        seat.silent = saved.silent();
        seat.marked = saved.marked();
        seat.cause = saved.cause();
        seat.acting = saved.acting();
        seat.inForce = saved.inForce();
        seat.odd = saved.odd();
        seat.enteredAt = saved.enteredAt();
        seat.wrongSince = saved.wrongSince();
        seat.flaps = saved.flaps();
        seat.steadySince = saved.steadySince();
        seat.mayReturn = saved.mayReturn();
        seat.heardWall = saved.heardWall();
        seat.outWall = saved.outWall();
        seat.folded = saved.folded();
        seat.foldedOutdated = saved.foldedOutdated();
        seat.passages.addAll(saved.passages());
        seat.health.load(saved.counts());
        return seat;
    }

    /** All that its future hangs on, times from this one on. */
    String describe(long from) {
        return server.value() + as.value() + standing + (leaseUntil - from) + "," + (floorUntil - from) + silent
                + marked
                + acting.value() + inForce.value() + odd + (wrongSince == Long.MAX_VALUE ? "-" : wrongSince - from)
                + flaps + ","
                + (mayReturn - from);
    }
}
