package tallyweir;

import tallyweir.ring.Ring;

/**
 * Accounts for the time that calls to the store have taken in a sliding window, their linger included, and for the
 * time reserved by the calls in flight. Times are tenths of a millisecond. Not thread-safe.
 */
final class Calls {
    final Ring recentDurations;
    // The same over a longer window, so that a server that makes few calls has enough samples.
    final Ring usualDurations;
    final long linger;
    int inFlight;
    private final Ring endedCallTime;
    private double reservedTime;

    /**
     * @param window over which the time of calls is counted
     * @param shortWindow over which the mean duration of recent calls is measured
     * @param longWindow over which the usual duration of calls is measured
     * @param buckets into which each window is divided
     * @param linger time for which an abandoned call still occupies the store
     */
    Calls(long window, long shortWindow, long longWindow, int buckets, long linger) {
        this.linger = linger;
        endedCallTime = new Ring(window + linger, buckets);
        recentDurations = new Ring(shortWindow, buckets);
        usualDurations = new Ring(longWindow, buckets);
    }

    /** Call time used in the window plus the time reserved by calls in flight. */
    double usedTime(long now) {
        return endedCallTime.sum(now) + reservedTime;
    }

    void onCallStarted(Query q) {
        inFlight++;
        reservedTime += q.callDeadline - q.calledAt + linger;
    }

    /** @param lingers whether the store may still be working on the call */
    void onCallEnded(long now, Query q, boolean lingers) {
        inFlight--;
        reservedTime -= q.callDeadline - q.calledAt + linger;
        endedCallTime.add(now, now - q.calledAt + (lingers ? linger : 0));
    }
}
