package tallyweir.fleet.table;

import java.util.function.Consumer;

/**
 * A subtree of a table: all entries whose key hashes begin with the same digits. Immutable. Its shape depends on its entries only:
 * up to {@link Leaf#ENTRIES_MOST} entries form a leaf, more form a branch on the next digit. Therefore subtrees with equal entries
 * have equal digests.
 */
abstract sealed class Node permits Leaf, Branch {
    private final int count;

    // Four fields instead of a Hash256 save one object per node; a table has many nodes.
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

    /** The number of entries in this subtree. */
    final int count() {
        return count;
    }

    /** The digest of all entries in this subtree. */
    final Hash256 digest() {
        return new Hash256(digestFirst, digestSecond, digestThird, digestFourth);
    }

    final boolean hasDigest(Hash256 digest) {
        return digestFirst == digest.first()
                && digestSecond == digest.second()
                && digestThird == digest.third()
                && digestFourth == digest.fourth();
    }

    /** Whether both subtrees have the same entries. */
    final boolean sameAs(Node other) {
        return this == other
                || (digestFirst == other.digestFirst
                        && digestSecond == other.digestSecond
                        && digestThird == other.digestThird
                        && digestFourth == other.digestFourth);
    }

    /** The subtree of the entries whose key hash has the given digit at the depth of this node. */
    abstract Node child(int digit, int depth, KeyHashing hashing);

    /** Passes on every leaf of this subtree, in the order of key hashes. */
    abstract void forEachLeaf(Consumer<Leaf> consumer);

    /** Passes on every entry of this subtree, in the order of key hashes. */
    final void forEach(Consumer<Entry> consumer) {
        forEachLeaf(leaf -> leaf.decode(consumer));
    }
}
