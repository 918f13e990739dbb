package tallyweir;

import java.util.PriorityQueue;

/** Counts the kilobytes of what is held, what runs and what is kept. */
final class Memory {
    final double limit;
    final double runFactor;
    final double entry;
    double held;
    double running;
    private final PriorityQueue<Long> entries = new PriorityQueue<>();

    Memory(double limit, double runFactor, double entry) {
        this.limit = limit;
        this.runFactor = runFactor;
        this.entry = entry;
    }

    double used(long now) {
        return held + running + kept(now);
    }

    double kept(long now) {
        while (!entries.isEmpty() && entries.peek() < now) {
            entries.poll();
        }
        return entries.size() * entry;
    }

    void keep(long now, long span) {
        entries.add(now + span);
    }
}
