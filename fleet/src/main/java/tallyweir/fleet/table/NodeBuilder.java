package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.List;

/** Makes subtrees, always in the one shape that their entries have. */
final class NodeBuilder {
    private NodeBuilder() {}

    /** The subtree of entries that are in order and whose key hashes are equal up to the depth. */
    static Node build(List<HashedEntry> sorted, int depth) {
        if (sorted.size() <= Leaf.ENTRIES_MOST || depth == Hash256.DIGITS) {
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

    /** The subtree over one subtree for each digit. */
    static Node join(Node[] byDigit) {
        int count = 0;
        for (Node child : byDigit) {
            count += child.count();
        }
        return count > Leaf.ENTRIES_MOST ? Branch.of(byDigit) : Leaf.joined(leaves(byDigit));
    }

    private static List<Leaf> leaves(Node[] byDigit) {
        List<Leaf> leaves = new ArrayList<>();
        for (Node child : byDigit) {
            child.forEachLeaf(leaves::add);
        }
        return leaves;
    }
}
