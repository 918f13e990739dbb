package tallyweir.fleet;

import java.util.List;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Table;

/** One revision of the fleet's routing table: a change to the table of the revision that it was proposed on. */
public final class Revision {
    /** The state of a revision. The names are written into snapshots and audits. */
    public enum Fate {
        /** Live servers are checking whether they can apply it. */
        PROPOSED,
        /** The one that servers are to apply. */
        IN_FORCE,
        /** Was in force and has been superseded. */
        PAST,
        /** Never came into force; it cannot be rolled back to. */
        TURNED_DOWN
    }

    final RevisionId id;
    final RevisionId base; // the revision whose table it changes
    final RevisionId restoredFrom; // the revision whose table it restores, NONE if it has one of its own
    final Digest root;
    final boolean forced;
    final long proposedAtMs;
    private final List<ChangeRecord> records;
    private final Table baseTable;
    private Table table; // null once turned down: nobody can roll back to it
    private final int entryCount;
    private final int changedEntryCount;
    boolean firstOfRoot; // no earlier revision has the same table
    Fate fate = Fate.PROPOSED;
    long inForceAt; // when it came into force, by the fleet's clock
    long inForceAtMs; // the same by the leader's wall clock
    long supersededAt = Long.MAX_VALUE; // by the fleet's clock
    String rejectionReasons = ""; // why it was turned down

    Revision(
            RevisionId id,
            RevisionId base,
            RevisionId restoredFrom,
            Digest root,
            Table baseTable,
            Table table,
            List<ChangeRecord> records,
            boolean forced,
            long proposedAtMs) {
        this.id = id;
        this.base = base;
        this.restoredFrom = restoredFrom;
        this.root = root;
        this.baseTable = baseTable;
        this.table = table;
        this.entryCount = table.size();
        this.changedEntryCount = baseTable.differenceTo(table).size();
        this.records = List.copyOf(records);
        this.forced = forced;
        this.proposedAtMs = proposedAtMs;
    }

    /** Restores a saved revision; {@code table} is null if it was turned down. */
    Revision(SnapshotPart.RevisionHeader saved, Table baseTable, Table table, List<ChangeRecord> records) {
        id = saved.id();
        base = saved.base();
        restoredFrom = saved.restoredFrom();
        root = saved.root();
        this.baseTable = baseTable;
        this.table = table;
        entryCount = saved.entryCount();
        changedEntryCount = saved.changedEntryCount();
        this.records = List.copyOf(records);
        forced = saved.forced();
        proposedAtMs = saved.proposedAtMs();
        fate = saved.fate();
        inForceAt = saved.inForceAt();
        inForceAtMs = saved.inForceAtMs();
        rejectionReasons = saved.rejectionReasons();
    }

    SnapshotPart.RevisionHeader save() {
        return new SnapshotPart.RevisionHeader(
                id,
                base,
                restoredFrom,
                root,
                entryCount,
                changedEntryCount,
                forced,
                proposedAtMs,
                fate,
                inForceAt,
                inForceAtMs,
                rejectionReasons,
                records.size());
    }

    public RevisionId id() {
        return id;
    }

    /** The revision whose table it changes, NONE for the empty table. */
    public RevisionId base() {
        return base;
    }

    /** The revision whose table it restores, NONE if it has a table of its own. */
    public RevisionId restoredFrom() {
        return restoredFrom;
    }

    /** The digest of its table. */
    public Digest root() {
        return root;
    }

    /** Its id together with the digest of its table. */
    public RevisionRoot revisionRoot() {
        return new RevisionRoot(id, root);
    }

    /** The number of entries in its table. */
    public int entryCount() {
        return entryCount;
    }

    /** The number of entries that differ from the table of its base. */
    public int changedEntryCount() {
        return changedEntryCount;
    }

    /** The operators' commands that it consists of, in the order of their arrival. */
    public List<ChangeRecord> records() {
        return records;
    }

    /** Its table, null once it was turned down. */
    Table table() {
        return table;
    }

    /** Marks it as turned down and drops its table: nobody can roll back to it. */
    void turnDown(String reasons) {
        fate = Fate.TURNED_DOWN;
        this.rejectionReasons = reasons;
        table = null;
    }

    /**
     * All entries that differ from the table of its base. For a revision that was turned down, only the changes of records
     * that name their entries are still known.
     */
    public List<Change> changes() {
        if (table != null) {
            return baseTable.differenceTo(table);
        }
        return records.stream().flatMap(record -> record.changes().stream()).toList();
    }

    /** Whether the entry of a key differs from that in the table of its base. */
    boolean changes(Key key) {
        return table != null && !baseTable.get(key).equals(table.get(key));
    }

    /** Whether a command in it names the entry of a key, even if it does not alter it, or the entry differs. */
    boolean mentions(Key key) {
        return records.stream().anyMatch(record -> record.changesKey(key)) || changes(key);
    }

    /** The record of the command that changed the entry of a key; the first record if none names it. */
    ChangeRecord recordOf(Key key) {
        return records.stream()
                .filter(record -> record.changesKey(key))
                .findFirst()
                .orElse(records.get(0));
    }

    /** The author; of several commands that of the first, and how many more there are. */
    public String author() {
        return andMore(records.get(0).author());
    }

    /** The reason given; of several commands that of the first, and how many more there are. */
    public String reason() {
        return andMore(records.get(0).reason());
    }

    private String andMore(String first) {
        return records.size() == 1 ? first : first + " and " + (records.size() - 1) + " more";
    }

    public Fate fate() {
        return fate;
    }

    /** When it was proposed, ms since 1970 by the leader's wall clock. */
    public long proposedAtMs() {
        return proposedAtMs;
    }

    /** When it came into force, ms since 1970 by the leader's wall clock, 0 if it has not. */
    public long inForceAtMs() {
        return inForceAtMs;
    }

    /** Why it was turned down, empty if it was not. */
    public String rejectionReasons() {
        return rejectionReasons;
    }
}
