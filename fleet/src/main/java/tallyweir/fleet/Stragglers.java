package tallyweir.fleet;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Live servers grouped by the revision that each applies. All servers that apply the same revision have been behind since
 * the same time and become due together, so a new revision in force needs no work here.
 */
final class Stragglers {
    private final RevisionHistory history;
    private final TreeMap<RevisionId, BitSet> slotsByRevision =
            new TreeMap<>(); // without slots that were taken as due already
    private final Map<Integer, RevisionId> revisionBySlot = new HashMap<>();

    Stragglers(RevisionHistory history) {
        this.history = history;
    }

    /** The server of a slot applies a revision that is or was in force. */
    void track(int slot, RevisionId acting) {
        RevisionId earlier = revisionBySlot.put(slot, acting);
        if (acting.equals(earlier)) {
            return;
        }
        remove(slot, earlier);
        slotsByRevision.computeIfAbsent(acting, id -> new BitSet()).set(slot);
    }

    /** The server of a slot is not live, or applies no such revision. */
    void untrack(int slot) {
        remove(slot, revisionBySlot.remove(slot));
    }

    private void remove(int slot, RevisionId acting) {
        BitSet together = acting == null ? null : slotsByRevision.get(acting);
        if (together != null) {
            together.clear(slot);
            if (together.isEmpty()) {
                slotsByRevision.remove(acting);
            }
        }
    }

    /** When the first of them will have been behind for {@code maxLag}, Long.MAX_VALUE for never. */
    long nextDeadline(long maxLag) {
        long since = slotsByRevision.isEmpty() ? Long.MAX_VALUE : history.supersededAt(slotsByRevision.firstKey());
        return since == Long.MAX_VALUE ? Long.MAX_VALUE : since + maxLag;
    }

    /** Removes and returns the slots that are due first. */
    BitSet takeNext() {
        return slotsByRevision.pollFirstEntry().getValue();
    }
}
