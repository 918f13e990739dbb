package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tallyweir.fleet.Digest;

/**
 * An immutable set of entries, one a key: a persistent hash tree. Each digit of the SHA-256 of a key's encoding leads one branch
 * further down. A changed table shares all subtrees without a change with the one before, and every subtree has a digest, so that
 * two tables are compared, and one is brought up to another, at the cost of what differs.
 */
public final class Table {
    public static final Table EMPTY = empty(KeyHashing.SHA_256);

    private final Node rootNode;
    private final KeyHashing hashing;

    Table(Node rootNode, KeyHashing hashing) {
        this.rootNode = rootNode;
        this.hashing = hashing;
    }

    /** A table without entries whose keys are hashed in another way. */
    static Table empty(KeyHashing hashing) {
        return new Table(Leaf.EMPTY, hashing);
    }

    /** How many entries it has. */
    public int size() {
        return rootNode.count();
    }

    /** Names the whole: equal for equal entries, whatever way they came in. */
    public Digest root() {
        return rootNode.digest().toDigest();
    }

    /** What the entry of a key says. */
    public Optional<Value> get(Key key) {
        HashedEntry wanted = HashedEntry.of(key, hashing);
        Node node = rootNode;
        int depth = 0;
        while (node instanceof Branch branch) {
            node = branch.child(wanted.hash().digit(depth));
            depth++;
        }
        return ((Leaf) node).get(wanted.bytes());
    }

    /**
     * The table with each of these changes made; what they say of before is not looked at. Of several with the same key the last
     * one counts. If nothing changes it is this table itself.
     */
    public Table apply(Collection<Change> changes) {
        Node changed = new NodeUpdate(hashing).apply(rootNode, 0, inOrder(changes));
        return changed == rootNode ? this : new Table(changed, hashing);
    }

    /** Every entry, in an order that is the same for equal tables. */
    public void forEach(Consumer<Entry> to) {
        rootNode.forEach(to);
    }

    /** The entries that differ, from this table to another; costs as many steps as there are of them. */
    public List<Change> differenceTo(Table other) {
        return differenceTo(other, Integer.MAX_VALUE).orElseThrow();
    }

    /**
     * The entries that differ, from this table to another, unless there are too many.
     *
     * @param most changes at the most; more give an empty result, without being looked for any further
     */
    public Optional<List<Change>> differenceTo(Table other, int most) {
        TableDifference difference = new TableDifference(most);
        difference.walk(rootNode, other.rootNode);
        return difference.changes();
    }

    /**
     * What {@link TableTransfer#take} takes for a path: the encoded entries of that part if they are few, or else the digests and
     * counts of its children.
     */
    public byte[] piece(Path path) {
        Node node = rootNode;
        for (int depth = 0; depth < path.depth(); depth++) {
            node = node.child(path.digit(depth), depth, hashing);
        }
        return Piece.of(node);
    }

    /** Tables are equal if they have the same entries. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Table table && rootNode.sameAs(table.rootNode);
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

    private List<HashedChange> inOrder(Collection<Change> changes) {
        List<HashedChange> sorted = new ArrayList<>(changes.size());
        for (Change change : changes) {
            sorted.add(HashedChange.of(change, hashing));
        }
        Collections.sort(sorted);
        return lastOfEachKey(sorted);
    }

    private static List<HashedChange> lastOfEachKey(List<HashedChange> sorted) {
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
