package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Collects the differences between two subtrees at the same path; skips all subtrees that are equal. */
final class TableDifference {
    private final int maxChanges;
    private final List<Change> changes = new ArrayList<>();
    private boolean limitExceeded;

    /**
     * Creates an empty difference.
     *
     * @param maxChanges the maximum number of changes; the search stops once there are more
     */
    TableDifference(int maxChanges) {
        this.maxChanges = maxChanges;
    }

    /** The changes found, in an order that depends on the two subtrees only; empty if there are more than the maximum. */
    Optional<List<Change>> changes() {
        return limitExceeded ? Optional.empty() : Optional.of(changes);
    }

    /** Adds the changes that lead from one subtree to another. */
    void compare(Node before, Node after) {
        if (limitExceeded || before.hasSameEntriesAs(after)) {
            return;
        }
        if (before instanceof Branch beforeBranch && after instanceof Branch afterBranch) {
            for (int digit = 0; digit < Branch.FAN_OUT; digit++) {
                compare(beforeBranch.child(digit), afterBranch.child(digit));
            }
            return;
        }
        int minDifference = Math.abs(before.count() - after.count());
        limitExceeded = minDifference > maxChanges - changes.size();
        if (!limitExceeded) {
            compareEntries(before, after);
        }
    }

    /** Compares entry by entry. At least one of the two is a leaf, so most entries of a larger one differ anyway. */
    private void compareEntries(Node before, Node after) {
        Map<Key, Value> remaining = new LinkedHashMap<>();
        before.forEach(entry -> remaining.put(entry.key(), entry.value()));
        after.forEach(entry -> add(entry.key(), Optional.ofNullable(remaining.remove(entry.key())), entry.value()));
        remaining.forEach((key, value) -> add(new Change(key, Optional.of(value), Optional.empty())));
    }

    private void add(Key key, Optional<Value> before, Value after) {
        Optional<Value> newValue = Optional.of(after);
        if (!before.equals(newValue)) {
            add(new Change(key, before, newValue));
        }
    }

    private void add(Change change) {
        limitExceeded |= changes.size() == maxChanges;
        if (!limitExceeded) {
            changes.add(change);
        }
    }
}
