package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;

/**
 * The receiver's side of the transfer of a table, chunk by chunk from the root down. Each chunk is verified against the digest in
 * its parent's chunk, so it may come from any source. Subtrees that the receiver already has are not requested. Not thread-safe.
 */
public final class TableTransfer {
    private final Table base;
    private final Hash256 targetRoot;
    private final TransferNode root;
    private final Map<Path, TransferNode> pending = new LinkedHashMap<>();

    /**
     * Starts a transfer.
     *
     * @param base a table that the receiver has; the less it differs from the target, the fewer chunks are requested
     * @param targetRoot the root digest of the target table; {@link Fault.UnknownRoot} is thrown if it is not a valid digest
     */
    public TableTransfer(Table base, Digest targetRoot) {
        this(base, targetRoot, TransferNode.NONE);
    }

    private TableTransfer(Table base, Digest targetRoot, TransferNode previous) {
        this.base = base;
        this.targetRoot = Hash256.parse(targetRoot).orElseThrow(new Fault.UnknownRoot(targetRoot.value())::toException);
        this.root = new TransferNode(this.targetRoot, base.rootNode(), previous);
        resolveOrRequest(Path.ROOT, root);
    }

    /** The path of the next chunk to request: the same path until its chunk is accepted, empty once the transfer is complete. */
    public Optional<Path> nextPath() {
        return pending.isEmpty()
                ? Optional.empty()
                : Optional.of(pending.keySet().iterator().next());
    }

    /**
     * Accepts the chunk of a path. A chunk that was not requested is ignored.
     *
     * @throws FleetException {@link Fault.DigestMismatch} if the chunk does not have the expected digest; the transfer is unchanged
     */
    public void accept(Path path, byte[] chunk) {
        TransferNode node = pending.get(path);
        if (node == null) {
            return;
        }
        if (TableChunk.isSummary(chunk)) {
            acceptSummary(path, node, chunk);
        } else {
            acceptEntries(path, node, chunk);
        }
    }

    /** The transferred table; throws {@link IllegalStateException} if the transfer is not complete. */
    public Table table() {
        if (!pending.isEmpty()) {
            throw new IllegalStateException(pending.size() + " chunks are missing");
        }
        Node assembled = root.assemble();
        if (!assembled.hasDigest(targetRoot)) {
            throw mismatch(targetRoot, assembled.digest().toDigest());
        }
        return assembled == base.rootNode() ? base : new Table(assembled, base.hashing());
    }

    /** Returns a transfer to another target that reuses everything received so far. This transfer must not be used afterwards. */
    public TableTransfer retarget(Digest newRoot) {
        return new TableTransfer(base, newRoot, root);
    }

    private void acceptSummary(Path path, TransferNode node, byte[] chunk) {
        Hash256 found = Sha256.of(chunk, 0, chunk.length);
        if (!found.equals(node.digest()) || path.depth() == Hash256.DIGITS) {
            throw mismatch(node.digest(), found.toDigest());
        }
        pending.remove(path);
        List<ChildSummary> children = BranchSummary.decode(chunk).children();
        createChildren(path, node, children.stream().map(ChildSummary::digest).toList());
    }

    private void acceptEntries(Path path, TransferNode node, byte[] chunk) {
        Node subtree = subtree(path, node, chunk);
        if (!subtree.hasDigest(node.digest())) {
            throw mismatch(node.digest(), subtree.digest().toDigest());
        }
        pending.remove(path);
        node.resolve(subtree);
    }

    private Node subtree(Path path, TransferNode node, byte[] chunk) {
        try {
            return TableChunk.subtree(path, chunk, base.hashing());
        } catch (FleetException unreadable) {
            throw mismatch(node.digest(), Digest.of(chunk));
        }
    }

    private void resolveOrRequest(Path path, TransferNode node) {
        Optional<Node> subtree = node.knownSubtree();
        Optional<List<Hash256>> children = node.knownChildDigests();
        if (subtree.isPresent()) {
            node.resolve(subtree.get());
        } else if (children.isPresent()) {
            createChildren(path, node, children.get());
        } else {
            pending.put(path, node);
        }
    }

    private void createChildren(Path path, TransferNode node, List<Hash256> digests) {
        List<TransferNode> children = new ArrayList<>(digests.size());
        for (int digit = 0; digit < digests.size(); digit++) {
            children.add(node.newChild(digests.get(digit), digit, path.depth(), base.hashing()));
        }
        node.resolve(children);
        for (int digit = 0; digit < children.size(); digit++) {
            resolveOrRequest(path.child(digit), children.get(digit));
        }
    }

    private static FleetException mismatch(Hash256 expected, Digest found) {
        return new Fault.DigestMismatch(expected.toDigest().value(), found.value()).toException();
    }
}
