package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.List;

/** Applies changes to a subtree. Subtrees that are unaffected, or equal after the changes, remain the same objects. */
final class NodeUpdate {
    private final KeyHashing hashing;

    NodeUpdate(KeyHashing hashing) {
        this.hashing = hashing;
    }

    /** Applies changes, which must be sorted, at most one for each key, and all belong to this subtree. */
    Node apply(Node node, int depth, List<HashedChange> sorted) {
        if (sorted.isEmpty()) {
            return node;
        }
        if (node instanceof Branch branch) {
            return applyToBranch(branch, depth, sorted);
        }
        Leaf leaf = (Leaf) node;
        Node changed = NodeBuilder.build(merge(leaf.entries(hashing), sorted), depth);
        return changed.hasSameEntriesAs(leaf) ? leaf : changed;
    }

    private Node applyToBranch(Branch branch, int depth, List<HashedChange> sorted) {
        Node[] byDigit = branch.childrenByDigit();
        boolean changed = false;
        int from = 0;
        while (from < sorted.size()) {
            int digit = digit(sorted, from, depth);
            int to = from + 1;
            while (to < sorted.size() && digit(sorted, to, depth) == digit) {
                to++;
            }
            Node before = byDigit[digit];
            byDigit[digit] = apply(before, depth + 1, sorted.subList(from, to));
            changed |= byDigit[digit] != before;
            from = to;
        }
        return changed ? NodeBuilder.join(byDigit) : branch;
    }

    private static int digit(List<HashedChange> sorted, int index, int depth) {
        return sorted.get(index).entry().hash().digit(depth);
    }

    private static List<HashedEntry> merge(List<HashedEntry> entries, List<HashedChange> changes) {
        List<HashedEntry> merged = new ArrayList<>(entries.size() + changes.size());
        int next = 0;
        for (HashedChange change : changes) {
            while (next < entries.size() && entries.get(next).compareTo(change.entry()) < 0) {
                merged.add(entries.get(next));
                next++;
            }
            if (next < entries.size() && entries.get(next).hasSameKeyAs(change.entry())) {
                next++;
            }
            if (change.isPut()) {
                merged.add(change.entry());
            }
        }
        merged.addAll(entries.subList(next, entries.size()));
        return merged;
    }
}
