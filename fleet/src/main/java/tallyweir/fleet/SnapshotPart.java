package tallyweir.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import tallyweir.fleet.table.Change;

/**
 * A part of a snapshot of the {@link State}. Parts are loaded in the order in which they were saved; each is small, so that
 * no more than one need be in memory. The simple names of the records and the order of their components are the stored
 * format. Times are tenths of a millisecond by the fleet's clock, or ms since 1970 by the leader's wall clock where named
 * so.
 */
public sealed interface SnapshotPart {
    /** Maximum number of changed entries in one part. */
    int CHANGES_MOST = 1_000;

    /** The fleet's settings and clock. */
    record Fleet(String fleet, FleetSettings settings, long now, long wall, long incarnations, long judgedAt)
            implements SnapshotPart {}

    /**
     * A revision.
     *
     * @param size number of entries in its table
     * @param changed number of entries that differ from the table of its base
     * @param records how many {@link Record}s follow
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

    /** Why records are kept that belong to no revision. The names are the stored format. */
    enum Group {
        /** Part of a batch that was turned down, to be tried on its own. */
        RETRY,
        /** Waits until the open proposal is decided. */
        WAITING,
        /** Was refused after it had waited. */
        REFUSED
    }

    /**
     * A group of operators' commands that belong to no revision.
     *
     * @param records how many {@link Record}s follow
     */
    record RecordGroup(Group group, int records) implements SnapshotPart {}

    /**
     * An operator's command, part of the preceding revision or group.
     *
     * @param more how many {@link Changes} parts follow
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

    /** Some of the entries that the preceding record changes. */
    record Changes(List<Change> changes) implements SnapshotPart {}

    /**
     * The open proposal and the servers' answers to it.
     *
     * @param revision NONE if no proposal is open
     * @param pending slots of the servers that have not answered
     * @param accepted how many servers can apply it
     */
    record Proposed(
            RevisionId revision, long until, List<Integer> pending, Map<ServerId, String> rejections, int accepted)
            implements SnapshotPart {}

    /** A part of the state of {@link Lending}. */
    record Lent(LendingPart part) implements SnapshotPart {}

    /**
     * A server, with the fields of {@link ServerRecord}.
     *
     * @param gone whether it has left its slot
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

    /** Counts of a server's ended queries before and since the revision in force; see {@link Health}. */
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
