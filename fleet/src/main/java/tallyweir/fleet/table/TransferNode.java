package tallyweir.fleet.table;

import java.util.List;
import java.util.Optional;

/**
 * A subtree of a table that is being transferred. It is resolved once the complete subtree or the digests of its children are
 * available. Until then it refers to the subtrees at the same path of tables known to the receiver, because its children may be
 * equal to children of those.
 */
final class TransferNode {
    /** Stands for the previous transfer where there was none. */
    static final TransferNode NONE = new TransferNode(Leaf.EMPTY);

    private final Hash256 digest;
    private Node base;
    private TransferNode previous;
    private Node subtree;
    private List<TransferNode> children;

    /** Creates a resolved node of a complete subtree. */
    private TransferNode(Node subtree) {
        this.digest = subtree.digest();
        this.subtree = subtree;
    }

    /**
     * Creates an unresolved node.
     *
     * @param base the subtree at the same path of the table that the receiver has
     * @param previous the node at the same path of the previous transfer
     */
    TransferNode(Hash256 digest, Node base, TransferNode previous) {
        this.digest = digest;
        this.base = base;
        this.previous = previous.isResolved() ? previous : previous.previous;
    }

    Hash256 digest() {
        return digest;
    }

    /** A complete subtree with this digest that the receiver already has, if any. */
    Optional<Node> knownSubtree() {
        if (base.hasDigest(digest)) {
            return Optional.of(base);
        }
        return previous.digest.equals(digest) ? Optional.ofNullable(previous.subtree) : Optional.empty();
    }

    /** The digests of the children, if the previous transfer already obtained them. */
    Optional<List<Hash256>> knownChildDigests() {
        boolean known = previous.children != null && previous.digest.equals(digest);
        return known
                ? Optional.of(
                        previous.children.stream().map(TransferNode::digest).toList())
                : Optional.empty();
    }

    /** Creates the unresolved child for a digit, with references to the known subtrees at its path. */
    TransferNode newChild(Hash256 childDigest, int digit, int depth, KeyHashing hashing) {
        return new TransferNode(childDigest, base.child(digit, depth, hashing), previous.child(digit, depth, hashing));
    }

    /** Resolves this node with its complete subtree. */
    void resolve(Node complete) {
        subtree = complete;
        releaseKnown();
    }

    /** Resolves this node with its 16 children. */
    void resolve(List<TransferNode> byDigit) {
        children = byDigit;
        releaseKnown();
    }

    /** Returns the complete subtree, joined from the children if necessary. All descendants must be resolved. */
    Node assemble() {
        if (subtree == null) {
            subtree = NodeBuilder.join(
                    children.stream().map(TransferNode::assemble).toArray(Node[]::new));
        }
        return subtree;
    }

    private boolean isResolved() {
        return subtree != null || children != null;
    }

    private TransferNode child(int digit, int depth, KeyHashing hashing) {
        return children != null ? children.get(digit) : new TransferNode(subtree.child(digit, depth, hashing));
    }

    private void releaseKnown() {
        base = null;
        previous = null;
    }
}
