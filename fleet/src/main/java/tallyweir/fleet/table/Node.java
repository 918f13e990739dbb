package tallyweir.fleet.table;

import java.util.function.Consumer;

/**
 * A subtree: all entries whose key hashes begin with the same digits. Immutable. Its shape depends on its entries only: at most
 * {@link Leaf#ENTRIES_MOST} are a leaf, more are a branch by the next digit. So equal subtrees have equal digests.
 */
abstract sealed class Node permits Leaf, Branch {
    private final int count;

    // Fields and not one object, as there are many nodes.
    private final long digestFirst;
    private final long digestSecond;
    private final long digestThird;
    private final long digestFourth;

    Node(int count, Hash256 digest) {
        this.count = count;
        this.digestFirst = digest.first();
        this.digestSecond = digest.second();
        this.digestThird = digest.third();
        this.digestFourth = digest.fourth();
    }

    /** How many entries are below. */
    final int count() {
        return count;
    }

    /** Names all the entries below. */
    final Hash256 digest() {
        return new Hash256(digestFirst, digestSecond, digestThird, digestFourth);
    }

    final boolean hasDigest(Hash256 digest) {
        return digestFirst == digest.first()
                && digestSecond == digest.second()
                && digestThird == digest.third()
                && digestFourth == digest.fourth();
    }

    /** Whether both have the same entries. */
    final boolean sameAs(Node other) {
        return this == other
                || (digestFirst == other.digestFirst
                        && digestSecond == other.digestSecond
                        && digestThird == other.digestThird
                        && digestFourth == other.digestFourth);
    }

    /** The entries below whose key hash has a digit at the depth of this node, as a subtree one digit further down. */
    abstract Node child(int digit, int depth, KeyHashing hashing);

    /** Every leaf below, in the order of key hashes. */
    abstract void forEachLeaf(Consumer<Leaf> to);

    /** Every entry below, in the order of key hashes. */
    final void forEach(Consumer<Entry> to) {
        forEachLeaf(leaf -> leaf.decode(to));
    }
}
