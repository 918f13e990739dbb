package tallyweir.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** Every revision there has been, each table once, and what live servers say of the one that is proposed. */
final class Revisions {
    private static final int REASONS_MOST = 8;

    private final TreeMap<RevisionId, Revision> all = new TreeMap<>();
    private final Map<Digest, Table> tables = new HashMap<>(); // of all that were not turned down, by root
    private final Map<OperatorCommand, ChangeRecord> commands = new HashMap<>();
    private RevisionId inForce = RevisionId.NONE;
    private RevisionId proposed = RevisionId.NONE;
    private long proposedUntil;
    private final TreeSet<ServerId> unasked = new TreeSet<>(); // live ones that have not said whether they can take it
    private final TreeMap<ServerId, String> cannot = new TreeMap<>();
    private int can;

    Revisions() {
        tables.put(Table.EMPTY.root(), Table.EMPTY);
    }

    Revision get(RevisionId id) {
        return all.get(id);
    }

    Collection<Revision> all() {
        return all.values();
    }

    /** The one that was in force before the one in force, null if there was none. */
    Revision before() {
        for (Revision r : all.descendingMap().values()) {
            if (r.fate == Revision.Fate.PAST) {
                return r;
            }
        }
        return null;
    }

    ChangeRecord by(OperatorCommand command) {
        return commands.get(command);
    }

    Revision last() {
        return all.isEmpty() ? null : all.lastEntry().getValue();
    }

    RevisionId inForce() {
        return inForce;
    }

    RevisionId proposed() {
        return proposed;
    }

    /** The number and the root of a revision, NONE for none. */
    RevisionRoot named(RevisionId id) {
        Revision revision = all.get(id);
        return revision == null ? RevisionRoot.NONE : revision.named();
    }

    long proposedUntil() {
        return proposedUntil;
    }

    /** What a revision says: nothing before there is any, null for one that was never there or was turned down. */
    Table table(RevisionId id) {
        if (id.equals(RevisionId.NONE)) {
            return Table.EMPTY;
        }
        Revision revision = all.get(id);
        return revision == null ? null : revision.table();
    }

    /** The table of that root, if any revision that may be needed has it. */
    Optional<Table> table(Digest root) {
        return Optional.ofNullable(tables.get(root));
    }

    Revision propose(
            RevisionId base,
            RevisionId of,
            Table table,
            List<ChangeRecord> records,
            boolean forced,
            long wall,
            long until,
            Collection<ServerId> ask) {
        Revision revision = new Revision(
                new RevisionId(all.isEmpty() ? 1 : all.lastKey().value() + 1),
                base,
                of,
                table.root(),
                table(base),
                table,
                records,
                forced,
                wall);
        add(revision);
        records.forEach(record -> record.taken(revision.id));
        proposed = revision.id;
        proposedUntil = until;
        unasked.clear();
        unasked.addAll(ask);
        cannot.clear();
        can = 0;
        return revision;
    }

    private void add(Revision revision) {
        all.put(revision.id, revision);
        revision.records().forEach(record -> commands.put(record.command(), record));
        if (revision.table() != null) {
            tables.putIfAbsent(revision.root, revision.table());
        }
    }

    /** A server has looked at the proposed one; why it cannot take it, empty if it can. */
    void checked(ServerId server, RevisionId which, String why) {
        if (which.equals(proposed) && unasked.remove(server)) {
            if (why.isEmpty()) {
                can++;
            } else {
                cannot.put(server, why);
            }
        }
    }

    /** One that is not live any more need not say. */
    void notLive(ServerId server) {
        unasked.remove(server);
    }

    boolean open() {
        return proposed.value() > 0;
    }

    boolean allSaid() {
        return unasked.isEmpty();
    }

    /** Those who are silent though live count as unable once its time is over. */
    void timeOver() {
        unasked.forEach(s -> cannot.put(s, "it did not say in time"));
        unasked.clear();
    }

    double cannotShare() {
        int said = can + cannot.size();
        return said == 0 ? 0 : cannot.size() / (double) said;
    }

    boolean forced() {
        return all.get(proposed).forced;
    }

    void comesIntoForce(long now, long wall) {
        if (inForce.value() > 0) {
            all.get(inForce).fate = Revision.Fate.PAST;
        }
        Revision r = all.get(proposed);
        r.fate = Revision.Fate.IN_FORCE;
        r.since = now;
        r.sinceWall = wall;
        inForce = proposed;
        proposed = RevisionId.NONE;
    }

    void turnDown() {
        Revision r = all.get(proposed);
        StringBuilder s = new StringBuilder();
        cannot.entrySet().stream()
                .limit(REASONS_MOST)
                .forEach(e -> s.append(s.length() == 0 ? "" : "; ")
                        .append(e.getKey().value())
                        .append(": ")
                        .append(e.getValue()));
        r.turnedDown(cannot.size() + " of " + (can + cannot.size()) + " cannot take it: " + s);
        proposed = RevisionId.NONE;
        if (all.values().stream().noneMatch(x -> x.table() != null && x.root.equals(r.root))
                && !r.root.equals(Table.EMPTY.root())) {
            tables.remove(r.root); // nobody can come back to it
        }
    }

    // ---- for snapshots

    void save(Consumer<SnapshotPart> to) {
        for (Revision revision : all.values()) {
            to.accept(new SnapshotPart.RevisionHeader(
                    revision.id,
                    revision.base,
                    revision.of,
                    revision.root,
                    revision.forced,
                    revision.proposedWall,
                    revision.fate,
                    revision.since,
                    revision.sinceWall,
                    revision.reasons));
            for (ChangeRecord record : revision.records()) {
                save(record, changesOf(record, revision), to);
            }
        }
        to.accept(new SnapshotPart.Proposal(proposed, proposedUntil, List.copyOf(unasked), new TreeMap<>(cannot), can));
    }

    /** A rollback's table is that of another revision, and one that was turned down has none. */
    private static List<Change> changesOf(ChangeRecord record, Revision revision) {
        if (record.kind() == ChangeRecord.Kind.PUBLISH && revision.table() != null) {
            return revision.changes();
        }
        return record.changes();
    }

    private static void save(ChangeRecord record, List<Change> changes, Consumer<SnapshotPart> to) {
        int parts = (changes.size() + SnapshotPart.CHANGES_MOST - 1) / SnapshotPart.CHANGES_MOST;
        to.accept(new SnapshotPart.Record(
                record.command(),
                record.kind(),
                record.by(),
                record.why(),
                record.forced(),
                record.wall(),
                record.outcome(),
                record.revision(),
                record.fault(),
                parts));
        for (int part = 0; part < parts; part++) {
            int from = part * SnapshotPart.CHANGES_MOST;
            int until = Math.min(changes.size(), from + SnapshotPart.CHANGES_MOST);
            to.accept(new SnapshotPart.Changes(List.copyOf(changes.subList(from, until))));
        }
    }

    /** Loads all parts up to the proposal. */
    void load(Iterator<SnapshotPart> from) {
        SnapshotPart part = from.next();
        while (part instanceof SnapshotPart.RevisionHeader header) {
            List<ChangeRecord> records = new ArrayList<>();
            List<Change> changes = new ArrayList<>();
            part = from.next();
            while (part instanceof SnapshotPart.Record record) {
                records.add(record(record, from, changes));
                part = from.next();
            }
            load(header, records, changes);
        }
        load((SnapshotPart.Proposal) part);
    }

    private static ChangeRecord record(SnapshotPart.Record saved, Iterator<SnapshotPart> from, List<Change> all) {
        List<Change> changes = new ArrayList<>();
        for (int more = saved.more(); more > 0; more--) {
            changes.addAll(((SnapshotPart.Changes) from.next()).changes());
        }
        all.addAll(changes);
        ChangeRecord record = new ChangeRecord(
                saved.command(),
                saved.kind(),
                saved.kind() == ChangeRecord.Kind.ENTRIES ? changes : List.of(),
                saved.by(),
                saved.why(),
                saved.forced(),
                saved.wall());
        record.restore(saved.outcome(), saved.revision(), saved.fault());
        return record;
    }

    private void load(SnapshotPart.RevisionHeader header, List<ChangeRecord> records, List<Change> changes) {
        Table base = table(header.base());
        Table table = header.fate() == Revision.Fate.TURNED_DOWN
                ? null
                : header.of().equals(RevisionId.NONE) ? base.apply(changes) : table(header.of());
        if (table != null && !table.root().equals(header.root())) {
            throw new FleetException(
                    new Fault.DigestMismatch(header.root().value(), table.root().value()));
        }
        Revision revision = new Revision(
                header.id(),
                header.base(),
                header.of(),
                header.root(),
                base,
                table,
                records,
                header.forced(),
                header.proposedWall());
        revision.fate = header.fate();
        revision.since = header.since();
        revision.sinceWall = header.sinceWall();
        revision.reasons = header.reasons();
        add(revision);
        if (header.fate() == Revision.Fate.IN_FORCE) {
            inForce = header.id();
        }
    }

    private void load(SnapshotPart.Proposal proposal) {
        proposed = proposal.revision();
        proposedUntil = proposal.until();
        unasked.addAll(proposal.asked());
        cannot.putAll(proposal.cannot());
        can = proposal.can();
    }
}
