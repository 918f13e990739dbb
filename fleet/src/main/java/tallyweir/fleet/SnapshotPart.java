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
    int MAX_CHANGES = 1_000;

    /** The fleet's settings and clock. */
    record Fleet(String fleet, FleetSettings settings, long now, long wallMs, long lastIncarnation, long judgedAt)
            implements SnapshotPart {}

    /**
     * A revision.
     *
     * @param entryCount number of entries in its table
     * @param changedEntryCount number of entries that differ from the table of its base
     * @param recordCount how many {@link Record}s follow
     */
    record RevisionHeader(
            RevisionId id,
            RevisionId base,
            RevisionId restoredFrom,
            Digest root,
            int entryCount,
            int changedEntryCount,
            boolean forced,
            long proposedAtMs,
            Revision.Fate fate,
            long inForceAt,
            long inForceAtMs,
            String rejectionReasons,
            int recordCount)
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
     * @param recordCount how many {@link Record}s follow
     */
    record RecordGroup(Group group, int recordCount) implements SnapshotPart {}

    /**
     * An operator's command, part of the preceding revision or group.
     *
     * @param changesParts how many {@link Changes} parts follow
     */
    record Record(
            OperatorCommandId command,
            ChangeRecord.Kind kind,
            String author,
            String reason,
            boolean forced,
            long recordedAtMs,
            ChangeRecord.Outcome outcome,
            RevisionId revision,
            Optional<Fault.KeyConflict> fault,
            int changesParts)
            implements SnapshotPart {}

    /** Some of the entries that the preceding record changes. */
    record Changes(List<Change> changes) implements SnapshotPart {}

    /**
     * The open proposal and the servers' answers to it.
     *
     * @param revision NONE if no proposal is open
     * @param pendingSlots slots of the servers that have not answered
     * @param accepted how many servers can apply it
     */
    record Proposed(
            RevisionId revision,
            long checkDeadline,
            List<Integer> pendingSlots,
            Map<ServerId, String> rejections,
            int accepted)
            implements SnapshotPart {}

    /** A part of the state of {@link Lending}. */
    record Lent(LendingPart part) implements SnapshotPart {}

    /**
     * A server, with the fields of {@link ServerRecord}.
     *
     * @param gone whether it has left its slot
     */
    record Server(
            int slot,
            ServerId server,
            String listen,
            Incarnation incarnation,
            long processGeneration,
            ServerRecord.Status status,
            long reportNumber,
            long leaseDeadline,
            long floorDeadline,
            boolean silent,
            boolean marked,
            String cause,
            RevisionId appliedRevision,
            Digest appliedRoot,
            boolean digestMismatch,
            long enteredAt,
            long deviatingSince,
            int flapCount,
            long liveSince,
            long mayReturnAt,
            long heardAtMs,
            long outAtMs,
            int foldedTransitions,
            long foldedOutdatedQueries,
            List<RevisionTransition> transitions,
            Counts counts,
            boolean gone)
            implements SnapshotPart {}

    /** Counts of a server's ended queries before and since the revision in force; see {@link Health}. */
    record Counts(
            long ended,
            long bad,
            long windowStartedAt,
            long windowEnded,
            long windowBad,
            long beforeEnded,
            long beforeBad,
            long afterEnded,
            long afterBad,
            double baselineBadShare,
            RevisionId inForce) {}
}
