package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntToLongFunction;
import org.HdrHistogram.Histogram;

/** How long each change took from when it was asked for until all servers that live and are reached act on it. */
final class ChangeTracker {
    private static final long MOST_MILLISECONDS = 3_600_000;
    private static final int DIGITS = 3;
    private static final long TICKS_PER_MILLISECOND = 10;

    private record Open(long revision, long asked, BitSet pending) {}

    private final Histogram histogram = new Histogram(MOST_MILLISECONDS, DIGITS);
    private final List<Open> open = new ArrayList<>();
    private int finished;

    /** A change was taken as a revision; these servers are to act on it. */
    void opened(long revision, long asked, long now, BitSet servers, IntToLongFunction acting) {
        BitSet pending = (BitSet) servers.clone();
        servers.stream()
                .filter(server -> acting.applyAsLong(server) >= revision)
                .forEach(pending::clear);
        open.add(new Open(revision, asked, pending));
        finish(now);
    }

    /** A server acts on a revision. */
    void acts(int server, long revision, long now) {
        boolean changed = false;
        for (Open change : open) {
            if (change.revision <= revision && change.pending.get(server)) {
                change.pending.clear(server);
                changed = true;
            }
        }
        if (changed) {
            finish(now);
        }
    }

    /** A server is not waited for any more: it has ended or cannot be reached. */
    void gone(int server, long now) {
        open.forEach(change -> change.pending.clear(server));
        finish(now);
    }

    /** A change was turned down: it is not waited for, and has to be asked for again. */
    void turnedDown(long revision) {
        open.removeIf(change -> change.revision == revision);
    }

    private void finish(long now) {
        for (Open change : open) {
            if (change.pending.isEmpty()) {
                record(change, now);
                finished++;
            }
        }
        open.removeIf(change -> change.pending.isEmpty());
    }

    private void record(Open change, long now) {
        long took = (now - change.asked) / TICKS_PER_MILLISECOND;
        histogram.recordValue(Math.min(MOST_MILLISECONDS, took));
    }

    /** Takes what is still open for as long as it has lasted, and returns how many these are. */
    int close(long now) {
        open.forEach(change -> record(change, now));
        int left = open.size();
        open.clear();
        return left;
    }

    /** Takes a change that was never taken for as long as it has waited. */
    void neverTaken(long asked, long now) {
        record(new Open(0, asked, new BitSet()), now);
    }

    /** Whether all act on every change that was taken. */
    boolean idle() {
        return open.isEmpty();
    }

    /** Changes that all act on. */
    int finished() {
        return finished;
    }

    /** A percentile of the times, seconds. */
    double seconds(double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1_000.0;
    }
}
