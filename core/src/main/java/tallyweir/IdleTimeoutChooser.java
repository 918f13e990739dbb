package tallyweir;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import tallyweir.ids.CallerId;
import tallyweir.ring.SlidingWindow;

/**
 * Compares a few idle timeouts: for each, the connection openings it would have saved, less the cost of the time that
 * connections would have stayed open idle. Times are tenths of a millisecond.
 */
final class IdleTimeoutChooser {
    /** More callers than a server has connections for; above it, the one away for longest is forgotten. */
    static final int MAX_REMEMBERED_CALLERS = 16_384;

    private final Map<CallerId, Long> lastReadAt = new LinkedHashMap<>(); // time of the last query; least recent first
    private final long startedAt;
    private final long[] timeouts;
    private final SlidingWindow[] gains;

    /**
     * @param startedAt time at which the server started
     * @param timeouts candidates, the longest first
     * @param window over which the gains are summed
     */
    IdleTimeoutChooser(long startedAt, long[] timeouts, long window, int buckets) {
        this.startedAt = startedAt;
        this.timeouts = timeouts;
        gains = new SlidingWindow[timeouts.length];
        for (int i = 0; i < timeouts.length; i++) {
            gains[i] = new SlidingWindow(window, buckets);
        }
    }

    /**
     * Records that a query was read. A caller not seen before counts as away since the server's start.
     *
     * @param idleCost cost of one idle tenth of a millisecond, in openings
     */
    void onRead(long now, CallerId caller, double idleCost) {
        Long before = lastReadAt.remove(caller);
        lastReadAt.put(caller, now);
        forgetAbsentCallers(now);
        long gap = now - (before == null ? startedAt : before);
        for (int i = 0; i < timeouts.length; i++) {
            gains[i].add(now, (before != null && gap <= timeouts[i] ? 1 : 0) - idleCost * Math.min(gap, timeouts[i]));
        }
    }

    /**
     * Forgets callers that have been away for longer than the longest timeout, and those that are too many. They count
     * as never seen. Otherwise callers that always come with new ids would fill the memory.
     */
    private void forgetAbsentCallers(long now) {
        Iterator<Long> oldest = lastReadAt.values().iterator();
        while (now - oldest.next() > timeouts[0] || lastReadAt.size() > MAX_REMEMBERED_CALLERS) {
            oldest.remove();
        }
    }

    /** Number of callers remembered. */
    int rememberedCallers() {
        return lastReadAt.size();
    }

    /** Returns the timeout with the greatest gain, or the shortest if none gains anything. */
    long bestTimeout(long now) {
        int best = timeouts.length - 1;
        for (int i = timeouts.length - 2; i >= 0; i--) {
            best = gains[i].sum(now) > Math.max(0, gains[best].sum(now)) ? i : best;
        }
        return timeouts[best];
    }
}
