package tallyweir.fleet.table;

import java.util.List;
import java.util.Optional;

/**
 * A subtree of a table that is being transferred. It is resolved once it is there as a whole, or once its children are known.
 * Until then it holds on to what is known at the same path of other tables, as its children may turn out to be parts of that.
 */
final class TransferPart {
    /** What an earlier transfer has had if there was none. */
    static final TransferPart NOTHING = new TransferPart(Leaf.EMPTY);

    private final Hash256 digest;
    private Node have;
    private TransferPart earlier;
    private Node whole;
    private List<TransferPart> children;

    /** A part that is there as a whole. */
    private TransferPart(Node whole) {
        this.digest = whole.digest();
        this.whole = whole;
    }

    /**
     * A part that is not resolved.
     *
     * @param have the subtree at the same path of the table that the receiver has
     * @param earlier the part at the same path of an earlier transfer
     */
    TransferPart(Hash256 digest, Node have, TransferPart earlier) {
        this.digest = digest;
        this.have = have;
        this.earlier = earlier.isResolved() ? earlier : earlier.earlier;
    }

    Hash256 digest() {
        return digest;
    }

    /** The subtree that is known already and has the digest of this one, as a whole. */
    Optional<Node> knownWhole() {
        if (have.hasDigest(digest)) {
            return Optional.of(have);
        }
        return earlier.digest.equals(digest) ? Optional.ofNullable(earlier.whole) : Optional.empty();
    }

    /** The digests of the children, if they are known already. */
    Optional<List<Hash256>> knownChildren() {
        boolean known = earlier.children != null && earlier.digest.equals(digest);
        return known
                ? Optional.of(
                        earlier.children.stream().map(TransferPart::digest).toList())
                : Optional.empty();
    }

    /** The child for a digit, not resolved, with what is known at its path. */
    TransferPart promisedChild(Hash256 childDigest, int digit, int depth, KeyHashing hashing) {
        return new TransferPart(childDigest, have.child(digit, depth, hashing), earlier.child(digit, depth, hashing));
    }

    /** Resolves it by the subtree. */
    void resolve(Node subtree) {
        whole = subtree;
        forgetOthers();
    }

    /** Resolves it by its children. */
    void resolve(List<TransferPart> byDigit) {
        children = byDigit;
        forgetOthers();
    }

    /** The subtree, put together from its children if need be. All below have to be resolved. */
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
