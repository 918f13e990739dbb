package tallyweir.fleet;

import java.util.List;
import java.util.Optional;
import tallyweir.fleet.table.Change;

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

    /** As it was when it was saved. */
    void restore(Outcome outcome, RevisionId revision, Optional<Fault.KeyConflict> fault) {
        this.outcome = outcome;
        this.revision = revision;
        this.fault = fault.orElse(null);
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
