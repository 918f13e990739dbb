package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import tallyweir.rules.RuleList;

/**
 * The servers of the fleet and their slots: which are live, behind or shut out, and when each is next to be examined.
 * Times are tenths of a millisecond by the fleet's clock.
 */
final class ServerRegistry {
    private static final int MAX_FLAP_DOUBLINGS = 7; // bounds the doublings of the wait before a return
    private static final int STEADY_LEASES = 20; // after so many leases as live, earlier shut-outs are forgotten
    private static final int MIN_WAITS_PER_LEASE = 10;
    private static final int MAX_GONE = 1_000;

    private record Deadline(long at, int slot) implements Comparable<Deadline> {
        @Override
        public int compareTo(Deadline other) {
            return at != other.at ? Long.compare(at, other.at) : Integer.compare(slot, other.slot);
        }
    }

    private final FleetContext context;
    private final RevisionHistory history;
    private final Proposal proposal;
    private final Probation probation;
    private final Lending lending;
    private final Stragglers stragglers;
    private final RuleList rules = new RuleList();
    private final TreeMap<ServerId, ServerRecord> byName = new TreeMap<>();
    private final Map<Integer, ServerRecord> bySlot = new HashMap<>();
    private final TreeSet<Integer> freeSlots = new TreeSet<>();
    private final TreeSet<ServerId> marked = new TreeSet<>();
    private final BitSet heardSlots = new BitSet(); // slots of servers that are live and not silent
    private final TreeSet<Deadline> deadlines = new TreeSet<>();
    private final Map<Integer, Long> deadlineBySlot = new HashMap<>();
    private final ArrayDeque<ServerRecord> gone = new ArrayDeque<>();
    private long lastIncarnation;
    private int live;
    private int out;
    private ServerRecord current; // the server that the rules apply to

    ServerRegistry(
            FleetContext context, RevisionHistory history, Proposal proposal, Probation probation, Lending lending) {
        this.context = context;
        this.history = history;
        this.proposal = proposal;
        this.probation = probation;
        this.lending = lending;
        stragglers = new Stragglers(history);
        // Order: expiry of the lease, then whether the server is shut out, then reclaiming what it held.
        rules.add(this::entryTimedOut, () -> out("did not come in"));
        rules.add(() -> current.isHeard() && now() >= current.leaseDeadline, this::setSilent);
        rules.add(() -> shouldStay() && current.marked, this::unmark);
        rules.add(() -> shouldShutOut() && mayShutOutAnother(), () -> out(shutOutCause()));
        rules.add(() -> shouldShutOut() && !current.marked, this::mark);
        rules.add(() -> isTailOver() && lending.hasGrants(current.slot), () -> lending.reclaim(current.slot));
        rules.add(this::isSlotUnused, this::releaseSlot);
    }

    private long now() {
        return context.now();
    }

    private FleetSettings settings() {
        return context.settings();
    }

    // ---- queries

    /** The server with a name, null if it has no slot. */
    ServerRecord get(ServerId server) {
        return byName.get(server);
    }

    Collection<ServerRecord> all() {
        return byName.values();
    }

    /** Servers that had a slot and left it, latest last; older ones are forgotten. */
    Collection<ServerRecord> gone() {
        return gone;
    }

    ServerId serverAt(int slot) {
        return bySlot.get(slot).server;
    }

    boolean hasFreeSlot() {
        return !freeSlots.isEmpty();
    }

    /** Slots of the servers that are live and not silent. */
    BitSet heardSlots() {
        return heardSlots;
    }

    /** The number of live servers, silent ones included. */
    int live() {
        return live;
    }

    /** The number of servers that are shut out and still have a slot. */
    int out() {
        return out;
    }

    long lastIncarnation() {
        return lastIncarnation;
    }

    /** Since when a server has not applied the revision in force, Long.MAX_VALUE if it has. */
    long behindSince(ServerRecord server) {
        if (server.status == ServerRecord.Status.ENTERING) {
            return Math.max(server.enteredAt, history.inForceAt());
        }
        return Math.min(server.deviatingSince, history.supersededAt(server.appliedRevision));
    }

    // ---- the rules of a server

    private boolean entryTimedOut() {
        return current.status == ServerRecord.Status.ENTERING && behindTooLong();
    }

    private boolean behindTooLong() {
        long since = behindSince(current);
        return since != Long.MAX_VALUE && now() >= since + settings().maxBehindDuration();
    }

    private boolean shouldShutOut() {
        return current.status == ServerRecord.Status.LIVE && (current.silent || behindTooLong());
    }

    private boolean shouldStay() {
        return current.isHeard() && !behindTooLong();
    }

    /** Whether no connection that it accepted on its grants can be open any more. */
    private boolean isTailOver() {
        return now() >= current.leaseDeadline + context.maxOpenDuration();
    }

    private boolean isSlotUnused() {
        return bySlot.get(current.slot) == current
                && (current.status == ServerRecord.Status.OUT || current.silent)
                && now() >= releaseAt(current);
    }

    private long releaseAt(ServerRecord server) {
        return Math.max(server.floorDeadline + context.maxOpenDuration(), server.mayReturnAt);
    }

    private void setSilent() {
        current.silent = true;
        current.cause = "silent";
    }

    private String shutOutCause() {
        if (current.silent) {
            return "silent";
        }
        return current.digestMismatch
                ? "what is in force there is not what revision " + current.appliedRevision.value() + " says"
                : "behind: acts on revision " + current.appliedRevision.value() + " and not "
                        + history.inForceId().value();
    }

    private int maxOut() {
        return context.isEnabled(Guard.MOST_OUT)
                ? (int) Math.floor(settings().maxShutOutShare() * (live + out))
                : Integer.MAX_VALUE;
    }

    private boolean mayShutOutAnother() {
        return out + 1 <= maxOut();
    }

    private void mark() {
        current.marked = true;
        current.cause = shutOutCause() + "; too many are out to shut it out";
        marked.add(current.server);
    }

    private void unmark() {
        current.marked = false;
        current.cause = "";
        marked.remove(current.server);
    }

    private void out(String cause) {
        adjustCounts(current, -1);
        current.status = ServerRecord.Status.OUT;
        adjustCounts(current, 1);
        current.marked = false;
        marked.remove(current.server);
        current.cause = cause;
        current.outAtMs = context.wallMs();
        boolean wasSteady =
                now() - current.liveSince > STEADY_LEASES * settings().leaseDuration();
        current.flapCount = wasSteady ? 0 : Math.min(MAX_FLAP_DOUBLINGS, current.flapCount + 1);
        long minWait = Math.max(1, settings().leaseDuration() / MIN_WAITS_PER_LEASE);
        current.mayReturnAt = now() + (minWait << current.flapCount);
        removeFromJudgement(current);
    }

    /** Frees the slot of the current server: by any clock nobody uses it any more. */
    private void releaseSlot() {
        adjustCounts(current, -1);
        removeFromJudgement(current);
        heardSlots.clear(current.slot);
        stragglers.untrack(current.slot);
        lending.releaseSlot(current.slot);
        bySlot.remove(current.slot);
        byName.remove(current.server);
        marked.remove(current.server);
        freeSlots.add(current.slot);
        setDeadline(current.slot, Long.MAX_VALUE);
        gone.add(current);
        if (gone.size() > MAX_GONE) {
            gone.poll();
        }
    }

    private void adjustCounts(ServerRecord server, int delta) {
        live += server.status == ServerRecord.Status.LIVE ? delta : 0;
        out += server.status == ServerRecord.Status.OUT ? delta : 0;
    }

    private void removeFromJudgement(ServerRecord server) {
        proposal.remove(server.slot);
        probation.remove(server.slot);
    }

    // ---- changes of one server

    /**
     * Adds free slots when the settings allow more.
     *
     * @param before the earlier number of slots
     * @param after the number of slots from now on
     */
    void addSlots(int before, int after) {
        for (int slot = before; slot < after; slot++) {
            freeSlots.add(slot);
        }
    }

    /**
     * A server joins, in the slot that it has or else in a free one.
     *
     * @param processGeneration generation of the process, higher than that of any earlier one at this address. A join whose generation
     *     is no higher releases nothing, so that a delayed message takes nothing from a process that has joined since.
     */
    ServerRecord join(ServerId name, String listen, long processGeneration) {
        ServerRecord server = byName.computeIfAbsent(name, id -> new ServerRecord(freeSlots.pollFirst(), id, listen));
        bySlot.put(server.slot, server);
        if (processGeneration > server.processGeneration) {
            server.processGeneration = processGeneration;
            lending.releaseSlot(server.slot);
            server.health.onProcessStart();
            server.appliedRevision = RevisionId.NONE;
        }
        adjustCounts(server, -1);
        server.incarnation = new Incarnation(++lastIncarnation);
        server.status = ServerRecord.Status.ENTERING;
        server.reportNumber = 0;
        server.silent = false;
        server.marked = false;
        marked.remove(name);
        server.cause = "";
        server.enteredAt = now();
        server.deviatingSince = Long.MAX_VALUE;
        server.heardAtMs = context.wallMs();
        removeFromJudgement(server);
        settle(server);
        return server;
    }

    /** Makes a server that has entered live: it has applied the revision in force. */
    void admit(ServerRecord server) {
        if (server.status == ServerRecord.Status.ENTERING) {
            server.status = ServerRecord.Status.LIVE;
            server.liveSince = now();
            adjustCounts(server, 1);
        }
    }

    /** Renews the leases of a live server from now on. */
    void renewLease(ServerRecord server) {
        if (server.status == ServerRecord.Status.LIVE) {
            server.leaseDeadline = now() + settings().leaseDuration();
            server.floorDeadline = now() + settings().floorLeaseDuration();
            server.silent = false;
        }
    }

    /** A server leaves in an orderly way; its slot is free at once. */
    void leave(ServerRecord server) {
        current = server;
        releaseSlot();
        server.status = ServerRecord.Status.LEFT;
        server.outAtMs = context.wallMs();
    }

    // ---- deadlines

    /** When the passage of time alone next changes something, Long.MAX_VALUE for never. */
    long nextDeadline() {
        long first = deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.first().at;
        return Math.min(first, stragglers.nextDeadline(settings().maxBehindDuration()));
    }

    /** Examines all servers whose deadline has passed. */
    void settleDue() {
        while (!deadlines.isEmpty() && deadlines.first().at <= now()) {
            int slot = deadlines.first().slot;
            setDeadline(slot, Long.MAX_VALUE);
            settle(bySlot.get(slot));
        }
        while (stragglers.nextDeadline(settings().maxBehindDuration()) <= now()) {
            stragglers.takeNext().stream().forEach(slot -> settle(bySlot.get(slot)));
        }
    }

    /** Shuts out marked servers, as far as the limit on servers that are out now allows. */
    void shutOutMarked() {
        while (!marked.isEmpty() && mayShutOutAnother()) {
            ServerRecord first = byName.get(marked.first());
            int before = out;
            settle(first);
            if (out == before && first.marked) {
                return;
            }
        }
    }

    /** Examines every server, after a change of settings. */
    void settleAll() {
        List.copyOf(byName.values()).forEach(this::settle);
    }

    /** Applies the rules to a server, and notes when it is next to be examined. */
    void settle(ServerRecord server) {
        if (bySlot.get(server.slot) != server) {
            return;
        }
        current = server;
        rules.runUntilStable();
        if (bySlot.get(server.slot) == server) {
            reschedule(server);
        }
    }

    /** Notes when a server is next to be examined, and whether it counts as heard and as a straggler. */
    void reschedule(ServerRecord server) {
        heardSlots.set(server.slot, server.isHeard());
        if (server.status == ServerRecord.Status.LIVE && history.wasInForce(server.appliedRevision)) {
            stragglers.track(server.slot, server.appliedRevision);
        } else {
            stragglers.untrack(server.slot);
        }
        setDeadline(server.slot, deadlineOf(server));
    }

    private long deadlineOf(ServerRecord server) {
        long at = server.isHeard() ? server.leaseDeadline : Long.MAX_VALUE;
        if (server.status == ServerRecord.Status.ENTERING) {
            at = Math.min(at, behindSince(server) + settings().maxBehindDuration());
        }
        if (server.status == ServerRecord.Status.LIVE && !server.marked && server.deviatingSince != Long.MAX_VALUE) {
            at = Math.min(at, server.deviatingSince + settings().maxBehindDuration());
        }
        if (lending.hasGrants(server.slot)) {
            at = Math.min(at, server.leaseDeadline + context.maxOpenDuration());
        }
        if (server.status == ServerRecord.Status.OUT || server.silent) {
            at = Math.min(at, releaseAt(server));
        }
        return at;
    }

    private void setDeadline(int slot, long at) {
        Long before = at == Long.MAX_VALUE ? deadlineBySlot.remove(slot) : deadlineBySlot.put(slot, at);
        if (before != null && before == at) {
            return;
        }
        if (before != null) {
            deadlines.remove(new Deadline(before, slot));
        }
        if (at != Long.MAX_VALUE) {
            deadlines.add(new Deadline(at, slot));
        }
    }

    // ---- for snapshots

    void restore(long lastIncarnation) {
        this.lastIncarnation = lastIncarnation;
    }

    /** Restores a saved server; revisions and lending must have been restored before. */
    void restore(SnapshotPart.Server saved) {
        ServerRecord server = ServerRecord.load(saved);
        if (saved.gone()) {
            gone.add(server);
            return;
        }
        byName.put(server.server, server);
        bySlot.put(server.slot, server);
        freeSlots.remove(server.slot);
        adjustCounts(server, 1);
        if (server.marked) {
            marked.add(server.server);
        }
        probation.update(server);
        reschedule(server);
    }
}
