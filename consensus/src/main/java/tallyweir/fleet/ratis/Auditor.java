package tallyweir.fleet.ratis;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import tallyweir.fleet.ChangeRecord;
import tallyweir.fleet.Digest;
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
 * Builds audits of the state. Work proportional to the size of a table runs on the immutable tables, without the lock that guards the
 * state; how a revision differs from the one before it is computed once and cached.
 */
final class Auditor {
    private static final double TICKS_PER_MS = 10.0;

    private final Object lock;
    private final Map<RevisionId, Difference> differences = new ConcurrentHashMap<>();
    private volatile CappedTenants lastCappedTenants = new CappedTenants(Digest.NONE, 0, List.of());

    /** @param lock the lock that guards the state */
    Auditor(Object lock) {
        this.lock = lock;
    }

    /** How a revision differs from the one it is based on: the number of changed entries, and the first of them. */
    private record Difference(int entries, List<FleetAudit.KeyAudit> keys) {
        private static Difference of(List<Change> changes) {
            return new Difference(
                    changes.size(),
                    changes.stream()
                            .limit(FleetAudit.MAX_KEYS)
                            .map(Auditor::keyAudit)
                            .toList());
        }
    }

    /**
     * The tenants with a cap in one table.
     *
     * @param root root of the table
     * @param count number of such tenants
     * @param first the first of their caps, ordered by name
     */
    private record CappedTenants(Digest root, int count, List<Entry> first) {
        private static CappedTenants of(Table table) {
            List<Entry> caps = new ArrayList<>();
            table.forEach(entry -> {
                if (entry.key().kind() == Kind.CAP) {
                    caps.add(entry);
                }
            });
            caps.sort(Comparator.comparing(Entry::key));
            List<Entry> first = caps.subList(0, Math.min(caps.size(), FleetAudit.MAX_CAPS));
            return new CappedTenants(table.root(), caps.size(), List.copyOf(first));
        }
    }

    /** A revision with the table it is based on and its own table, as read under the lock; a table that is no longer stored is empty. */
    private record RevisionTables(Revision revision, Optional<Table> before, Optional<Table> after) {}

    FleetAudit audit(State state) {
        List<RevisionTables> latest;
        Table inForce;
        synchronized (lock) {
            latest = latestRevisions(state);
            inForce = state.table(state.inForce());
        }
        latest.forEach(this::difference);
        CappedTenants caps = cappedTenants(inForce);
        synchronized (lock) {
            return audit(state, latest, caps);
        }
    }

    private static List<RevisionTables> latestRevisions(State state) {
        Collection<Revision> all = state.revisions();
        return all.stream()
                .skip(Math.max(0, all.size() - FleetAudit.MAX_REVISIONS))
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

    /** Scans a table only once, however often it is audited. */
    private CappedTenants cappedTenants(Table table) {
        CappedTenants current = lastCappedTenants;
        if (!current.root.equals(table.root())) {
            current = CappedTenants.of(table);
            lastCappedTenants = current;
        }
        return current;
    }

    private FleetAudit audit(State state, List<RevisionTables> latest, CappedTenants caps) {
        return new FleetAudit(
                state.fleet(),
                state.settingsVersion(),
                state.inForce(),
                state.proposed(),
                state.live(),
                state.out(),
                latest.stream().map(this::revision).toList(),
                state.waiting().stream().map(Auditor::changeWithoutRevision).toList(),
                state.refused().stream().map(Auditor::changeWithoutRevision).toList(),
                state.servers().stream().map(Auditor::server).toList(),
                state.gone().stream().map(Auditor::server).toList(),
                caps.count,
                caps.first.stream().map(entry -> cap(state, entry)).toList());
    }

    private FleetAudit.RevisionAudit revision(RevisionTables tables) {
        Revision revision = tables.revision;
        Difference difference = difference(tables);
        return new FleetAudit.RevisionAudit(
                revision.id(),
                revision.restoredFrom(),
                revision.root(),
                revision.entryCount(),
                revision.changedEntryCount(),
                revision.author(),
                revision.reason(),
                revision.fate(),
                revision.proposedAtMs(),
                revision.inForceAtMs(),
                revision.rejectionReasons(),
                revision.records().stream()
                        .map(record -> change(record, difference))
                        .toList());
    }

    private static FleetAudit.ChangeAudit changeWithoutRevision(ChangeRecord record) {
        return change(record, Difference.of(List.of()));
    }

    /** @param ofRevision the difference of the complete revision, used for a record that lists no changes of its own */
    private static FleetAudit.ChangeAudit change(ChangeRecord record, Difference ofRevision) {
        Difference difference =
                record.kind() == ChangeRecord.Kind.ENTRIES ? Difference.of(record.changes()) : ofRevision;
        return new FleetAudit.ChangeAudit(
                record.command(),
                record.kind(),
                record.author(),
                record.reason(),
                record.forced(),
                record.requestedAtMs(),
                record.outcome(),
                record.revision(),
                record.fault().map(Fault::description).orElse(""),
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
        List<FleetAudit.TransitionAudit> passages = new ArrayList<>();
        server.transitions().forEach(passage -> passages.add(transition(passage)));
        return new FleetAudit.ServerAudit(
                server.server(),
                server.listen(),
                server.incarnation(),
                server.status(),
                server.silent(),
                server.marked(),
                server.digestMismatch(),
                server.cause(),
                server.appliedRevision(),
                server.appliedRoot(),
                server.heardAtMs(),
                server.outAtMs(),
                server.outdatedQueries(),
                server.foldedTransitions(),
                passages);
    }

    private static FleetAudit.TransitionAudit transition(RevisionTransition transition) {
        return new FleetAudit.TransitionAudit(
                transition.incarnation(),
                transition.from(),
                transition.to(),
                transition.delay() / TICKS_PER_MS,
                transition.outdatedQueries(),
                transition.recordedAtMs());
    }

    private static FleetAudit.CapAudit cap(State state, Entry entry) {
        TenantId tenant = new TenantId(entry.key().name());
        int cap = ((Value.Cap) entry.value()).connections();
        return new FleetAudit.CapAudit(tenant, cap, state.floor(cap), state.lent(tenant), state.committed(tenant));
    }
}
