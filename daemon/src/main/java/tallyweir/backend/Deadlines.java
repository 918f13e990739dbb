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
        private final long order;
        private final Runnable then;

        private Deadline(long at, long order, Runnable action) {
            this.at = at;
            this.order = order;
            this.then = action;
        }

        @Override
        public int compareTo(Deadline o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final TreeSet<Deadline> all = new TreeSet<>();
    private long order;

    /** Schedules an action. */
    Deadline set(long at, Runnable action) {
        Deadline d = new Deadline(at, order++, action);
        all.add(d);
        return d;
    }

    /** Cancels a deadline; does nothing if it is null, has been cancelled or has passed. */
    void cancel(Deadline d) {
        if (d != null) {
            all.remove(d);
        }
    }

    /** Time of the earliest deadline, MAX_VALUE if there is none. */
    long next() {
        return all.isEmpty() ? Long.MAX_VALUE : all.first().at;
    }

    /** Removes the earliest deadline that has passed and returns its action; null if none has passed. */
    Runnable due(long now) {
        return next() <= now ? all.pollFirst().then : null;
    }

    int size() {
        return all.size();
    }
}
