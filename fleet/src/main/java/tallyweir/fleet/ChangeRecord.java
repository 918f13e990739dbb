package tallyweir.fleet;

import java.util.List;
import java.util.Optional;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;

/** A request of an operator and its outcome. */
public final class ChangeRecord {
    /** The kind of request. Written out by name. */
    public enum Kind {
        /** Publish a whole revision. */
        PUBLISH,
        /** Publish an earlier revision again. */
        ROLLBACK,
        /** Change some entries, independently of changes to others. */
        ENTRIES
    }

    /** What has become of the request. Written out by name. */
    public enum Outcome {
        /** It waits until the proposed revision has been decided. */
        WAITING,
        /** It is part of a revision and shares that revision's fate. */
        TAKEN,
        /** It was rejected on its own account; {@link #fault()} has the reason. */
        REFUSED
    }

    private final OperatorCommandId command;
    private final Kind kind;
    private final List<Change> changes;
    private final String author;
    private final String reason;
    private final boolean forced;
    private final long requestedAtMs;
    private Outcome outcome = Outcome.WAITING;
    private RevisionId revision = RevisionId.NONE;
    private Fault.KeyConflict fault;

    ChangeRecord(
            OperatorCommandId command,
            Kind kind,
            List<Change> changes,
            String author,
            String reason,
            boolean forced,
            long requestedAtMs) {
        this.command = command;
        this.kind = kind;
        this.changes = List.copyOf(changes);
        this.author = author;
        this.reason = reason;
        this.forced = forced;
        this.requestedAtMs = requestedAtMs;
    }

    /** Restores a record from a snapshot. */
    ChangeRecord(SnapshotPart.Record saved, List<Change> changes) {
        this(
                saved.command(),
                saved.kind(),
                saved.kind() == Kind.ENTRIES ? changes : List.of(),
                saved.author(),
                saved.reason(),
                saved.forced(),
                saved.recordedAtMs());
        outcome = saved.outcome();
        revision = saved.revision();
        fault = saved.fault().orElse(null);
    }

    /** @param changeParts number of snapshot parts with its changes that follow */
    SnapshotPart.Record save(int changeParts) {
        return new SnapshotPart.Record(
                command,
                kind,
                author,
                reason,
                forced,
                requestedAtMs,
                outcome,
                revision,
                Optional.ofNullable(fault),
                changeParts);
    }

    /** Its revision was rejected as a whole: it waits to become part of another. */
    void markWaiting() {
        outcome = Outcome.WAITING;
    }

    /** It has become part of a revision. */
    void markTaken(RevisionId into) {
        outcome = Outcome.TAKEN;
        revision = into;
    }

    /** It was rejected and will not be part of any revision. */
    void markRefused(Fault.KeyConflict cause) {
        outcome = Outcome.REFUSED;
        fault = cause;
    }

    public OperatorCommandId command() {
        return command;
    }

    public Kind kind() {
        return kind;
    }

    /**
     * The changes of {@link Kind#ENTRIES}; empty for a whole revision, whose changes are those of {@link
     * Revision#changes()}.
     */
    public List<Change> changes() {
        return changes;
    }

    /** Whether it changes the entry with this key. */
    boolean changesKey(Key key) {
        return changes.stream().anyMatch(change -> change.key().equals(key));
    }

    public String author() {
        return author;
    }

    public String reason() {
        return reason;
    }

    /** Whether it comes into force even if servers cannot take it, without asking them. */
    public boolean forced() {
        return forced;
    }

    /** When it was requested, in ms since 1970 by the leader's wall clock. */
    public long requestedAtMs() {
        return requestedAtMs;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** The latest revision that it was part of, NONE if there was none. */
    public RevisionId revision() {
        return revision;
    }

    /** Why it was rejected on its own account; empty unless it was. */
    public Optional<Fault.KeyConflict> fault() {
        return Optional.ofNullable(fault);
    }
}
