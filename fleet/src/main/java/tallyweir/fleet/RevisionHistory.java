package tallyweir.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Table;

/** Every revision there has been, and which of them is in force. */
final class RevisionHistory {
    /** How many revisions are gone back through for who changed an entry last. */
    static final int BLAME_MOST = 500;

    private final TreeMap<RevisionId, Revision> all = new TreeMap<>();
    private final Map<Digest, Table> tables = new HashMap<>(); // of all that were not turned down, by root
    private final Map<OperatorCommand, ChangeRecord> commands = new HashMap<>();
    private Revision inForce;
    private Revision previous; // what was in force before
    private long firstSince = Long.MAX_VALUE; // when the first came into force

    RevisionHistory() {
        tables.put(Table.EMPTY.root(), Table.EMPTY);
    }

    // ---- what there is

    Collection<Revision> all() {
        return all.values();
    }

    /** A revision, null for one that was never there. */
    Revision get(RevisionId id) {
        return all.get(id);
    }

    /** What is in force, null before there is any. */
    Revision inForce() {
        return inForce;
    }

    /** What was in force before what is, null if there was none. */
    Revision previous() {
        return previous;
    }

    RevisionId inForceId() {
        return inForce == null ? RevisionId.NONE : inForce.id;
    }

    RevisionRoot inForceNamed() {
        return inForce == null ? RevisionRoot.NONE : inForce.named();
    }

    Table inForceTable() {
        return inForce == null ? Table.EMPTY : inForce.table();
    }

    /** When what is in force came into force, Long.MIN_VALUE where nothing has. */
    long inForceSince() {
        return inForce == null ? Long.MIN_VALUE : inForce.since;
    }

    /** What a revision says: the empty table for NONE, null for one that was never there or was turned down. */
    Table table(RevisionId id) {
        if (id.equals(RevisionId.NONE)) {
            return Table.EMPTY;
        }
        Revision revision = all.get(id);
        return revision == null ? null : revision.table();
    }

    /** The table of that root, if any revision that was not turned down has it. */
    Optional<Table> table(Digest root) {
        return Optional.ofNullable(tables.get(root));
    }

    /** Whether a revision is or was in force; NONE was. */
    boolean wasInForce(RevisionId id) {
        Revision revision = all.get(id);
        return revision == null
                ? id.equals(RevisionId.NONE)
                : revision.fate == Revision.Fate.IN_FORCE || revision.fate == Revision.Fate.PAST;
    }

    /** When another came into force in its place, Long.MAX_VALUE if none has or it never was in force. */
    long supersededAt(RevisionId id) {
        if (id.equals(RevisionId.NONE)) {
            return firstSince;
        }
        Revision revision = all.get(id);
        return revision == null ? Long.MAX_VALUE : revision.supersededAt;
    }

    /** What an operator asked for by that command, if it is remembered. */
    Optional<ChangeRecord> record(OperatorCommand command) {
        return Optional.ofNullable(commands.get(command));
    }

    /** Who changed the entry of a key last, if that is not too long ago. */
    Optional<ChangeRecord> lastChange(Key key) {
        Revision revision = inForce;
        for (int looked = 0; revision != null && looked < BLAME_MOST; looked++) {
            if (revision.changes(key)) {
                return Optional.of(revision.recordOf(key));
            }
            revision = all.get(revision.base);
        }
        return Optional.empty();
    }

    // ---- what changes

    /** A new revision with the next number, proposed. */
    Revision add(Revision base, RevisionId of, Table table, List<ChangeRecord> records, boolean forced, long wall) {
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
                wall);
        records.forEach(record -> record.taken(id));
        put(revision);
        return revision;
    }

    /** Remembers a command that is not part of a revision. */
    void remember(ChangeRecord record) {
        commands.put(record.command(), record);
    }

    /** Forgets a command that was part of no revision. */
    void forget(ChangeRecord record) {
        commands.remove(record.command());
    }

    private void put(Revision revision) {
        all.put(revision.id, revision);
        revision.records().forEach(this::remember);
        if (revision.table() != null) {
            revision.firstOfRoot = tables.putIfAbsent(revision.root, revision.table()) == null;
        }
    }

    /** A revision comes into force in the place of the one that was. */
    void bringIntoForce(Revision revision, long now, long wall) {
        revision.fate = Revision.Fate.IN_FORCE;
        revision.since = now;
        revision.sinceWall = wall;
        supersede(revision);
    }

    private void supersede(Revision by) {
        if (inForce == null) {
            firstSince = by.since;
        } else {
            inForce.fate = Revision.Fate.PAST;
            inForce.supersededAt = by.since;
        }
        previous = inForce;
        inForce = by;
    }

    /** A proposed revision is turned down: nobody can come back to it. */
    void turnDown(Revision revision, String reasons) {
        revision.turnedDown(reasons);
        if (revision.firstOfRoot) {
            tables.remove(revision.root);
        }
    }

    /** Puts back a revision that was saved; they come in the order of their numbers. */
    void restore(Revision revision) {
        put(revision);
        if (revision.fate == Revision.Fate.IN_FORCE || revision.fate == Revision.Fate.PAST) {
            Revision.Fate fate = revision.fate;
            supersede(revision);
            revision.fate = fate;
        }
    }
}
