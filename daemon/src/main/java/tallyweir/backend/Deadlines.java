package tallyweir.backend;

import java.util.TreeSet;

/**
 * All deadlines of the backend, ordered by time, and at the same time by the order in which they were set. Used by the
 * backend's thread only; times are in tenths of a millisecond.
 */
final class Deadlines {
    /** Handle of one scheduled action, for cancelling it. */
    static final class Deadline implements Comparable<Deadline> {
        private final long at;
        private final long sequence;
        private final Runnable action;

        private Deadline(long at, long order, Runnable action) {
            this.at = at;
            this.sequence = order;
            this.action = action;
        }

        @Override
        public int compareTo(Deadline o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(sequence, o.sequence);
        }
    }

    private final TreeSet<Deadline> deadlines = new TreeSet<>();
    private long nextSequence;

    /** Schedules an action. */
    Deadline set(long at, Runnable action) {
        Deadline d = new Deadline(at, nextSequence++, action);
        deadlines.add(d);
        return d;
    }

    /** Cancels a deadline; does nothing if it is null, has been cancelled or has passed. */
    void cancel(Deadline d) {
        if (d != null) {
            deadlines.remove(d);
        }
    }

    /** Time of the earliest deadline, MAX_VALUE if there is none. */
    long nextAt() {
        return deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.first().at;
    }

    /** Removes the earliest deadline that has passed and returns its action; null if none has passed. */
    Runnable pollDue(long now) {
        return nextAt() <= now ? deadlines.pollFirst().action : null;
    }

    int size() {
        return deadlines.size();
    }
}
