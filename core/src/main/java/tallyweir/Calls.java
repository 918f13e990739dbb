package tallyweir;

import tallyweir.ring.Ring;

/** Counts the time of calls below in the span, lingering included, and what those in hand may yet take. */
final class Calls {
    final Ring took;
    final Ring lately;  // the same over a longer span, in which a server of few calls sees enough of them
    final long linger;
    int inHand;
    private final Ring done;
    private double promised;

    Calls(Ring done, Ring took, Ring lately, long linger) {
        this.done = done;
        this.took = took;
        this.lately = lately;
        this.linger = linger;
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
