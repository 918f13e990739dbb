package tallyweir.fleet.table;

import java.util.function.Consumer;

/**
 * A subtree of a table: all entries whose key hashes begin with the same digits. Immutable. Its shape depends on its entries only:
 * up to {@link Leaf#MAX_ENTRIES} entries form a leaf, more form a branch on the next digit. Therefore subtrees with equal entries
 * have equal digests.
 */
abstract sealed class Node permits Leaf, Branch {
    private final int count;

    // Four fields instead of a Hash256 save one object per node; a table has many nodes.
    private final long digestWord0;
    private final long digestWord1;
    private final long digestWord2;
    private final long digestWord3;

    Node(int count, Hash256 digest) {
        this.count = count;
        this.digestWord0 = digest.word0();
        this.digestWord1 = digest.word1();
        this.digestWord2 = digest.word2();
        this.digestWord3 = digest.word3();
    }

    /** The number of entries in this subtree. */
    final int count() {
        return count;
    }

    /** The digest of all entries in this subtree. */
    final Hash256 digest() {
        return new Hash256(digestWord0, digestWord1, digestWord2, digestWord3);
    }

    final boolean hasDigest(Hash256 digest) {
        return digestWord0 == digest.word0()
                && digestWord1 == digest.word1()
                && digestWord2 == digest.word2()
                && digestWord3 == digest.word3();
    }

    /** Whether both subtrees have the same entries. */
    final boolean hasSameEntriesAs(Node other) {
        return this == other
                || (digestWord0 == other.digestWord0
                        && digestWord1 == other.digestWord1
                        && digestWord2 == other.digestWord2
                        && digestWord3 == other.digestWord3);
    }

    /** The subtree of the entries whose key hash has the given digit at the depth of this node. */
    abstract Node child(int digit, int depth, KeyHashing hashing);

    /** Passes on every leaf of this subtree, in the order of key hashes. */
    abstract void forEachLeaf(Consumer<Leaf> consumer);

    /** Passes on every entry of this subtree, in the order of key hashes. */
    final void forEach(Consumer<Entry> consumer) {
        forEachLeaf(leaf -> leaf.forEachEntry(consumer));
    }
}
