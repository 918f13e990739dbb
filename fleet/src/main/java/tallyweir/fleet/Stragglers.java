package tallyweir.fleet;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Live servers by the revision that each acts on, so that another revision in force costs nothing here: all that act on one
 * revision are behind since the same moment, and become due together.
 */
final class Stragglers {
    private final RevisionHistory history;
    private final TreeMap<RevisionId, BitSet> places = new TreeMap<>(); // without those that were due already
    private final Map<Integer, RevisionId> actsOn = new HashMap<>();

    Stragglers(RevisionHistory history) {
        this.history = history;
    }

    /** The server of a place acts on a revision that is or was in force. */
    void track(int place, RevisionId acting) {
        RevisionId earlier = actsOn.put(place, acting);
        if (acting.equals(earlier)) {
            return;
        }
        remove(place, earlier);
        places.computeIfAbsent(acting, id -> new BitSet()).set(place);
    }

    /** The server of a place is not live, or acts on no such revision. */
    void untrack(int place) {
        remove(place, actsOn.remove(place));
    }

    private void remove(int place, RevisionId acting) {
        BitSet together = acting == null ? null : places.get(acting);
        if (together != null) {
            together.clear(place);
            if (together.isEmpty()) {
                places.remove(acting);
            }
        }
    }

    /** When the first of them have been behind for a span, Long.MAX_VALUE for never. */
    long due(long behindMost) {
        long since = places.isEmpty() ? Long.MAX_VALUE : history.supersededAt(places.firstKey());
        return since == Long.MAX_VALUE ? Long.MAX_VALUE : since + behindMost;
    }

    /** Takes out the places that are due first. */
    BitSet takeDue() {
        return places.pollFirstEntry().getValue();
    }
}
