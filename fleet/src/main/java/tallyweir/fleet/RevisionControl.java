package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;
import tallyweir.rules.RuleList;

/**
 * Handles operators' commands: checks their preconditions, makes revisions of them, and decides whether a revision comes
 * into force, is turned down or is rolled back.
 */
final class RevisionControl {
    private static final int CHECK_TIMEOUT_LEASES =
            2; // within which live servers must answer whether they can apply a revision
    private static final int MAX_REFUSED = 1_000; // refused changes that are remembered
    private static final int TENTHS_PER_MS = 10;
    private static final String NO_AUTHOR = "nobody";
    private static final String UNKNOWN_AUTHOR = "unknown";

    private final FleetContext context;
    private final RevisionHistory history;
    private final Proposal proposal;
    private final Probation probation;
    private final ServerRegistry servers;
    private final Lending lending;
    private final ChangeQueue queue = new ChangeQueue();
    private final ArrayDeque<ChangeRecord> refused = new ArrayDeque<>(); // refused after they had waited, latest last
    private final RuleList rules = new RuleList();

    RevisionControl(
            FleetContext context,
            RevisionHistory history,
            Proposal proposal,
            Probation probation,
            ServerRegistry servers,
            Lending lending) {
        this.context = context;
        this.history = history;
        this.proposal = proposal;
        this.probation = probation;
        this.servers = servers;
        this.lending = lending;
        // Order: decide the open proposal, then judge the revision in force, then propose what waits.
        rules.add(
                () -> proposal.isOpen() && !proposal.isComplete() && context.now() >= proposal.deadline(),
                () -> proposal.expire(servers::serverAt));
        rules.add(() -> proposal.isOpen() && (proposal.revision().forced || isAccepted()), this::bringIntoForce);
        rules.add(() -> proposal.isOpen() && proposal.isComplete(), this::reject);
        rules.add(probation::isDue, this::judgeProbation);
        rules.add(() -> !proposal.isOpen() && !queue.isEmpty(), this::proposeWaiting);
    }

    /** Applies all rules that are due by now. */
    void settle() {
        rules.runUntilStable();
    }

    ChangeQueue queue() {
        return queue;
    }

    /** Changes that were refused after they had waited, latest last; older ones are forgotten. */
    List<ChangeRecord> refused() {
        return List.copyOf(refused);
    }

    // ---- the proposal and the revision in force

    private boolean isAccepted() {
        return proposal.isComplete()
                && proposal.rejectedShare() <= context.settings().maxRejectingShare();
    }

    private void bringIntoForce() {
        Revision revision = proposal.revision();
        proposal.close();
        List<Change> changes = history.inForceTable().differenceTo(revision.table());
        history.bringIntoForce(revision, context.now(), context.wallMs());
        lending.applyCaps(revision.id.value(), capChanges(changes));
        probation.begin();
    }

    private static List<CapChange> capChanges(List<Change> changes) {
        return changes.stream()
                .filter(change -> change.key().kind() == Kind.CAP)
                .map(change -> new CapChange(
                        new TenantId(change.key().name()), connections(change.before()), connections(change.after())))
                .toList();
    }

    /** The number of connections of a cap entry, {@link Caps#UNCAPPED} without one. */
    static int connections(Optional<Value> cap) {
        return cap.map(value -> ((Value.Cap) value).connections()).orElse(Caps.UNCAPPED);
    }

    /**
     * Turns down the proposal because too many servers cannot apply it. If it consists of several changes, one of them may
     * be the cause, so its halves are tried one after the other.
     */
    private void reject() {
        List<ChangeRecord> batch = proposal.revision().records();
        turnDown(proposal.rejectionSummary());
        if (batch.size() > 1) {
            queue.requeueInHalves(batch);
        }
    }

    private void turnDown(String reasons) {
        history.turnDown(proposal.revision(), reasons);
        proposal.close();
    }

    private void judgeProbation() {
        if (probation.judge(servers.live())) {
            rollBack();
        }
    }

    /** Rolls back, once, to the previous revision: an automatic command at this point of the log, on every voter. */
    private void rollBack() {
        Revision rejected = history.inForce();
        if (proposal.isOpen()) {
            turnDown("revision " + rejected.id.value() + ", which it follows, was taken back");
        }
        ChangeRecord record = new ChangeRecord(
                new OperatorCommandId(Probation.AUTHOR + " " + rejected.id.value()),
                ChangeRecord.Kind.ROLLBACK,
                List.of(),
                Probation.AUTHOR,
                "under revision " + rejected.id.value() + " more queries were late or errored than before",
                true,
                context.wallMs());
        Revision target = history.previous();
        propose(rejected, target.id, target.table(), List.of(record));
    }

    /** Proposes the next batch of waiting changes as one revision, except those whose precondition no longer holds. */
    private void proposeWaiting() {
        Table table = history.inForceTable();
        List<ChangeRecord> holding = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        for (ChangeRecord record : queue.takeBatch()) {
            Optional<Fault.KeyConflict> conflict = firstConflict(table, record.changes());
            if (conflict.isPresent()) {
                refuse(record, conflict.get());
            } else {
                holding.add(record);
                changes.addAll(record.changes());
            }
        }
        if (!holding.isEmpty()) {
            propose(history.inForce(), RevisionId.NONE, table.apply(changes), holding);
        }
    }

    private void refuse(ChangeRecord record, Fault.KeyConflict conflict) {
        record.markRefused(conflict);
        refused.add(record);
        if (refused.size() > MAX_REFUSED) {
            history.forget(refused.poll());
        }
    }

    private Revision propose(Revision base, RevisionId of, Table table, List<ChangeRecord> records) {
        boolean forced = records.get(0).forced();
        Revision revision = history.add(base, of, table, records, forced, context.wallMs());
        BitSet slotsToAsk = forced ? new BitSet() : servers.heardSlots();
        proposal.open(
                revision,
                context.now() + CHECK_TIMEOUT_LEASES * context.settings().leaseDuration(),
                slotsToAsk);
        return revision;
    }

    // ---- commands of operators

    Answer publish(Command.Publish publish) {
        Optional<Answer> known = outcome(publish.command());
        if (known.isPresent()) {
            return known.get();
        }
        Optional<Answer> lost = lostRace(publish.expected());
        if (lost.isPresent()) {
            return lost.get();
        }
        Table base = history.table(publish.expected());
        if (base == null) {
            return new Answer.Refused(
                    new Fault.UnknownRoot("of revision " + publish.expected().value()));
        }
        Optional<Fault> fault = duplicateEntry(publish.changes()).or(() -> conflictWith(base, publish.changes()));
        if (fault.isPresent()) {
            return new Answer.Refused(fault.get());
        }
        ChangeRecord record = record(
                publish.command(),
                ChangeRecord.Kind.PUBLISH,
                List.of(),
                publish.author(),
                publish.reason(),
                publish.force());
        Revision baseRevision = history.get(publish.expected());
        return proposed(propose(baseRevision, RevisionId.NONE, base.apply(publish.changes()), List.of(record)));
    }

    Answer rollback(Command.Rollback rollback) {
        Optional<Answer> known = outcome(rollback.command());
        if (known.isPresent()) {
            return known.get();
        }
        Revision target = history.get(rollback.target());
        if (target == null || !history.wasInForce(rollback.target())) {
            return new Answer.Refused(new Fault.NoSuchRevision(
                    rollback.target().value(), history.inForceId().value()));
        }
        Optional<Answer> lost = lostRace(rollback.expected());
        if (lost.isPresent()) {
            return lost.get();
        }
        ChangeRecord record = record(
                rollback.command(),
                ChangeRecord.Kind.ROLLBACK,
                List.of(),
                rollback.author(),
                rollback.reason(),
                rollback.force());
        return proposed(propose(history.inForce(), target.id, target.table(), List.of(record)));
    }

    Answer change(Command.ChangeEntries change) {
        Optional<Answer> known = outcome(change.command());
        if (known.isPresent()) {
            return known.get();
        }
        if (change.changes().isEmpty()) {
            return new Answer.Refused(new Fault.EntryFaulty("", "the change names no entry"));
        }
        Optional<Fault> fault = duplicateEntry(change.changes()).or(() -> conflict(change.changes()));
        if (fault.isPresent()) {
            return new Answer.Refused(fault.get());
        }
        ChangeRecord record = record(
                change.command(),
                ChangeRecord.Kind.ENTRIES,
                change.changes(),
                change.author(),
                change.reason(),
                change.force());
        if (!proposal.isOpen()) {
            Table table = history.inForceTable().apply(change.changes());
            return proposed(propose(history.inForce(), RevisionId.NONE, table, List.of(record)));
        }
        if (queue.isFull()) {
            long retryAfterMs = Math.max(0, proposal.deadline() - context.now()) / TENTHS_PER_MS;
            return new Answer.Refused(new Fault.QueueFull(queue.size(), retryAfterMs));
        }
        int ahead = queue.size();
        queue.add(record);
        history.remember(record);
        return new Answer.Waiting(ahead);
    }

    private ChangeRecord record(
            OperatorCommandId command,
            ChangeRecord.Kind kind,
            List<Change> changes,
            String author,
            String reason,
            boolean forced) {
        return new ChangeRecord(command, kind, changes, author, reason, forced, context.wallMs());
    }

    private Answer proposed(Revision revision) {
        settle();
        return new Answer.Done(revision.id);
    }

    // ---- conditions

    /** The outcome of a command that was received before, if it is remembered. */
    private Optional<Answer> outcome(OperatorCommandId command) {
        return history.record(command).map(this::outcome);
    }

    private Answer outcome(ChangeRecord record) {
        return switch (record.outcome()) {
            case WAITING -> new Answer.Waiting(queue.all().indexOf(record));
            case REFUSED -> new Answer.Refused(record.fault().orElseThrow());
            case TAKEN -> outcome(history.get(record.revision()));
        };
    }

    private static Answer outcome(Revision revision) {
        return revision.fate == Revision.Fate.TURNED_DOWN
                ? new Answer.Refused(new Fault.CannotTake(revision.id.value(), revision.rejectionReasons))
                : new Answer.Done(revision.id);
    }

    /** The precondition of a publication or rollback: nothing came after the revision that its author saw. */
    private Optional<Answer> lostRace(RevisionId expected) {
        if (!context.isEnabled(Guard.EXPECTED)) {
            return Optional.empty();
        }
        Revision last = proposal.isOpen() ? proposal.revision() : history.inForce();
        RevisionId latest = last == null ? RevisionId.NONE : last.id;
        if (!queue.isEmpty()) {
            ChangeRecord first = queue.all().get(0);
            return Optional.of(lostRace(expected, latest, first.author(), first.requestedAtMs()));
        }
        if (latest.equals(expected) && !proposal.isOpen()) {
            return Optional.empty();
        }
        return Optional.of(
                last == null
                        ? lostRace(expected, latest, NO_AUTHOR, 0)
                        : lostRace(expected, latest, last.author(), last.proposedAtMs));
    }

    private static Answer lostRace(RevisionId expected, RevisionId latest, String author, long wallMs) {
        return new Answer.Refused(new Fault.LostRace(expected.value(), latest.value(), author, wallMs));
    }

    /** The fault of a command that names an entry twice, if any. */
    private static Optional<Fault> duplicateEntry(List<Change> changes) {
        Set<Key> named = new HashSet<>();
        for (Change change : changes) {
            if (!named.add(change.key())) {
                return Optional.of(new Fault.EntryFaulty(text(change.key()), "it is named twice"));
            }
        }
        return Optional.empty();
    }

    /** The precondition of a change of entries: nobody has changed them since their author read them, or is about to. */
    private Optional<Fault> conflict(List<Change> changes) {
        if (!context.isEnabled(Guard.EXPECTED)) {
            return Optional.empty();
        }
        for (Change change : changes) {
            Optional<ChangeRecord> first = pendingChange(change.key());
            if (first.isPresent()) {
                return first.map(record -> conflict(change.key(), record));
            }
        }
        return conflictWith(history.inForceTable(), changes);
    }

    /** The record of a proposed or waiting change of an entry, if any. */
    private Optional<ChangeRecord> pendingChange(Key key) {
        if (proposal.isOpen() && proposal.revision().mentions(key)) {
            return Optional.of(proposal.revision().recordOf(key));
        }
        return queue.findByKey(key);
    }

    private Optional<Fault> conflictWith(Table table, List<Change> changes) {
        return firstConflict(table, changes).map(conflict -> conflict);
    }

    /** The conflict of the first entry whose value is not the one that a change expects. */
    private Optional<Fault.KeyConflict> firstConflict(Table table, List<Change> changes) {
        if (!context.isEnabled(Guard.EXPECTED)) {
            return Optional.empty();
        }
        return changes.stream()
                .filter(change -> !table.get(change.key()).equals(change.before()))
                .findFirst()
                .map(change -> history.lastChange(change.key())
                        .map(record -> conflict(change.key(), record))
                        .orElse(new Fault.KeyConflict(text(change.key()), UNKNOWN_AUTHOR, 0)));
    }

    private static Fault.KeyConflict conflict(Key key, ChangeRecord first) {
        return new Fault.KeyConflict(text(key), first.author(), first.requestedAtMs());
    }

    private static String text(Key key) {
        return key.kind() + " " + key.name();
    }

    // ---- for snapshots

    void restoreWaiting(ChangeRecord record) {
        queue.add(record);
        history.remember(record);
    }

    void restoreRetry(List<ChangeRecord> batch) {
        queue.restoreRetry(batch);
        batch.forEach(history::remember);
    }

    void restoreRefused(ChangeRecord record) {
        refused.add(record);
        history.remember(record);
    }
}
