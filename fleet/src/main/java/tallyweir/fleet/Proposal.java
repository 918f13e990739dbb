package tallyweir.fleet;

import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntFunction;

/** The revision that is proposed, if any, and what live servers say of it. */
final class Proposal {
    private static final int REASONS_MOST = 8;

    private Revision revision;
    private long until;
    private BitSet pending = new BitSet(); // places of live servers that have not said whether they can take it
    private final TreeMap<ServerId, String> rejections = new TreeMap<>();
    private int accepted;

    /**
     * Opens a revision for servers to say whether they can take it.
     *
     * @param until when those count as unable that have not said
     * @param ask places of the servers that are to say
     */
    void open(Revision proposed, long until, BitSet ask) {
        revision = proposed;
        this.until = until;
        pending = (BitSet) ask.clone();
        rejections.clear();
        accepted = 0;
    }

    /** It has been decided. */
    void close() {
        revision = null;
    }

    boolean isOpen() {
        return revision != null;
    }

    /** The one that is open, null for none. */
    Revision revision() {
        return revision;
    }

    RevisionId id() {
        return isOpen() ? revision.id : RevisionId.NONE;
    }

    RevisionRoot named() {
        return isOpen() ? revision.named() : RevisionRoot.NONE;
    }

    /** When the clock alone decides something of it, Long.MAX_VALUE for never. */
    long due() {
        return isOpen() ? until : Long.MAX_VALUE;
    }

    /** A server has looked at a revision; why it cannot take it, empty if it can. */
    void checked(int place, ServerId server, RevisionId which, String why) {
        if (!which.equals(id()) || !pending.get(place)) {
            return;
        }
        pending.clear(place);
        if (why.isEmpty()) {
            accepted++;
        } else {
            rejections.put(server, why);
        }
    }

    /** A server that is not live any more need not say. */
    void remove(int place) {
        pending.clear(place);
    }

    boolean isComplete() {
        return pending.isEmpty();
    }

    /** Those who are silent though live count as unable. */
    void expire(IntFunction<ServerId> serverAt) {
        pending.stream().forEach(place -> rejections.put(serverAt.apply(place), "it did not say in time"));
        pending.clear();
    }

    /** Of those who have said, the share that cannot take it. */
    double rejectedShare() {
        int said = accepted + rejections.size();
        return said == 0 ? 0 : rejections.size() / (double) said;
    }

    /** How many cannot take it, and why the first of them cannot. */
    String reasons() {
        List<String> first = rejections.entrySet().stream()
                .limit(REASONS_MOST)
                .map(each -> each.getKey().value() + ": " + each.getValue())
                .toList();
        return rejections.size() + " of " + (accepted + rejections.size()) + " cannot take it: "
                + String.join("; ", first);
    }

    SnapshotPart.Proposed save() {
        return new SnapshotPart.Proposed(
                id(), until, pending.stream().boxed().toList(), new TreeMap<>(rejections), accepted);
    }

    void load(SnapshotPart.Proposed saved, Revision proposed) {
        revision = proposed;
        until = saved.until();
        saved.pending().forEach(pending::set);
        rejections.putAll(saved.rejections());
        accepted = saved.accepted();
    }
}
