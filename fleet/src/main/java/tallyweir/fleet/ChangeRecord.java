package tallyweir.fleet;

import java.util.List;
import java.util.Optional;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;

/** What an operator asked for once, and what has become of it. */
public final class ChangeRecord {
    /** What was asked for. */
    public enum Kind {
        /** A whole revision. */
        PUBLISH,
        /** An earlier revision again. */
        ROLLBACK,
        /** Some entries changed, whatever becomes of others. */
        ENTRIES
    }

    /** What has become of it. */
    public enum Outcome {
        /** Waits until the revision that is open has been decided. */
        WAITING,
        /** Is part of a revision, whose fate is its own. */
        TAKEN,
        /** Was turned down by itself; the fault says why. */
        REFUSED
    }

    private final OperatorCommand command;
    private final Kind kind;
    private final List<Change> changes;
    private final String by;
    private final String why;
    private final boolean forced;
    private final long wall;
    private Outcome outcome = Outcome.WAITING;
    private RevisionId revision = RevisionId.NONE;
    private Fault.KeyConflict fault;

    ChangeRecord(
            OperatorCommand command,
            Kind kind,
            List<Change> changes,
            String by,
            String why,
            boolean forced,
            long wall) {
        this.command = command;
        this.kind = kind;
        this.changes = List.copyOf(changes);
        this.by = by;
        this.why = why;
        this.forced = forced;
        this.wall = wall;
    }

    /** As it was when it was saved. */
    ChangeRecord(SnapshotPart.Record saved, List<Change> changes) {
        this(
                saved.command(),
                saved.kind(),
                saved.kind() == Kind.ENTRIES ? changes : List.of(),
                saved.by(),
                saved.why(),
                saved.forced(),
                saved.wall());
        outcome = saved.outcome();
        revision = saved.revision();
        fault = saved.fault().orElse(null);
    }

    /** @param more how many parts with its changes follow */
    SnapshotPart.Record save(int more) {
        return new SnapshotPart.Record(
                command, kind, by, why, forced, wall, outcome, revision, Optional.ofNullable(fault), more);
    }

    /** It is to be part of another revision than the last. */
    void waits() {
        outcome = Outcome.WAITING;
    }

    /** It is part of that revision now. */
    void taken(RevisionId into) {
        outcome = Outcome.TAKEN;
        revision = into;
    }

    /** It will not be part of any revision. */
    void refused(Fault.KeyConflict cause) {
        outcome = Outcome.REFUSED;
        fault = cause;
    }

    public OperatorCommand command() {
        return command;
    }

    public Kind kind() {
        return kind;
    }

    /** The entries that were named; none for a whole revision, whose changes are those of {@link Revision#changes()}. */
    public List<Change> changes() {
        return changes;
    }

    /** Whether it names the entry of a key. */
    boolean names(Key key) {
        return changes.stream().anyMatch(change -> change.key().equals(key));
    }

    public String by() {
        return by;
    }

    public String why() {
        return why;
    }

    /** Whether it comes into force without asking the servers. */
    public boolean forced() {
        return forced;
    }

    /** When it was asked for, ms since 1970. */
    public long wall() {
        return wall;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** The last revision that it was part of, NONE while there is none. */
    public RevisionId revision() {
        return revision;
    }

    /** Why it was turned down by itself. */
    public Optional<Fault.KeyConflict> fault() {
        return Optional.ofNullable(fault);
    }
}
