package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tallyweir.fleet.Digest;

/**
 * An immutable map from keys to values, implemented as a persistent hash tree: the hexadecimal digits of the SHA-256 of an encoded
 * key select the child at each level. A changed table shares all unchanged subtrees with its predecessor. Every subtree has a
 * digest, so the cost of comparing two tables, or of transferring one to a holder of the other, depends on the size of their
 * difference. Safe for use by several threads.
 */
public final class Table {
    /** The table without entries. */
    public static final Table EMPTY = empty(KeyHashing.SHA_256);

    private final Node rootNode;
    private final KeyHashing hashing;

    Table(Node rootNode, KeyHashing hashing) {
        this.rootNode = rootNode;
        this.hashing = hashing;
    }

    /** A table without entries that uses another hash function for its keys. */
    static Table empty(KeyHashing hashing) {
        return new Table(Leaf.EMPTY, hashing);
    }

    /** The number of entries. */
    public int size() {
        return rootNode.count();
    }

    /** The digest of all entries; it does not depend on the order in which they were added. */
    public Digest root() {
        return rootNode.digest().toDigest();
    }

    /** Returns the value of a key, or empty if there is no such entry. */
    public Optional<Value> get(Key key) {
        HashedEntry hashedKey = HashedEntry.of(key, hashing);
        Node node = rootNode;
        int depth = 0;
        while (node instanceof Branch branch) {
            node = branch.child(hashedKey.hash().digit(depth));
            depth++;
        }
        return ((Leaf) node).get(hashedKey.bytes());
    }

    /**
     * Returns a table with the changes applied. Their old values are ignored. Of several changes of one key, the last one counts.
     * Returns this table itself if nothing changes.
     */
    public Table apply(Collection<Change> changes) {
        Node changed = new NodeUpdate(hashing).apply(rootNode, 0, sortedByKeyHash(changes));
        return changed == rootNode ? this : new Table(changed, hashing);
    }

    /** Passes on every entry, in an order that is the same for equal tables. */
    public void forEach(Consumer<Entry> consumer) {
        rootNode.forEach(consumer);
    }

    /** Returns the changes that lead from this table to another; the cost is proportional to their number. */
    public List<Change> differenceTo(Table other) {
        return differenceTo(other, Integer.MAX_VALUE).orElseThrow();
    }

    /**
     * Returns the changes that lead from this table to another, unless there are too many.
     *
     * @param maxChanges the maximum number of changes; if there are more, the search stops and the result is empty
     */
    public Optional<List<Change>> differenceTo(Table other, int maxChanges) {
        TableDifference difference = new TableDifference(maxChanges);
        difference.compare(rootNode, other.rootNode);
        return difference.changes();
    }

    /**
     * Returns the chunk of a path for {@link TableTransfer#accept}: the encoded entries of that subtree if they are few, otherwise
     * the digests and entry counts of its children.
     */
    public byte[] chunk(Path path) {
        Node node = rootNode;
        for (int depth = 0; depth < path.depth(); depth++) {
            node = node.child(path.digit(depth), depth, hashing);
        }
        return TableChunk.of(node);
    }

    /** Two tables are equal if they have the same entries. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Table table && rootNode.hasSameEntriesAs(table.rootNode);
    }

    @Override
    public int hashCode() {
        return rootNode.digest().hashCode();
    }

    @Override
    public String toString() {
        return "Table[size=" + size() + ", root=" + root().value() + "]";
    }

    Node rootNode() {
        return rootNode;
    }

    KeyHashing hashing() {
        return hashing;
    }

    private List<HashedChange> sortedByKeyHash(Collection<Change> changes) {
        List<HashedChange> sorted = new ArrayList<>(changes.size());
        for (Change change : changes) {
            sorted.add(HashedChange.of(change, hashing));
        }
        Collections.sort(sorted);
        return lastChangePerKey(sorted);
    }

    private static List<HashedChange> lastChangePerKey(List<HashedChange> sorted) {
        List<HashedChange> last = new ArrayList<>(sorted.size());
        for (HashedChange change : sorted) {
            int previous = last.size() - 1;
            if (previous >= 0 && last.get(previous).compareTo(change) == 0) {
                last.set(previous, change);
            } else {
                last.add(change);
            }
        }
        return last;
    }
}
