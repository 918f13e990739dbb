package tallyweir.fleet;

import java.util.ArrayDeque;

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
    long behindSince = Long.MAX_VALUE;
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

    /** All that its future hangs on, times from this one on. */
    String describe(long from) {
        return server.value() + as.value() + standing + (leaseUntil - from) + "," + (floorUntil - from) + silent
                + marked
                + acting.value() + inForce.value() + odd + (behindSince == Long.MAX_VALUE ? "-" : behindSince - from)
                + flaps + ","
                + (mayReturn - from);
    }
}
