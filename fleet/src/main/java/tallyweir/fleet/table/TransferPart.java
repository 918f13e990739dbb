package tallyweir.fleet.table;

import java.util.List;
import java.util.Optional;

/**
 * A subtree of a table that is being transferred. It is resolved once the complete subtree or the digests of its children are
 * available. Until then it refers to the subtrees at the same path of tables known to the receiver, because its children may be
 * equal to children of those.
 */
final class TransferPart {
    /** Stands for the previous transfer where there was none. */
    static final TransferPart NOTHING = new TransferPart(Leaf.EMPTY);

    private final Hash256 digest;
    private Node have;
    private TransferPart earlier;
    private Node whole;
    private List<TransferPart> children;

    /** Creates a resolved node of a complete subtree. */
    private TransferPart(Node subtree) {
        this.digest = subtree.digest();
        this.whole = subtree;
    }

    /**
     * Creates an unresolved node.
     *
     * @param base the subtree at the same path of the table that the receiver has
     * @param previous the node at the same path of the previous transfer
     */
    TransferPart(Hash256 digest, Node base, TransferPart previous) {
        this.digest = digest;
        this.have = base;
        this.earlier = previous.isResolved() ? previous : previous.earlier;
    }

    Hash256 digest() {
        return digest;
    }

    /** A complete subtree with this digest that the receiver already has, if any. */
    Optional<Node> knownWhole() {
        if (have.hasDigest(digest)) {
            return Optional.of(have);
        }
        return earlier.digest.equals(digest) ? Optional.ofNullable(earlier.whole) : Optional.empty();
    }

    /** The digests of the children, if the previous transfer already obtained them. */
    Optional<List<Hash256>> knownChildren() {
        boolean known = earlier.children != null && earlier.digest.equals(digest);
        return known
                ? Optional.of(
                        earlier.children.stream().map(TransferPart::digest).toList())
                : Optional.empty();
    }

    /** Creates the unresolved child for a digit, with references to the known subtrees at its path. */
    TransferPart promisedChild(Hash256 childDigest, int digit, int depth, KeyHashing hashing) {
        return new TransferPart(childDigest, have.child(digit, depth, hashing), earlier.child(digit, depth, hashing));
    }

    /** Resolves this node with its complete subtree. */
    void resolve(Node complete) {
        whole = complete;
        forgetOthers();
    }

    /** Resolves this node with its 16 children. */
    void resolve(List<TransferPart> byDigit) {
        children = byDigit;
        forgetOthers();
    }

    /** Returns the complete subtree, joined from the children if necessary. All descendants must be resolved. */
    Node assemble() {
        if (whole == null) {
            whole = NodeBuilder.join(
                    children.stream().map(TransferPart::assemble).toArray(Node[]::new));
        }
        return whole;
    }

    private boolean isResolved() {
        return whole != null || children != null;
    }

    private TransferPart child(int digit, int depth, KeyHashing hashing) {
        return children != null ? children.get(digit) : new TransferPart(whole.child(digit, depth, hashing));
    }

    private void forgetOthers() {
        have = null;
        earlier = null;
    }
}
