package tallyweir.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;

/**
 * The replicated state of the voters: the servers of the fleet, the revision in force, and to whom each tenant's cap is
 * lent. Each command of the log is applied here, after the clock was set to the leader's timestamp of the command; the same
 * commands produce the same state on every voter. The fleet's clock advances only while there is a leader, and never faster
 * than the leader's own. So a duration by the fleet's clock is no shorter by any other clock, except for the drift ratio.
 *
 * <p>Times are tenths of a millisecond by the fleet's clock. Not thread-safe.
 */
public final class State {
    /** How often the max-min level of a scarce cap is computed anew, per lease. */
    private static final int LEVELS_PER_LEASE = 40;

    private static final int REPORTS_PER_LEASE = 40; // twice as many while something is pending
    private static final int MIN_REPORTS_PER_LEASE = 4; // a server reports at least this often per lease
    private static final int MAX_REPORTS_PER_SECOND = 2_000; // of all servers together
    private static final long SECOND_TENTHS_MS = 10_000;

    private final FleetContext context;
    private final RevisionHistory history = new RevisionHistory();
    private final Proposal proposal = new Proposal();
    private final Lending lending;
    private final Probation probation;
    private final ServerRegistry servers;
    private final RevisionControl control;

    public State() {
        this(Set.of());
    }

    /** @param disabledGuards guards that are switched off, for checks only */
    public State(Set<Guard> disabledGuards) {
        context = new FleetContext(disabledGuards);
        lending = new Lending(!context.isEnabled(Guard.FLOOR), this::cap);
        probation = new Probation(context, history);
        servers = new ServerRegistry(context, history, proposal, probation, lending);
        control = new RevisionControl(context, history, proposal, probation, servers, lending);
    }

    /** The cap of a tenant in the revision in force. */
    private int cap(TenantId tenant) {
        return RevisionControl.connections(history.inForceTable().get(new Key(Kind.CAP, tenant.value())));
    }

    // ---- commands

    /**
     * Sets the clocks to the timestamp of the next command.
     *
     * @param now the fleet's clock, tenths of a millisecond
     * @param wallMs the leader's wall clock, ms since 1970
     */
    public void clock(long now, long wallMs) {
        context.advanceClock(now, wallMs);
    }

    /** Applies a command and returns its answer; {@link #clock} must have been called with its timestamp before. */
    public Answer apply(Command command) {
        if (command instanceof Command.CreateFleet found) {
            return foundFleet(found);
        }
        if (command instanceof Command.Join join && !join.fleet().equals(context.fleet())) {
            return new Answer.Refused(
                    context.fleet().isEmpty()
                            ? new Fault.NotFounded(join.fleet())
                            : new Fault.Stranger(join.fleet(), context.fleet()));
        }
        settle();
        Answer answer = answer(command);
        settle();
        return answer;
    }

    private Answer answer(Command command) {
        if (command instanceof Command.Report report) {
            return report(report);
        } else if (command instanceof Command.Join join) {
            return join(join);
        } else if (command instanceof Command.Leave leave) {
            return leave(leave);
        } else if (command instanceof Command.ChangeEntries change) {
            return control.change(change);
        } else if (command instanceof Command.Publish publish) {
            return control.publish(publish);
        } else if (command instanceof Command.Rollback rollback) {
            return control.rollback(rollback);
        }
        return new Answer.Done(history.inForceId()); // a tick
    }

    /** Does everything that is due by now, and what follows from it. */
    private void settle() {
        servers.settleDue();
        control.settle();
        servers.shutOutMarked();
    }

    private Answer foundFleet(Command.CreateFleet found) {
        if (!context.fleet().isEmpty() && !context.fleet().equals(found.fleet())) {
            return new Answer.Refused(new Fault.Stranger(found.fleet(), context.fleet()));
        }
        if (found.settings().version() > settingsVersion()) {
            applySettings(
                    found.fleet(),
                    settingsVersion() == 0 ? found.settings() : found.settings().withFixedPartsOf(context.settings()));
            servers.settleAll();
        }
        settle();
        return new Answer.Done(history.inForceId());
    }

    private void applySettings(String fleet, FleetSettings settings) {
        servers.addSlots(context.settings().maxServers(), settings.maxServers());
        context.settings(fleet, settings);
        lending.settings(settings.maxServers(), settings.floorShare(), settings.leaseDuration() / LEVELS_PER_LEASE);
    }

    /**
     * A server asks for a slot, or for the one that it has. A new process listening at the same address proves that the
     * earlier one has ended.
     */
    private Answer join(Command.Join join) {
        ServerRecord server = servers.get(join.server());
        if (server != null && !server.listen.equals(join.listenAddress())) {
            return new Answer.Refused(new Fault.NameTaken(join.server().value(), server.listen));
        }
        if (server == null && !servers.hasFreeSlot()) {
            return new Answer.Refused(new Fault.NoPlace(context.settings().maxServers()));
        }
        if (server != null && server.status == ServerRecord.Status.OUT && context.now() < server.mayReturnAt) {
            return new Answer.Refused(new Fault.NotYet(join.server().value(), server.mayReturnAt - context.now()));
        }
        ServerRecord entered = servers.join(join.server(), join.listenAddress(), join.processNumber());
        return new Answer.Joined(
                entered.incarnation,
                context.settings().maxServers(),
                context.settings().floorShare(),
                nextReportDelay(entered));
    }

    /** A server's report. It counts only if it names the server's current incarnation. */
    private Answer report(Command.Report report) {
        ServerRecord server = servers.get(report.server());
        Optional<Fault> fault = shutOut(server, report);
        if (fault.isPresent()) {
            return new Answer.Refused(fault.get());
        }
        boolean isNew = report.reportNumber() > server.reportNumber || !server.incarnation.equals(report.incarnation());
        if (isNew) {
            applyReport(server, report);
        }
        if (server.status == ServerRecord.Status.OUT) {
            return new Answer.Refused(shutOut(server));
        }
        Map<TenantId, Grant> shares = Map.of();
        if (server.status == ServerRecord.Status.LIVE) {
            shares = isNew ? lending.report(server.slot, report.needs(), context.now()) : lending.lent(server.slot);
        }
        servers.reschedule(server);
        return reportAnswer(server, report.reportNumber(), shares);
    }

    private Optional<Fault> shutOut(ServerRecord server, Command.Report report) {
        if (server == null) {
            return Optional.of(new Fault.ShutOut(report.server().value(), "it has no place here", 0));
        }
        if (!server.incarnation.equals(report.incarnation()) && context.isEnabled(Guard.INCARNATION)) {
            return Optional.of(new Fault.ShutOut(report.server().value(), "another incarnation of it has come", 0));
        }
        return server.status == ServerRecord.Status.OUT ? Optional.of(shutOut(server)) : Optional.empty();
    }

    private Fault shutOut(ServerRecord server) {
        return new Fault.ShutOut(server.server.value(), server.cause, Math.max(0, server.mayReturnAt - context.now()));
    }

    private void applyReport(ServerRecord server, Command.Report report) {
        server.reportNumber = report.reportNumber();
        server.heardAtMs = context.wallMs();
        updateApplied(server, report);
        probation.report(server, report.endedQueries(), report.badQueries());
        proposal.recordCheck(server.slot, server.server, report.checkedRevision(), report.rejectReason());
        servers.renewLease(server);
        servers.settle(server);
        settle(); // so that the answer to the last acceptance already names the revision as in force
    }

    private void updateApplied(ServerRecord server, Command.Report report) {
        RevisionId acting = report.actingRevision();
        Revision revision = history.get(acting);
        if (!acting.equals(server.appliedRevision)) {
            long behind = revision == null ? 0 : Math.max(0, context.now() - revision.inForceAt);
            server.add(new RevisionTransition(
                    report.incarnation(),
                    server.appliedRevision,
                    acting,
                    behind,
                    report.outdatedQueries(),
                    context.wallMs()));
            server.appliedRevision = acting;
            lending.slotApplied(server.slot, acting.value());
        }
        server.appliedRoot = report.tableDigest();
        server.digestMismatch = revision != null
                && revision.table() != null
                && context.isEnabled(Guard.DIGEST)
                && !revision.root.equals(report.tableDigest());
        if (!server.digestMismatch && history.wasInForce(acting)) {
            server.deviatingSince = Long.MAX_VALUE;
        } else {
            server.deviatingSince = Math.min(server.deviatingSince, context.now());
        }
        if (!server.digestMismatch && acting.equals(history.inForceId())) {
            servers.admit(server);
        }
    }

    private Answer reportAnswer(ServerRecord server, long number, Map<TenantId, Grant> shares) {
        boolean isMember = server.status == ServerRecord.Status.LIVE;
        FleetSettings settings = context.settings();
        return new Answer.ReportAccepted(
                number,
                isMember ? LeaseDurations.forHolder(settings.leaseDuration(), settings.maxClockDrift()) : 0,
                isMember ? LeaseDurations.forHolder(settings.floorLeaseDuration(), settings.maxClockDrift()) : 0,
                lending.floorsFree(),
                history.inForceRoot(),
                history.inForce() == null ? 0 : context.now() - history.inForceAt(),
                proposal.revisionRoot(),
                shares,
                nextReportDelay(server));
    }

    /** The delay until a server should report again; it grows with the number of servers. */
    private long nextReportDelay(ServerRecord server) {
        long lease = context.settings().leaseDuration();
        long fleetPace = (long) (servers.live() + servers.out()) * SECOND_TENTHS_MS / MAX_REPORTS_PER_SECOND;
        long pace = Math.max(lease / REPORTS_PER_LEASE, fleetPace);
        boolean isSoon = servers.behindSince(server) != Long.MAX_VALUE || proposal.isOpen();
        return Math.min(lease / MIN_REPORTS_PER_LEASE, isSoon ? pace / 2 : pace);
    }

    private Answer leave(Command.Leave leave) {
        ServerRecord server = servers.get(leave.server());
        if (server != null && server.incarnation.equals(leave.incarnation())) {
            servers.leave(server);
        }
        settle();
        return new Answer.Done(history.inForceId());
    }

    // ---- queries

    /** When the passage of time alone next changes something, Long.MAX_VALUE for never. */
    public long nextDeadline() {
        return Math.min(servers.nextDeadline(), proposal.deadline());
    }

    public long now() {
        return context.now();
    }

    public String fleet() {
        return context.fleet();
    }

    /** The version of the settings in use, 0 before the fleet is founded. */
    public long settingsVersion() {
        return context.settings().version();
    }

    /** The revision in force, NONE before the first. */
    public RevisionId inForce() {
        return history.inForceId();
    }

    /** The proposed revision that is not decided yet, NONE if there is none. */
    public RevisionId proposed() {
        return proposal.id();
    }

    /** A revision, null if it never existed. */
    public Revision revision(RevisionId id) {
        return history.get(id);
    }

    /** All revisions, latest last. */
    public Collection<Revision> revisions() {
        return Collections.unmodifiableCollection(history.all());
    }

    /** The changes that wait until the open proposal is decided, in the order in which they will be proposed. */
    public List<ChangeRecord> waiting() {
        return control.queue().all();
    }

    /** The changes that were refused after they had waited, latest last; older ones are forgotten. */
    public List<ChangeRecord> refused() {
        return control.refused();
    }

    /** The table of a revision: the empty table for NONE, null if it does not exist or was turned down. */
    public Table table(RevisionId id) {
        return history.table(id);
    }

    /** The table with a root, if a revision has it that was not turned down. */
    public Optional<Table> table(Digest root) {
        return history.table(root);
    }

    /**
     * The changes that turn a table into that of a revision.
     *
     * @param from the root of the table
     * @param maxChanges maximum number of changes; the result is empty if there are more, or if either table is unknown
     */
    public Optional<List<Change>> difference(Digest from, RevisionId to, int maxChanges) {
        Table want = history.table(to);
        return want == null
                ? Optional.empty()
                : history.table(from).flatMap(have -> have.differenceTo(want, maxChanges));
    }

    /** All servers that have a slot, by name. */
    public Collection<ServerRecord> servers() {
        return Collections.unmodifiableCollection(servers.all());
    }

    /** Since when a server has not applied the revision in force, Long.MAX_VALUE if it has. */
    public long behindSince(ServerRecord server) {
        return servers.behindSince(server);
    }

    /** Servers that had a slot and left it, latest last; older ones are forgotten. */
    public Collection<ServerRecord> gone() {
        return Collections.unmodifiableCollection(servers.gone());
    }

    /** The number of live servers, silent ones included. */
    public int live() {
        return servers.live();
    }

    /** The number of servers that are shut out and still have a slot. */
    public int out() {
        return servers.out();
    }

    /** How much of a tenant's cap may be relied on: the floors of all slots plus what is lent. */
    public long committed(TenantId tenant) {
        return lending.committed(tenant);
    }

    /** How much of a tenant's cap is lent to servers beyond their floors. */
    public long lent(TenantId tenant) {
        return lending.granted(tenant);
    }

    /** The caps of the revision in force; iterates over its whole table. */
    public Map<TenantId, Integer> caps() {
        Map<TenantId, Integer> caps = new HashMap<>();
        history.inForceTable().forEach(entry -> {
            if (entry.value() instanceof Value.Cap cap) {
                caps.put(new TenantId(entry.key().name()), cap.connections());
            }
        });
        return caps;
    }

    /** The floor of each slot under a cap. */
    public int floor(int cap) {
        return lending.floor(cap);
    }

    // ---- for snapshots

    /** Saves the whole state, in parts. */
    public void save(Consumer<SnapshotPart> to) {
        to.accept(new SnapshotPart.Fleet(
                context.fleet(),
                context.settings(),
                context.now(),
                context.wallMs(),
                servers.lastIncarnation(),
                probation.judgedAt()));
        SnapshotWriter writer = new SnapshotWriter(to);
        history.all().forEach(writer::write);
        to.accept(proposal.save());
        control.queue().forEachRetry(batch -> writer.write(SnapshotPart.Group.RETRY, batch));
        writer.write(SnapshotPart.Group.WAITING, control.queue().waiting());
        writer.write(SnapshotPart.Group.REFUSED, control.refused());
        lending.save(part -> to.accept(new SnapshotPart.Lent(part)));
        servers.all().forEach(server -> to.accept(server.save(false)));
        servers.gone().forEach(server -> to.accept(server.save(true)));
    }

    /** Loads into a new state what another saved. */
    public void load(Iterator<SnapshotPart> from) {
        SnapshotReader reader = new SnapshotReader(from, history);
        while (from.hasNext()) {
            load(from.next(), reader);
        }
    }

    private void load(SnapshotPart part, SnapshotReader reader) {
        if (part instanceof SnapshotPart.Fleet saved) {
            applySettings(saved.fleet(), saved.settings());
            context.advanceClock(saved.now(), saved.wallMs());
            servers.restore(saved.lastIncarnation());
            probation.restore(saved.judgedAt());
        } else if (part instanceof SnapshotPart.RevisionHeader header) {
            history.restore(reader.read(header));
        } else if (part instanceof SnapshotPart.Proposed saved) {
            proposal.load(saved, history.get(saved.revision()));
        } else if (part instanceof SnapshotPart.RecordGroup group) {
            load(group.group(), reader.read(group));
        } else if (part instanceof SnapshotPart.Lent saved) {
            lending.load(saved.part());
        } else if (part instanceof SnapshotPart.Server saved) {
            servers.restore(saved);
        } else {
            throw new IllegalArgumentException("a part of a snapshot at the wrong place: " + part);
        }
    }

    private void load(SnapshotPart.Group group, List<ChangeRecord> records) {
        switch (group) {
            case RETRY -> control.restoreRetry(records);
            case WAITING -> records.forEach(control::restoreWaiting);
            case REFUSED -> records.forEach(control::restoreRefused);
        }
    }
}
