package tallyweir;

import java.util.PriorityQueue;

/** Counts the memory, in kilobytes, of held queries, runs and retained results. */
final class MemoryUse {
    final double limitKb;
    final double runMemoryFactor; // memory of a run over the size of its query
    final double entryKb; // memory of one retained result
    double heldKb;
    double runningKb;
    private final PriorityQueue<Long> retainedUntil = new PriorityQueue<>(); // times at which retained results expire

    MemoryUse(double limitKb, double runMemoryFactor, double entryKb) {
        this.limitKb = limitKb;
        this.runMemoryFactor = runMemoryFactor;
        this.entryKb = entryKb;
    }

    double usedKb(long now) {
        return heldKb + runningKb + retainedKb(now);
    }

    double retainedKb(long now) {
        while (!retainedUntil.isEmpty() && retainedUntil.peek() < now) {
            retainedUntil.poll();
        }
        return retainedUntil.size() * entryKb;
    }

    void retain(long now, long duration) {
        retainedUntil.add(now + duration);
    }
}
