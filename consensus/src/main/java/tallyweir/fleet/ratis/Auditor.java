package tallyweir.fleet.ratis;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import tallyweir.fleet.ChangeRecord;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Revision;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionTransition;
import tallyweir.fleet.ServerRecord;
import tallyweir.fleet.State;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Entry;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;

/**
 * Makes audits of the state. What costs as much as a table is worked out without the lock that guards the state, from tables, which
 * do not change; how a revision differs from the one before it is worked out once.
 */
final class Auditor {
    private static final double TICKS_IN_MS = 10.0;

    private final Object lock;
    private final Map<RevisionId, Difference> differences = new ConcurrentHashMap<>();

    /** @param lock that guards the state */
    Auditor(Object lock) {
        this.lock = lock;
    }

    /** How a revision differs from the one that it was proposed on. */
    private record Difference(int entries, List<FleetAudit.KeyAudit> keys) {
        private static Difference of(List<Change> changes) {
            return new Difference(
                    changes.size(),
                    changes.stream()
                            .limit(FleetAudit.KEYS_MOST)
                            .map(Auditor::keyAudit)
                            .toList());
        }
    }

    /** A revision and the tables that it changes and makes, taken under the lock. */
    private record RevisionTables(Revision revision, Optional<Table> before, Optional<Table> after) {}

    FleetAudit audit(State state) {
        List<RevisionTables> latest;
        Table inForce;
        synchronized (lock) {
            latest = latest(state);
            inForce = state.table(state.inForce());
        }
        latest.forEach(this::difference);
        List<Entry> caps = caps(inForce);
        synchronized (lock) {
            return audit(state, latest, caps);
        }
    }

    private static List<RevisionTables> latest(State state) {
        Collection<Revision> all = state.revisions();
        return all.stream()
                .skip(Math.max(0, all.size() - FleetAudit.REVISIONS_MOST))
                .map(revision -> new RevisionTables(
                        revision,
                        Optional.ofNullable(state.table(revision.base())),
                        Optional.ofNullable(state.table(revision.id()))))
                .toList();
    }

    private Difference difference(RevisionTables tables) {
        if (tables.before.isEmpty() || tables.after.isEmpty()) {
            return differences.getOrDefault(tables.revision.id(), Difference.of(List.of()));
        }
        return differences.computeIfAbsent(
                tables.revision.id(), id -> Difference.of(tables.before.get().differenceTo(tables.after.get())));
    }

    private static List<Entry> caps(Table table) {
        List<Entry> caps = new ArrayList<>();
        table.forEach(entry -> {
            if (entry.key().kind() == Kind.CAP) {
                caps.add(entry);
            }
        });
        caps.sort(Comparator.comparing(Entry::key));
        return caps;
    }

    private FleetAudit audit(State state, List<RevisionTables> latest, List<Entry> caps) {
        return new FleetAudit(
                state.fleet(),
                state.version(),
                state.inForce(),
                state.proposed(),
                state.live(),
                state.out(),
                latest.stream().map(this::revision).toList(),
                state.waiting().stream().map(Auditor::outsideRevision).toList(),
                state.refused().stream().map(Auditor::outsideRevision).toList(),
                state.servers().stream().map(Auditor::server).toList(),
                state.gone().stream().map(Auditor::server).toList(),
                caps.size(),
                caps.stream()
                        .limit(FleetAudit.CAPS_MOST)
                        .map(entry -> cap(state, entry))
                        .toList());
    }

    private FleetAudit.RevisionAudit revision(RevisionTables tables) {
        Revision revision = tables.revision;
        Difference difference = difference(tables);
        return new FleetAudit.RevisionAudit(
                revision.id(),
                revision.of(),
                revision.root(),
                revision.size(),
                revision.changed(),
                revision.by(),
                revision.why(),
                revision.fate(),
                revision.proposedWall(),
                revision.sinceWall(),
                revision.reasons(),
                revision.records().stream()
                        .map(record -> change(record, difference))
                        .toList());
    }

    private static FleetAudit.ChangeAudit outsideRevision(ChangeRecord record) {
        return change(record, Difference.of(List.of()));
    }

    /** @param whole what a record without changes of its own has changed: it is that of a whole revision */
    private static FleetAudit.ChangeAudit change(ChangeRecord record, Difference whole) {
        Difference difference = record.kind() == ChangeRecord.Kind.ENTRIES ? Difference.of(record.changes()) : whole;
        return new FleetAudit.ChangeAudit(
                record.command(),
                record.kind(),
                record.by(),
                record.why(),
                record.forced(),
                record.wall(),
                record.outcome(),
                record.revision(),
                record.fault().map(Fault::what).orElse(""),
                difference.entries,
                difference.keys);
    }

    private static FleetAudit.KeyAudit keyAudit(Change change) {
        Key key = change.key();
        String text = key.name().isEmpty() ? key.kind().name() : key.kind() + " " + key.name();
        return new FleetAudit.KeyAudit(
                text, change.before().map(Auditor::text), change.after().map(Auditor::text));
    }

    private static String text(Value value) {
        if (value instanceof Value.Weight weight) {
            return Integer.toString(weight.weight());
        }
        if (value instanceof Value.Address address) {
            return address.host() + ":" + address.port();
        }
        if (value instanceof Value.Cap cap) {
            return Integer.toString(cap.connections());
        }
        return "present";
    }

    private static FleetAudit.ServerAudit server(ServerRecord server) {
        List<FleetAudit.PassageAudit> passages = new ArrayList<>();
        server.transitions().forEach(passage -> passages.add(passage(passage)));
        return new FleetAudit.ServerAudit(
                server.server(),
                server.listen(),
                server.as(),
                server.status(),
                server.silent(),
                server.marked(),
                server.odd(),
                server.cause(),
                server.acting(),
                server.inForce(),
                server.heardWall(),
                server.outWall(),
                server.outdated(),
                server.folded(),
                passages);
    }

    private static FleetAudit.PassageAudit passage(RevisionTransition passage) {
        return new FleetAudit.PassageAudit(
                passage.as(),
                passage.from(),
                passage.to(),
                passage.behind() / TICKS_IN_MS,
                passage.outdated(),
                passage.wall());
    }

    private static FleetAudit.CapAudit cap(State state, Entry entry) {
        TenantId tenant = new TenantId(entry.key().name());
        int cap = ((Value.Cap) entry.value()).connections();
        return new FleetAudit.CapAudit(tenant, cap, state.floor(cap), state.lent(tenant), state.spoken(tenant));
    }
}
