package tallyweir;

import tallyweir.ring.SlidingWindow;

/**
 * Accounts for the time that calls to the store have taken in a sliding window, their linger included, and for the
 * time reserved by the calls in flight. Times are tenths of a millisecond. Not thread-safe.
 */
final class CallBudget {
    final SlidingWindow recentDurations;
    // The same over a longer window, so that a server that makes few calls has enough samples.
    final SlidingWindow usualDurations;
    final long linger;
    int inFlight;
    private final SlidingWindow endedCallTime;
    private double reservedTime;

    /**
     * @param window over which the time of calls is counted
     * @param shortWindow over which the mean duration of recent calls is measured
     * @param longWindow over which the usual duration of calls is measured
     * @param buckets into which each window is divided
     * @param linger time for which an abandoned call still occupies the store
     */
    CallBudget(long window, long shortWindow, long longWindow, int buckets, long linger) {
        this.linger = linger;
        endedCallTime = new SlidingWindow(window + linger, buckets);
        recentDurations = new SlidingWindow(shortWindow, buckets);
        usualDurations = new SlidingWindow(longWindow, buckets);
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
