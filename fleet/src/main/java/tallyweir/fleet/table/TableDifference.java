package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds what differs between two subtrees at the same place, and passes over all that they share. */
final class TableDifference {
    private final int most;
    private final List<Change> changes = new ArrayList<>();
    private boolean tooMany;

    /**
     * A difference that gives up when it is too large.
     *
     * @param most changes at the most
     */
    TableDifference(int most) {
        this.most = most;
    }

    /** The changes that were found, in an order that depends on the two subtrees only; empty if there are too many. */
    Optional<List<Change>> changes() {
        return tooMany ? Optional.empty() : Optional.of(changes);
    }

    /** Adds the changes from one subtree to another. */
    void walk(Node before, Node after) {
        if (tooMany || before.sameAs(after)) {
            return;
        }
        if (before instanceof Branch beforeBranch && after instanceof Branch afterBranch) {
            for (int digit = 0; digit < Branch.FAN_OUT; digit++) {
                walk(beforeBranch.child(digit), afterBranch.child(digit));
            }
            return;
        }
        int differAtLeast = Math.abs(before.count() - after.count());
        tooMany = differAtLeast > most - changes.size();
        if (!tooMany) {
            compareEntries(before, after);
        }
    }

    /** For subtrees one of which is a leaf, so that most entries of the other differ. */
    private void compareEntries(Node before, Node after) {
        Map<Key, Value> rest = new LinkedHashMap<>();
        before.forEach(entry -> rest.put(entry.key(), entry.value()));
        after.forEach(entry -> add(entry.key(), Optional.ofNullable(rest.remove(entry.key())), entry.value()));
        rest.forEach((key, value) -> add(new Change(key, Optional.of(value), Optional.empty())));
    }

    private void add(Key key, Optional<Value> before, Value after) {
        Optional<Value> present = Optional.of(after);
        if (!before.equals(present)) {
            add(new Change(key, before, present));
        }
    }

    private void add(Change change) {
        tooMany |= changes.size() == most;
        if (!tooMany) {
            changes.add(change);
        }
    }
}
