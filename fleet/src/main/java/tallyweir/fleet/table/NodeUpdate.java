package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.List;

/** Makes changes in a subtree; parts that none of them reaches, or that they leave equal, stay the same objects. */
final class NodeUpdate {
    private final KeyHashing hashing;

    NodeUpdate(KeyHashing hashing) {
        this.hashing = hashing;
    }

    /** The subtree with the changes made. They are in order, one a key, and all belong below the node. */
    Node apply(Node node, int depth, List<HashedChange> sorted) {
        if (sorted.isEmpty()) {
            return node;
        }
        if (node instanceof Branch branch) {
            return applyToBranch(branch, depth, sorted);
        }
        Leaf leaf = (Leaf) node;
        Node changed = NodeBuilder.build(merge(leaf.entries(hashing), sorted), depth);
        return changed.sameAs(leaf) ? leaf : changed;
    }

    private Node applyToBranch(Branch branch, int depth, List<HashedChange> sorted) {
        Node[] byDigit = branch.byDigit();
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
        int kept = 0;
        for (HashedChange change : changes) {
            while (kept < entries.size() && entries.get(kept).compareTo(change.entry()) < 0) {
                merged.add(entries.get(kept));
                kept++;
            }
            if (kept < entries.size() && entries.get(kept).hasKeyOf(change.entry())) {
                kept++;
            }
            if (change.puts()) {
                merged.add(change.entry());
            }
        }
        merged.addAll(entries.subList(kept, entries.size()));
        return merged;
    }
}
