package tallyweir.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The revision that each slot applies, and how many slots apply each revision. */
final class SlotsByRevision {
    private final Map<Integer, Long> revisionBySlot = new HashMap<>();
    private final TreeMap<Long, Integer> slotCounts = new TreeMap<>();

    boolean contains(int slot) {
        return revisionBySlot.containsKey(slot);
    }

    /** The revision of a slot that is contained. */
    long revision(int slot) {
        return revisionBySlot.get(slot);
    }

    void put(int slot, long revision) {
        remove(slot);
        revisionBySlot.put(slot, revision);
        slotCounts.merge(revision, 1, Integer::sum);
    }

    void remove(int slot) {
        Long revision = revisionBySlot.remove(slot);
        if (revision != null) {
            slotCounts.computeIfPresent(revision, (r, count) -> count == 1 ? null : count - 1);
        }
    }

    /** How many slots apply a revision in the range from {@code from}, inclusive, to {@code until}, exclusive. */
    int countBetween(long from, long until) {
        int slots = 0;
        for (int count : slotCounts.subMap(from, until).values()) {
            slots += count;
        }
        return slots;
    }

    /** The oldest revision that a slot applies, Long.MAX_VALUE if there is no slot. */
    long oldestRevision() {
        return slotCounts.isEmpty() ? Long.MAX_VALUE : slotCounts.firstKey();
    }

    /** Calls {@code action} with each slot and its revision, in the order of the slots. */
    void forEach(BiConsumer<Integer, Long> action) {
        new TreeMap<>(revisionBySlot).forEach(action);
    }
}
