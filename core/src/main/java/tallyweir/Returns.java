package tallyweir;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import tallyweir.ids.CallerId;
import tallyweir.ring.Ring;

/**
 * Compares a few idle timeouts: for each, the connection openings it would have saved, less the cost of the time that
 * connections would have stayed open idle. Times are tenths of a millisecond.
 */
final class Returns {
    private final Map<CallerId, Long> last = new LinkedHashMap<>(); // time of the last query; least recent first
    private final long born;
    private final long[] spans;
    private final Ring[] gains;

    /**
     * @param startedAt time at which the server started
     * @param timeouts candidates, the longest first
     * @param window over which the gains are summed
     */
    Returns(long startedAt, long[] timeouts, long window, int buckets) {
        this.born = startedAt;
        this.spans = timeouts;
        gains = new Ring[timeouts.length];
        for (int i = 0; i < timeouts.length; i++) {
            gains[i] = new Ring(window, buckets);
        }
    }

    /**
     * Records that a query was read. A caller not seen before counts as away since the server's start.
     *
     * @param idleCost cost of one idle tenth of a millisecond, in openings
     */
    void read(long now, CallerId caller, double idleCost) {
        Long before = last.remove(caller);
        last.put(caller, now);
        // A caller away for longer than the longest timeout is forgotten and counts as never seen. Otherwise callers
        // that always come with new ids would fill the memory.
        for (Iterator<Long> oldest = last.values().iterator(); now - oldest.next() > spans[0]; ) {
            oldest.remove();
        }
        long gap = now - (before == null ? born : before);
        for (int i = 0; i < spans.length; i++) {
            gains[i].add(now, (before != null && gap <= spans[i] ? 1 : 0) - idleCost * Math.min(gap, spans[i]));
        }
    }

    /** Number of callers remembered. */
    int known() {
        return last.size();
    }

    /** Returns the timeout with the greatest gain, or the shortest if none gains anything. */
    long best(long now) {
        int best = spans.length - 1;
        for (int i = spans.length - 2; i >= 0; i--) {
            best = gains[i].sum(now) > Math.max(0, gains[best].sum(now)) ? i : best;
        }
        return spans[best];
    }
}
