package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.List;

/** Builds subtrees in their canonical shape, which depends on the entries only. */
final class NodeBuilder {
    private NodeBuilder() {}

    /** Builds the subtree of sorted entries whose key hashes are equal in the first {@code depth} digits. */
    static Node build(List<HashedEntry> sorted, int depth) {
        if (sorted.size() <= Leaf.MAX_ENTRIES || depth == Hash256.DIGITS) {
            return Leaf.of(sorted);
        }
        Node[] byDigit = new Node[Branch.FAN_OUT];
        int from = 0;
        for (int digit = 0; digit < Branch.FAN_OUT; digit++) {
            int to = from;
            while (to < sorted.size() && sorted.get(to).hash().digit(depth) == digit) {
                to++;
            }
            byDigit[digit] = build(sorted.subList(from, to), depth + 1);
            from = to;
        }
        return Branch.of(byDigit);
    }

    /** Joins 16 children, one for each digit: into a branch, or into a leaf if they have few entries. */
    static Node join(Node[] byDigit) {
        int count = 0;
        for (Node child : byDigit) {
            count += child.count();
        }
        return count > Leaf.MAX_ENTRIES ? Branch.of(byDigit) : Leaf.concatenate(leaves(byDigit));
    }

    private static List<Leaf> leaves(Node[] byDigit) {
        List<Leaf> leaves = new ArrayList<>();
        for (Node child : byDigit) {
            child.forEachLeaf(leaves::add);
        }
        return leaves;
    }
}
