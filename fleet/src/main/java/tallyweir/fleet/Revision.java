package tallyweir.fleet;

import java.util.List;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Table;

/** One revision of what the fleet routes by: the table that it makes of the one that it was proposed on. */
public final class Revision {
    /** What has become of it. */
    public enum Fate {
        PROPOSED,
        IN_FORCE,
        PAST,
        TURNED_DOWN
    }

    final RevisionId id;
    final RevisionId base; // whose table it changes
    final RevisionId of; // whose table it takes up again, NONE for one of its own
    final Digest root;
    final boolean forced;
    final long proposedWall;
    private final List<ChangeRecord> records;
    private final Table baseTable;
    private Table table; // null once it was turned down: nobody can come back to it
    private final int size;
    private final int changed;
    boolean firstOfRoot; // no revision before it has the same table
    Fate fate = Fate.PROPOSED;
    long since; // in force, by the fleet's clock
    long sinceWall;
    long supersededAt = Long.MAX_VALUE; // by the fleet's clock
    String reasons = ""; // why it was turned down

    Revision(
            RevisionId id,
            RevisionId base,
            RevisionId of,
            Digest root,
            Table baseTable,
            Table table,
            List<ChangeRecord> records,
            boolean forced,
            long proposedWall) {
        this.id = id;
        this.base = base;
        this.of = of;
        this.root = root;
        this.baseTable = baseTable;
        this.table = table;
        this.size = table.size();
        this.changed = baseTable.differenceTo(table).size();
        this.records = List.copyOf(records);
        this.forced = forced;
        this.proposedWall = proposedWall;
    }

    /** One that was saved; without a table if it was turned down. */
    Revision(SnapshotPart.RevisionHeader saved, Table baseTable, Table table, List<ChangeRecord> records) {
        id = saved.id();
        base = saved.base();
        of = saved.of();
        root = saved.root();
        this.baseTable = baseTable;
        this.table = table;
        size = saved.size();
        changed = saved.changed();
        this.records = List.copyOf(records);
        forced = saved.forced();
        proposedWall = saved.proposedWall();
        fate = saved.fate();
        since = saved.since();
        sinceWall = saved.sinceWall();
        reasons = saved.reasons();
    }

    SnapshotPart.RevisionHeader save() {
        return new SnapshotPart.RevisionHeader(
                id,
                base,
                of,
                root,
                size,
                changed,
                forced,
                proposedWall,
                fate,
                since,
                sinceWall,
                reasons,
                records.size());
    }

    public RevisionId id() {
        return id;
    }

    /** The one whose table it changes, NONE for the empty table. */
    public RevisionId base() {
        return base;
    }

    /** The one whose table it takes up again, NONE for one of its own. */
    public RevisionId of() {
        return of;
    }

    /** Names its table. */
    public Digest root() {
        return root;
    }

    /** Its number and what names its table. */
    public RevisionRoot named() {
        return new RevisionRoot(id, root);
    }

    /** How many entries its table has. */
    public int size() {
        return size;
    }

    /** How many entries it changes in the table of its base. */
    public int changed() {
        return changed;
    }

    /** What operators asked for, in the order in which it came. */
    public List<ChangeRecord> records() {
        return records;
    }

    /** What it says, null once it was turned down. */
    Table table() {
        return table;
    }

    /** Nobody can come back to it. */
    void turnedDown(String reasons) {
        fate = Fate.TURNED_DOWN;
        this.reasons = reasons;
        table = null;
    }

    /** All entries that it changes in the table of its base; of a whole one that was turned down none are kept. */
    public List<Change> changes() {
        if (table != null) {
            return baseTable.differenceTo(table);
        }
        return records.stream().flatMap(record -> record.changes().stream()).toList();
    }

    /** Whether the entry of a key is another than in the table of its base. */
    boolean changes(Key key) {
        return table != null && !baseTable.get(key).equals(table.get(key));
    }

    /** Whether somebody asked for a change of that entry in it, though it be to what it is. */
    boolean touches(Key key) {
        return records.stream().anyMatch(record -> record.names(key)) || changes(key);
    }

    /** What an operator asked for by which the entry of a key changed. */
    ChangeRecord recordOf(Key key) {
        return records.stream().filter(record -> record.names(key)).findFirst().orElse(records.get(0));
    }

    /** Who asked for it; of several the first, and how many more there are. */
    public String by() {
        return andMore(records.get(0).by());
    }

    /** Why; of several changes that of the first. */
    public String why() {
        return andMore(records.get(0).why());
    }

    private String andMore(String first) {
        return records.size() == 1 ? first : first + " and " + (records.size() - 1) + " more";
    }

    public Fate fate() {
        return fate;
    }

    public long proposedWall() {
        return proposedWall;
    }

    public long sinceWall() {
        return sinceWall;
    }

    public String reasons() {
        return reasons;
    }
}
