package tallyweir.fleet;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** Restores operators' commands and revisions. Tables share their equal parts, as they did before. */
final class SnapshotReader {
    private final Iterator<SnapshotPart> parts;
    private final RevisionHistory history;

    SnapshotReader(Iterator<SnapshotPart> parts, RevisionHistory history) {
        this.parts = parts;
        this.history = history;
    }

    /**
     * Reads a revision; takes its records from the parts that follow.
     *
     * @throws FleetException if its table is not the one that was saved
     */
    Revision read(SnapshotPart.RevisionHeader header) {
        List<ChangeRecord> records = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        for (int remaining = header.recordCount(); remaining > 0; remaining--) {
            records.add(readRecord(changes));
        }
        Table base = history.table(header.base());
        Table table = table(header, base, changes);
        if (table != null && !table.root().equals(header.root())) {
            throw new FleetException(
                    new Fault.DigestMismatch(header.root().value(), table.root().value()));
        }
        return new Revision(header, base, table, records);
    }

    private Table table(SnapshotPart.RevisionHeader header, Table base, List<Change> changes) {
        if (header.fate() == Revision.Fate.TURNED_DOWN) {
            return null;
        }
        return header.restoredFrom().equals(RevisionId.NONE)
                ? base.apply(changes)
                : history.table(header.restoredFrom());
    }

    /** Reads the records of a group from the parts that follow. */
    List<ChangeRecord> read(SnapshotPart.RecordGroup group) {
        List<ChangeRecord> records = new ArrayList<>();
        for (int remaining = group.recordCount(); remaining > 0; remaining--) {
            records.add(readRecord(new ArrayList<>()));
        }
        return records;
    }

    /** Reads a record. One that is part of several revisions, all but the last turned down, is the same object in each. */
    private ChangeRecord readRecord(List<Change> allChanges) {
        SnapshotPart.Record saved = (SnapshotPart.Record) parts.next();
        List<Change> changes = new ArrayList<>();
        for (int remaining = saved.changesParts(); remaining > 0; remaining--) {
            changes.addAll(((SnapshotPart.Changes) parts.next()).changes());
        }
        allChanges.addAll(changes);
        return history.record(saved.command()).orElseGet(() -> new ChangeRecord(saved, changes));
    }
}
