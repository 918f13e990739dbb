package tallyweir.backend;

import java.util.TreeSet;

/** Every deadline of the backend, in the order of their times; equal times in the order they were set. */
final class Deadlines {
    static final class Deadline implements Comparable<Deadline> {
        private final long at;
        private final long order;
        private final Runnable then;

        private Deadline(long at, long order, Runnable then) {
            this.at = at;
            this.order = order;
            this.then = then;
        }

        @Override
        public int compareTo(Deadline o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final TreeSet<Deadline> all = new TreeSet<>();
    private long order;

    Deadline set(long at, Runnable then) {
        Deadline d = new Deadline(at, order++, then);
        all.add(d);
        return d;
    }

    void cancel(Deadline d) {
        if (d != null) {
            all.remove(d);
        }
    }

    /** The next moment at which something is due, MAX_VALUE if nothing is. */
    long next() {
        return all.isEmpty() ? Long.MAX_VALUE : all.first().at;
    }

    /** Takes out what is due first, null if nothing is due yet. */
    Runnable due(long now) {
        return next() <= now ? all.pollFirst().then : null;
    }

    int size() {
        return all.size();
    }
}
