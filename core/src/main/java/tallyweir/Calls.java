package tallyweir;

import tallyweir.ring.Ring;

/** Counts the time of calls below in the span, lingering included, and what those in hand may yet take. */
final class Calls {
    final Ring took;
    final Ring lately; // the same over a longer span, in which a server of few calls sees enough of them
    final long linger;
    int inHand;
    private final Ring done;
    private double promised;

    /**
     * @param span over which the time of calls is counted, which linger for a while after they were given up
     * @param shortSpan over which the lengths of calls are measured, and a longer one
     */
    Calls(long span, long shortSpan, long longSpan, int buckets, long linger) {
        this.linger = linger;
        done = new Ring(span + linger, buckets);
        took = new Ring(shortSpan, buckets);
        lately = new Ring(longSpan, buckets);
    }

    double taken(long now) {
        return done.sum(now) + promised;
    }

    void begun(Query q) {
        inHand++;
        promised += q.callUntil - q.called + linger;
    }

    void ended(long now, Query q, boolean lingers) {
        inHand--;
        promised -= q.callUntil - q.called + linger;
        done.add(now, now - q.called + (lingers ? linger : 0));
    }
}
