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
 * Brings a table over piece by piece, from the root down. Each piece is held against the digest that the piece above promised, so
 * it may come from anywhere. Parts that the receiver has are not asked for. Not for several threads at once.
 */
public final class TableTransfer {
    private final Table have;
    private final Hash256 wantedRoot;
    private final TransferPart root;
    private final Map<Path, TransferPart> pending = new LinkedHashMap<>();

    /**
     * A transfer that has had no piece.
     *
     * @param have a table that the receiver has; the nearer it is to the wanted one, the less is asked for
     * @param wantedRoot the root of the wanted table; {@link Fault.UnknownRoot} if it cannot be one
     */
    public TableTransfer(Table have, Digest wantedRoot) {
        this(have, wantedRoot, TransferPart.NOTHING);
    }

    private TableTransfer(Table have, Digest wantedRoot, TransferPart earlier) {
        this.have = have;
        this.wantedRoot = Hash256.of(wantedRoot).orElseThrow(new Fault.UnknownRoot(wantedRoot.value())::thrown);
        this.root = new TransferPart(this.wantedRoot, have.rootNode(), earlier);
        resolveOrAsk(Path.ROOT, root);
    }

    /** The path to ask a piece for; the same one until that piece is taken; empty once all are there. */
    public Optional<Path> next() {
        return pending.isEmpty()
                ? Optional.empty()
                : Optional.of(pending.keySet().iterator().next());
    }

    /**
     * Takes a piece. One that is not asked for is left aside.
     *
     * @throws FleetException {@link Fault.DigestMismatch} if it is not the promised one; then nothing has changed
     */
    public void take(Path path, byte[] piece) {
        TransferPart part = pending.get(path);
        if (part == null) {
            return;
        }
        if (Piece.isSummary(piece)) {
            takeSummary(path, part, piece);
        } else {
            takeEntries(path, part, piece);
        }
    }

    /** The wanted table, once nothing is left to ask for. */
    public Table table() {
        if (!pending.isEmpty()) {
            throw new IllegalStateException(pending.size() + " pieces are missing");
        }
        Node assembled = root.assemble();
        if (!assembled.hasDigest(wantedRoot)) {
            throw mismatch(wantedRoot, assembled.digest().toDigest());
        }
        return assembled == have.rootNode() ? have : new Table(assembled, have.hashing());
    }

    /** Goes on towards another table with all that has been had so far. This transfer is not to be used any more. */
    public TableTransfer towards(Digest newRoot) {
        return new TableTransfer(have, newRoot, root);
    }

    private void takeSummary(Path path, TransferPart part, byte[] piece) {
        Hash256 found = Sha256.of(piece, 0, piece.length);
        if (!found.equals(part.digest()) || path.depth() == Hash256.DIGITS) {
            throw mismatch(part.digest(), found.toDigest());
        }
        pending.remove(path);
        List<ChildSummary> children = BranchSummary.decode(piece).children();
        promiseChildren(path, part, children.stream().map(ChildSummary::digest).toList());
    }

    private void takeEntries(Path path, TransferPart part, byte[] piece) {
        Node subtree = subtree(path, part, piece);
        if (!subtree.hasDigest(part.digest())) {
            throw mismatch(part.digest(), subtree.digest().toDigest());
        }
        pending.remove(path);
        part.resolve(subtree);
    }

    private Node subtree(Path path, TransferPart part, byte[] piece) {
        try {
            return Piece.subtree(path, piece, have.hashing());
        } catch (FleetException unreadable) {
            throw mismatch(part.digest(), Digest.of(piece));
        }
    }

    private void resolveOrAsk(Path path, TransferPart part) {
        Optional<Node> whole = part.knownWhole();
        Optional<List<Hash256>> children = part.knownChildren();
        if (whole.isPresent()) {
            part.resolve(whole.get());
        } else if (children.isPresent()) {
            promiseChildren(path, part, children.get());
        } else {
            pending.put(path, part);
        }
    }

    private void promiseChildren(Path path, TransferPart part, List<Hash256> digests) {
        List<TransferPart> children = new ArrayList<>(digests.size());
        for (int digit = 0; digit < digests.size(); digit++) {
            children.add(part.promisedChild(digests.get(digit), digit, path.depth(), have.hashing()));
        }
        part.resolve(children);
        for (int digit = 0; digit < children.size(); digit++) {
            resolveOrAsk(path.child(digit), children.get(digit));
        }
    }

    private static FleetException mismatch(Hash256 wanted, Digest found) {
        return new Fault.DigestMismatch(wanted.toDigest().value(), found.value()).thrown();
    }
}
