package tallyweir;

import java.util.PriorityQueue;

/** Counts the memory, in kilobytes, of held queries, runs and retained results. */
final class Memory {
    final double limit;
    final double runFactor; // memory of a run over the size of its query
    final double entry; // memory of one retained result
    double held;
    double running;
    private final PriorityQueue<Long> entries = new PriorityQueue<>(); // times at which retained results expire

    Memory(double limitKb, double runMemoryFactor, double entryKb) {
        this.limit = limitKb;
        this.runFactor = runMemoryFactor;
        this.entry = entryKb;
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

    void keep(long now, long duration) {
        entries.add(now + duration);
    }
}
