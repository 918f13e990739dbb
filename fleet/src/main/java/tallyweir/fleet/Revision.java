package tallyweir.fleet;

import java.util.List;
import tallyweir.fleet.table.Change;
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
    final List<ChangeRecord> records; // what operators asked for
    final boolean forced;
    final long proposedWall;
    private final Table baseTable;
    private Table table; // null once it was turned down: nobody can come back to it
    Fate fate = Fate.PROPOSED;
    long since; // in force, by the fleet's clock
    long sinceWall;
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
        this.records = List.copyOf(records);
        this.forced = forced;
        this.proposedWall = proposedWall;
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
