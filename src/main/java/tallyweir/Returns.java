package tallyweir;

import java.util.HashMap;
import java.util.Map;
import tallyweir.ids.CallerId;
import tallyweir.ring.Ring;

/** For each of a few idle spans: what connections kept so long would have saved, less what they would have cost. */
final class Returns {
    private final Map<CallerId, Long> last = new HashMap<>();
    private final long born;
    private final long[] spans;
    private final Ring[] gains;

    Returns(long born, long[] spans, long over, int buckets) {
        this.born = born;
        this.spans = spans;
        gains = new Ring[spans.length];
        for (int i = 0; i < spans.length; i++) {
            gains[i] = new Ring(over, buckets);
        }
    }

    /** One read; a caller not seen before has been away since the start at least. */
    void read(long now, CallerId caller, double costOfTime) {
        Long before = last.put(caller, now);
        long gap = now - (before == null ? born : before);
        for (int i = 0; i < spans.length; i++) {
            gains[i].add(now, (before != null && gap <= spans[i] ? 1 : 0) - costOfTime * Math.min(gap, spans[i]));
        }
    }

    /** The span that gains most, the shortest if none gains. */
    long best(long now) {
        int best = spans.length - 1;
        for (int i = spans.length - 2; i >= 0; i--) {
            best = gains[i].sum(now) > Math.max(0, gains[best].sum(now)) ? i : best;
        }
        return spans[best];
    }
}
