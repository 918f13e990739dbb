package tallyweir.fleet.table;

import java.util.Arrays;
import java.util.function.Consumer;

/** More entries than a leaf takes, parted by the next digit of their key hashes. */
final class Branch extends Node {
    /** How many digits there are. */
    static final int FAN_OUT = 16;

    private final char bitmap;
    private final Node[] children;

    private Branch(int count, Hash256 digest, char bitmap, Node[] children) {
        super(count, digest);
        this.bitmap = bitmap;
        this.children = children;
    }

    /** A branch of one subtree for each digit, some of them empty. */
    static Branch of(Node[] byDigit) {
        Node[] children = new Node[FAN_OUT];
        int filled = 0;
        int bitmap = 0;
        int count = 0;
        for (int digit = 0; digit < FAN_OUT; digit++) {
            Node child = byDigit[digit];
            if (child.count() > 0) {
                children[filled] = child;
                filled++;
                bitmap |= 1 << digit;
                count += child.count();
            }
        }
        byte[] summary = BranchSummary.of(byDigit).encode();
        Hash256 digest = Sha256.of(summary, 0, summary.length);
        return new Branch(count, digest, (char) bitmap, Arrays.copyOf(children, filled));
    }

    /** The subtree for a digit. */
    Node child(int digit) {
        int bit = 1 << digit;
        if ((bitmap & bit) == 0) {
            return Leaf.EMPTY;
        }
        return children[Integer.bitCount(bitmap & (bit - 1))];
    }

    /** A copy of all subtrees, one for each digit. */
    Node[] byDigit() {
        Node[] all = new Node[FAN_OUT];
        for (int digit = 0; digit < FAN_OUT; digit++) {
            all[digit] = child(digit);
        }
        return all;
    }

    @Override
    Node child(int digit, int depth, KeyHashing hashing) {
        return child(digit);
    }

    @Override
    void forEachLeaf(Consumer<Leaf> to) {
        for (Node child : children) {
            child.forEachLeaf(to);
        }
    }
}
