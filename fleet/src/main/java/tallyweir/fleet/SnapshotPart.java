package tallyweir.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import tallyweir.fleet.table.Change;

/**
 * A part of a snapshot of the {@link State}. The order in which they were saved is that in which they are loaded; each is
 * small, so that no more than one need be in memory.
 */
public sealed interface SnapshotPart {
    /** Entries in one part at the most. */
    int CHANGES_MOST = 1_000;

    /** What the whole fleet goes by, and its clock. */
    record Fleet(String fleet, FleetSettings settings, long now, long wall, long incarnations, long judgedAt)
            implements SnapshotPart {}

    /**
     * A revision.
     *
     * @param size entries of its table
     * @param changed entries that differ from the table of its base
     * @param records how many records of what operators asked for follow
     */
    record RevisionHeader(
            RevisionId id,
            RevisionId base,
            RevisionId of,
            Digest root,
            int size,
            int changed,
            boolean forced,
            long proposedWall,
            Revision.Fate fate,
            long since,
            long sinceWall,
            String reasons,
            int records)
            implements SnapshotPart {}

    /** Why records are kept beside those of revisions. */
    enum Group {
        /** Part of a batch that was turned down, to be tried by itself. */
        RETRY,
        /** Waits for the revision that is open. */
        WAITING,
        /** Was turned down after it had waited. */
        REFUSED
    }

    /**
     * What operators asked for beside the revisions.
     *
     * @param records how many records follow
     */
    record RecordGroup(Group group, int records) implements SnapshotPart {}

    /**
     * What an operator asked for, as part of the revision or the group before it.
     *
     * @param more how many parts with its changes follow
     */
    record Record(
            OperatorCommand command,
            ChangeRecord.Kind kind,
            String by,
            String why,
            boolean forced,
            long wall,
            ChangeRecord.Outcome outcome,
            RevisionId revision,
            Optional<Fault.KeyConflict> fault,
            int more)
            implements SnapshotPart {}

    /** Some of the entries that the record before changes. */
    record Changes(List<Change> changes) implements SnapshotPart {}

    /**
     * What live servers have said of the revision that is open.
     *
     * @param revision NONE where none is
     * @param pending places of those that are still to say
     */
    record Proposed(
            RevisionId revision, long until, List<Integer> pending, Map<ServerId, String> rejections, int accepted)
            implements SnapshotPart {}

    /** Something of what is lent of the caps. */
    record Lent(LendingPart part) implements SnapshotPart {}

    /**
     * A server.
     *
     * @param gone whether it has left its place
     */
    record Server(
            int place,
            ServerId server,
            String listen,
            Incarnation as,
            long life,
            ServerRecord.Status status,
            long number,
            long leaseUntil,
            long floorUntil,
            boolean silent,
            boolean marked,
            String cause,
            RevisionId acting,
            Digest inForce,
            boolean odd,
            long enteredAt,
            long wrongSince,
            int flaps,
            long steadySince,
            long mayReturn,
            long heardWall,
            long outWall,
            int folded,
            long foldedOutdated,
            List<RevisionTransition> transitions,
            Counts counts,
            boolean gone)
            implements SnapshotPart {}

    /** How a server's queries ended, before and since the revision in force. */
    record Counts(
            long ended,
            long bad,
            long since,
            long spanEnded,
            long spanBad,
            long beforeEnded,
            long beforeBad,
            long afterEnded,
            long afterBad,
            double usual,
            RevisionId inForce) {}
}
