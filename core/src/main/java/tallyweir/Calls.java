package tallyweir;

import tallyweir.ring.Ring;

/**
 * Accounts for the time that calls to the store have taken in a sliding window, their linger included, and for the
 * time reserved by the calls in flight. Times are tenths of a millisecond. Not thread-safe.
 */
final class Calls {
    final Ring took;
    // The same over a longer window, so that a server that makes few calls has enough samples.
    final Ring lately;
    final long linger;
    int inHand;
    private final Ring done;
    private double promised;

    /**
     * @param window over which the time of calls is counted
     * @param shortWindow over which the mean duration of recent calls is measured
     * @param longWindow over which the usual duration of calls is measured
     * @param buckets into which each window is divided
     * @param linger time for which an abandoned call still occupies the store
     */
    Calls(long window, long shortWindow, long longWindow, int buckets, long linger) {
        this.linger = linger;
        done = new Ring(window + linger, buckets);
        took = new Ring(shortWindow, buckets);
        lately = new Ring(longWindow, buckets);
    }

    /** Call time used in the window plus the time reserved by calls in flight. */
    double taken(long now) {
        return done.sum(now) + promised;
    }

    void begun(Query q) {
        inHand++;
        promised += q.callUntil - q.called + linger;
    }

    /** @param lingers whether the store may still be working on the call */
    void ended(long now, Query q, boolean lingers) {
        inHand--;
        promised -= q.callUntil - q.called + linger;
        done.add(now, now - q.called + (lingers ? linger : 0));
    }
}
