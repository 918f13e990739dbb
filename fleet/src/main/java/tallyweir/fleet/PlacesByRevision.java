package tallyweir.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The revision that each place acts under, and how many places act under each revision. */
final class PlacesByRevision {
    private final Map<Integer, Long> revisions = new HashMap<>();
    private final TreeMap<Long, Integer> counts = new TreeMap<>();

    boolean contains(int place) {
        return revisions.containsKey(place);
    }

    /** The revision of a place that is contained. */
    long revision(int place) {
        return revisions.get(place);
    }

    void put(int place, long revision) {
        remove(place);
        revisions.put(place, revision);
        counts.merge(revision, 1, Integer::sum);
    }

    void remove(int place) {
        Long revision = revisions.remove(place);
        if (revision != null) {
            counts.computeIfPresent(revision, (r, count) -> count == 1 ? null : count - 1);
        }
    }

    /** How many places act under a revision from the first on and before the second. */
    int between(long from, long until) {
        int places = 0;
        for (int count : counts.subMap(from, until).values()) {
            places += count;
        }
        return places;
    }

    /** The oldest revision that a place acts under, Long.MAX_VALUE if there is no place. */
    long oldest() {
        return counts.isEmpty() ? Long.MAX_VALUE : counts.firstKey();
    }

    /** Each place with its revision, in the order of the places. */
    void forEach(BiConsumer<Integer, Long> action) {
        new TreeMap<>(revisions).forEach(action);
    }
}
