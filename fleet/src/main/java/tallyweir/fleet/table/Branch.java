package tallyweir.fleet.table;

import java.util.Arrays;
import java.util.function.Consumer;

/** A subtree with too many entries for a leaf, divided by the next digit of their key hashes. Stores non-empty children only. */
final class Branch extends Node {
    /** The number of children, one for each hexadecimal digit. */
    static final int FAN_OUT = 16;

    private final char bitmap;
    private final Node[] children;

    private Branch(int count, Hash256 digest, char bitmap, Node[] children) {
        super(count, digest);
        this.bitmap = bitmap;
        this.children = children;
    }

    /** Creates a branch of 16 children in the order of their digits; children may be empty. */
    static Branch of(Node[] byDigit) {
        Node[] children = new Node[FAN_OUT];
        int stored = 0;
        int bitmap = 0;
        int count = 0;
        for (int digit = 0; digit < FAN_OUT; digit++) {
            Node child = byDigit[digit];
            if (child.count() > 0) {
                children[stored] = child;
                stored++;
                bitmap |= 1 << digit;
                count += child.count();
            }
        }
        byte[] summary = BranchSummary.of(byDigit).encode();
        Hash256 digest = Sha256.of(summary, 0, summary.length);
        return new Branch(count, digest, (char) bitmap, Arrays.copyOf(children, stored));
    }

    /** The child for a digit; {@link Leaf#EMPTY} if it has no entries. */
    Node child(int digit) {
        int bit = 1 << digit;
        if ((bitmap & bit) == 0) {
            return Leaf.EMPTY;
        }
        return children[Integer.bitCount(bitmap & (bit - 1))];
    }

    /** A new array of all 16 children, indexed by digit. */
    Node[] childrenByDigit() {
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
    void forEachLeaf(Consumer<Leaf> consumer) {
        for (Node child : children) {
            child.forEachLeaf(consumer);
        }
    }
}
