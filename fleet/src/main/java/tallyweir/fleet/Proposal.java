package tallyweir.fleet;

import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntFunction;

/** The proposed revision, if any, and the answers of live servers whether they can apply it. */
final class Proposal {
    private static final int MAX_REASONS = 8;

    private Revision revision;
    private long checkDeadline; // by the fleet's clock
    private BitSet pending = new BitSet(); // slots of live servers that have not answered
    private final TreeMap<ServerId, String> rejections = new TreeMap<>();
    private int accepted; // servers that can apply it

    /**
     * Opens a proposal for servers to check.
     *
     * @param checkDeadline when servers that have not answered count as unable
     * @param slotsToAsk slots of the servers that are to answer
     */
    void open(Revision proposed, long checkDeadline, BitSet slotsToAsk) {
        revision = proposed;
        this.checkDeadline = checkDeadline;
        pending = (BitSet) slotsToAsk.clone();
        rejections.clear();
        accepted = 0;
    }

    /** Closes the proposal: it has been decided. */
    void close() {
        revision = null;
    }

    boolean isOpen() {
        return revision != null;
    }

    /** The open proposal's revision, null for none. */
    Revision revision() {
        return revision;
    }

    /** The id of the proposed revision, NONE if none is open. */
    RevisionId id() {
        return isOpen() ? revision.id : RevisionId.NONE;
    }

    RevisionRoot revisionRoot() {
        return isOpen() ? revision.revisionRoot() : RevisionRoot.NONE;
    }

    /** When servers that have not answered count as unable, Long.MAX_VALUE if no proposal is open. */
    long deadline() {
        return isOpen() ? checkDeadline : Long.MAX_VALUE;
    }

    /**
     * Records that a server has checked a revision.
     *
     * @param reason the reason why it cannot apply it, empty if it can
     */
    void recordCheck(int slot, ServerId server, RevisionId checkedId, String reason) {
        if (!checkedId.equals(id()) || !pending.get(slot)) {
            return;
        }
        pending.clear(slot);
        if (reason.isEmpty()) {
            accepted++;
        } else {
            rejections.put(server, reason);
        }
    }

    /** Waits no longer for the answer of a server that is no longer live. */
    void remove(int slot) {
        pending.clear(slot);
    }

    boolean isComplete() {
        return pending.isEmpty();
    }

    /** Counts all servers that have not answered as unable. */
    void expire(IntFunction<ServerId> serverAt) {
        pending.stream().forEach(slot -> rejections.put(serverAt.apply(slot), "it did not say in time"));
        pending.clear();
    }

    /** Of the servers that have answered, the fraction that cannot apply it. */
    double rejectedShare() {
        int answered = accepted + rejections.size();
        return answered == 0 ? 0 : rejections.size() / (double) answered;
    }

    /** How many servers cannot apply it, and the reasons of the first of them, at most {@link #MAX_REASONS}. */
    String rejectionSummary() {
        List<String> first = rejections.entrySet().stream()
                .limit(MAX_REASONS)
                .map(each -> each.getKey().value() + ": " + each.getValue())
                .toList();
        return rejections.size() + " of " + (accepted + rejections.size()) + " cannot take it: "
                + String.join("; ", first);
    }

    SnapshotPart.Proposed save() {
        return new SnapshotPart.Proposed(
                id(), checkDeadline, pending.stream().boxed().toList(), new TreeMap<>(rejections), accepted);
    }

    void load(SnapshotPart.Proposed saved, Revision proposed) {
        revision = proposed;
        checkDeadline = saved.checkDeadline();
        saved.pendingSlots().forEach(pending::set);
        rejections.putAll(saved.rejections());
        accepted = saved.accepted();
    }
}
