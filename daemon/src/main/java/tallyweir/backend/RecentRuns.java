package tallyweir.backend;

import java.util.HashSet;
import java.util.Set;
import tallyweir.ids.JobId;

/**
 * The ids of one-shot queries that have been handed to the kernel lately. A query whose id comes again, for example as its
 * caller has left and sends it once more on a new connection, must not run a second time. Runs on the backend's thread;
 * times are in tenths of a millisecond.
 */
final class RecentRuns {
    private static final int HEXADECIMAL = 16;

    private final long retention;
    private Set<Long> current = new HashSet<>();
    private Set<Long> previous = Set.of();
    private long currentSince;

    /** @param retention how long an id is kept at least after it was added last; it is dropped after twice that time */
    RecentRuns(long retention) {
        this.retention = retention;
    }

    void add(JobId job, long now) {
        dropOld(now);
        current.add(number(job));
    }

    boolean contains(JobId job, long now) {
        dropOld(now);
        return current.contains(number(job)) || previous.contains(number(job));
    }

    int size() {
        return current.size() + previous.size();
    }

    private void dropOld(long now) {
        if (now - currentSince > retention) {
            previous = now - currentSince > 2 * retention ? Set.of() : current;
            current = new HashSet<>();
            currentSince = now;
        }
    }

    /** Numbers take less memory than ids. */
    private static long number(JobId job) {
        return Long.parseUnsignedLong(job.value(), HEXADECIMAL);
    }
}
