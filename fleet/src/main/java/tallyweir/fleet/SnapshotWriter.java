package tallyweir.fleet;

import java.util.List;
import java.util.function.Consumer;
import tallyweir.fleet.table.Change;

/** Saves operators' commands and revisions in parts. */
final class SnapshotWriter {
    private final Consumer<SnapshotPart> sink;

    SnapshotWriter(Consumer<SnapshotPart> sink) {
        this.sink = sink;
    }

    /** Writes a revision with its records. Its table is derived from that of its base, or is that of another revision. */
    void write(Revision revision) {
        sink.accept(revision.save());
        for (ChangeRecord record : revision.records()) {
            boolean isWhole = record.kind() == ChangeRecord.Kind.PUBLISH && revision.table() != null;
            write(record, isWhole ? revision.changes() : record.changes());
        }
    }

    /** Writes records that belong to no revision. */
    void write(SnapshotPart.Group group, List<ChangeRecord> records) {
        sink.accept(new SnapshotPart.RecordGroup(group, records.size()));
        records.forEach(record -> write(record, record.changes()));
    }

    private void write(ChangeRecord record, List<Change> changes) {
        int parts = (changes.size() + SnapshotPart.MAX_CHANGES - 1) / SnapshotPart.MAX_CHANGES;
        sink.accept(record.save(parts));
        for (int part = 0; part < parts; part++) {
            int from = part * SnapshotPart.MAX_CHANGES;
            int until = Math.min(changes.size(), from + SnapshotPart.MAX_CHANGES);
            sink.accept(new SnapshotPart.Changes(List.copyOf(changes.subList(from, until))));
        }
    }
}
