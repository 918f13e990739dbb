package tallyweir;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import tallyweir.ids.CallerId;
import tallyweir.ring.Ring;

/** For each of a few idle spans: what connections kept so long would have saved, less what they would have cost. */
final class Returns {
    private final Map<CallerId, Long> last = new LinkedHashMap<>(); // the one read longest ago comes first
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
        Long before = last.remove(caller);
        last.put(caller, now);
        // One away for longer than the longest span counts as one never seen: callers with ever new numbers would
        // fill the memory.
        for (Iterator<Long> oldest = last.values().iterator(); now - oldest.next() > spans[0]; ) {
            oldest.remove();
        }
        long gap = now - (before == null ? born : before);
        for (int i = 0; i < spans.length; i++) {
            gains[i].add(now, (before != null && gap <= spans[i] ? 1 : 0) - costOfTime * Math.min(gap, spans[i]));
        }
    }

    int known() {
        return last.size();
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
