package tallyweir.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Table;

/** All revisions there have been, and which of them is in force. Times are tenths of a millisecond by the fleet's clock. */
final class RevisionHistory {
    /** How many revisions are searched for the last change of an entry. */
    static final int MAX_BLAME_DEPTH = 500;

    private static final Digest EMPTY_ROOT = Table.EMPTY.root();

    private final TreeMap<RevisionId, Revision> all = new TreeMap<>();
    private final Map<Digest, Table> tables = new HashMap<>(); // by root, of all revisions that were not turned down
    private final Map<OperatorCommandId, ChangeRecord> commands = new HashMap<>();
    private Revision inForce;
    private Revision previous; // was in force before that
    private long firstInForceAt = Long.MAX_VALUE; // when the first revision came into force

    RevisionHistory() {
        tables.put(EMPTY_ROOT, Table.EMPTY);
    }

    // ---- queries

    Collection<Revision> all() {
        return all.values();
    }

    /** A revision, null if it never existed. */
    Revision get(RevisionId id) {
        return all.get(id);
    }

    /** The revision in force, null before the first. */
    Revision inForce() {
        return inForce;
    }

    /** The revision that was in force before the one that is, null if there was none. */
    Revision previous() {
        return previous;
    }

    RevisionId inForceId() {
        return inForce == null ? RevisionId.NONE : inForce.id;
    }

    RevisionRoot inForceRoot() {
        return inForce == null ? RevisionRoot.NONE : inForce.revisionRoot();
    }

    Table inForceTable() {
        return inForce == null ? Table.EMPTY : inForce.table();
    }

    /** When the revision in force came into force, Long.MIN_VALUE if there is none. */
    long inForceAt() {
        return inForce == null ? Long.MIN_VALUE : inForce.inForceAt;
    }

    /** The table of a revision: the empty table for NONE, null if it never existed or was turned down. */
    Table table(RevisionId id) {
        if (id.equals(RevisionId.NONE)) {
            return Table.EMPTY;
        }
        Revision revision = all.get(id);
        return revision == null ? null : revision.table();
    }

    /** The table with a root, if a revision that was not turned down has it. */
    Optional<Table> table(Digest root) {
        return Optional.ofNullable(tables.get(root));
    }

    /** Whether a revision is or was in force; NONE counts as such. */
    boolean wasInForce(RevisionId id) {
        Revision revision = all.get(id);
        return revision == null
                ? id.equals(RevisionId.NONE)
                : revision.fate == Revision.Fate.IN_FORCE || revision.fate == Revision.Fate.PAST;
    }

    /** When a revision was superseded by another, Long.MAX_VALUE if it was not, or never was in force. */
    long supersededAt(RevisionId id) {
        if (id.equals(RevisionId.NONE)) {
            return firstInForceAt;
        }
        Revision revision = all.get(id);
        return revision == null ? Long.MAX_VALUE : revision.supersededAt;
    }

    /** The record of an operator's command, if it is remembered. */
    Optional<ChangeRecord> record(OperatorCommandId command) {
        return Optional.ofNullable(commands.get(command));
    }

    /** The last change of the entry of a key, if it is among the last {@link #MAX_BLAME_DEPTH} revisions. */
    Optional<ChangeRecord> lastChange(Key key) {
        Revision revision = inForce;
        for (int depth = 0; revision != null && depth < MAX_BLAME_DEPTH; depth++) {
            if (revision.changes(key)) {
                return Optional.of(revision.recordOf(key));
            }
            revision = all.get(revision.base);
        }
        return Optional.empty();
    }

    // ---- changes

    /** Adds a proposed revision with the next number. */
    Revision add(Revision base, RevisionId of, Table table, List<ChangeRecord> records, boolean forced, long wallMs) {
        RevisionId id = new RevisionId(all.isEmpty() ? 1 : all.lastKey().value() + 1);
        Revision revision = new Revision(
                id,
                base == null ? RevisionId.NONE : base.id,
                of,
                table.root(),
                base == null ? Table.EMPTY : base.table(),
                table,
                records,
                forced,
                wallMs);
        records.forEach(record -> record.markTaken(id));
        put(revision);
        return revision;
    }

    /** Remembers a command that is not part of a revision. */
    void remember(ChangeRecord record) {
        commands.put(record.command(), record);
    }

    /** Forgets a command, unless it was part of a revision. */
    void forget(ChangeRecord record) {
        if (record.revision().equals(RevisionId.NONE)) {
            commands.remove(record.command());
        }
    }

    private void put(Revision revision) {
        all.put(revision.id, revision);
        revision.records().forEach(this::remember);
        if (revision.table() != null) {
            revision.firstOfRoot = tables.putIfAbsent(revision.root, revision.table()) == null;
        }
    }

    /** Brings a revision into force; it supersedes the one that was. */
    void bringIntoForce(Revision revision, long now, long wallMs) {
        revision.fate = Revision.Fate.IN_FORCE;
        revision.inForceAt = now;
        revision.inForceAtMs = wallMs;
        supersede(revision);
    }

    private void supersede(Revision successor) {
        if (inForce == null) {
            firstInForceAt = successor.inForceAt;
        } else {
            inForce.fate = Revision.Fate.PAST;
            inForce.supersededAt = successor.inForceAt;
        }
        previous = inForce;
        inForce = successor;
    }

    /** Turns down a proposed revision: nobody can roll back to it. */
    void turnDown(Revision revision, String reasons) {
        revision.turnDown(reasons);
        if (revision.firstOfRoot) {
            tables.remove(revision.root);
        }
    }

    /** Restores a saved revision; to be called in the order of their numbers. */
    void restore(Revision revision) {
        put(revision);
        if (revision.fate == Revision.Fate.IN_FORCE || revision.fate == Revision.Fate.PAST) {
            Revision.Fate fate = revision.fate;
            supersede(revision);
            revision.fate = fate;
        }
    }
}
