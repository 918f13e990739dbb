package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import tallyweir.rules.Rules;

/**
 * The servers of the fleet and their slots: which are live, behind or shut out, and when each is next to be examined.
 * Times are tenths of a millisecond by the fleet's clock.
 */
final class ServerRegistry {
    private static final int FLAPS_MOST = 7; // bounds the doublings of the wait before a return
    private static final int STEADY_LEASES = 20; // after so many leases as live, earlier shut-outs are forgotten
    private static final int WAITS_IN_LEASE = 10;
    private static final int GONE_MOST = 1_000;

    private record Due(long at, int place) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Integer.compare(place, other.place);
        }
    }

    private final FleetContext context;
    private final RevisionHistory history;
    private final Proposal proposal;
    private final Probation probation;
    private final Lending lending;
    private final Stragglers stragglers;
    private final Rules rules = new Rules();
    private final TreeMap<ServerId, ServerRecord> byName = new TreeMap<>();
    private final Map<Integer, ServerRecord> byPlace = new HashMap<>();
    private final TreeSet<Integer> free = new TreeSet<>();
    private final TreeSet<ServerId> marked = new TreeSet<>();
    private final BitSet heard = new BitSet(); // slots of servers that are live and not silent
    private final TreeSet<Due> dues = new TreeSet<>();
    private final Map<Integer, Long> dueAt = new HashMap<>();
    private final ArrayDeque<ServerRecord> gone = new ArrayDeque<>();
    private long incarnations;
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
        rules.add(this::didNotComeIn, () -> out("did not come in"));
        rules.add(() -> current.isHeard() && now() >= current.leaseUntil, this::silent);
        rules.add(() -> stays() && current.marked, this::unmark);
        rules.add(() -> mustGo() && hasRoom(), () -> out(whyGo()));
        rules.add(() -> mustGo() && !current.marked, this::mark);
        rules.add(() -> nothingIsOpen() && lending.holds(current.place), () -> lending.back(current.place));
        rules.add(this::nobodyIsThere, this::release);
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
        return byPlace.get(slot).server;
    }

    boolean hasPlace() {
        return !free.isEmpty();
    }

    /** Slots of the servers that are live and not silent. */
    BitSet heard() {
        return heard;
    }

    /** The number of live servers, silent ones included. */
    int live() {
        return live;
    }

    /** The number of servers that are shut out and still have a slot. */
    int out() {
        return out;
    }

    long incarnations() {
        return incarnations;
    }

    /** Since when a server has not applied the revision in force, Long.MAX_VALUE if it has. */
    long behindSince(ServerRecord server) {
        if (server.status == ServerRecord.Status.ENTERING) {
            return Math.max(server.enteredAt, history.inForceSince());
        }
        return Math.min(server.wrongSince, history.supersededAt(server.acting));
    }

    // ---- the rules of a server

    private boolean didNotComeIn() {
        return current.status == ServerRecord.Status.ENTERING && behindTooLong();
    }

    private boolean behindTooLong() {
        long since = behindSince(current);
        return since != Long.MAX_VALUE && now() >= since + settings().behindMost();
    }

    private boolean mustGo() {
        return current.status == ServerRecord.Status.LIVE && (current.silent || behindTooLong());
    }

    private boolean stays() {
        return current.isHeard() && !behindTooLong();
    }

    /** Whether no connection that it accepted on its grants can be open any more. */
    private boolean nothingIsOpen() {
        return now() >= current.leaseUntil + context.tail();
    }

    private boolean nobodyIsThere() {
        return byPlace.get(current.place) == current
                && (current.status == ServerRecord.Status.OUT || current.silent)
                && now() >= forgetAt(current);
    }

    private long forgetAt(ServerRecord server) {
        return Math.max(server.floorUntil + context.tail(), server.mayReturn);
    }

    private void silent() {
        current.silent = true;
        current.cause = "silent";
    }

    private String whyGo() {
        if (current.silent) {
            return "silent";
        }
        return current.odd
                ? "what is in force there is not what revision " + current.acting.value() + " says"
                : "behind: acts on revision " + current.acting.value() + " and not "
                        + history.inForceId().value();
    }

    private int outMost() {
        return context.has(Guard.MOST_OUT) ? (int) Math.floor(settings().mostOut() * (live + out)) : Integer.MAX_VALUE;
    }

    private boolean hasRoom() {
        return out + 1 <= outMost();
    }

    private void mark() {
        current.marked = true;
        current.cause = whyGo() + "; too many are out to shut it out";
        marked.add(current.server);
    }

    private void unmark() {
        current.marked = false;
        current.cause = "";
        marked.remove(current.server);
    }

    private void out(String why) {
        count(current, -1);
        current.status = ServerRecord.Status.OUT;
        count(current, 1);
        current.marked = false;
        marked.remove(current.server);
        current.cause = why;
        current.outWall = context.wall();
        boolean wasSteady =
                now() - current.steadySince > STEADY_LEASES * settings().lease();
        current.flaps = wasSteady ? 0 : Math.min(FLAPS_MOST, current.flaps + 1);
        long waitLeast = Math.max(1, settings().lease() / WAITS_IN_LEASE);
        current.mayReturn = now() + (waitLeast << current.flaps);
        removeFromVotes(current);
    }

    /** Frees the slot of the current server: by any clock nobody uses it any more. */
    private void release() {
        count(current, -1);
        removeFromVotes(current);
        heard.clear(current.place);
        stragglers.untrack(current.place);
        lending.free(current.place);
        byPlace.remove(current.place);
        byName.remove(current.server);
        marked.remove(current.server);
        free.add(current.place);
        due(current.place, Long.MAX_VALUE);
        gone.add(current);
        if (gone.size() > GONE_MOST) {
            gone.poll();
        }
    }

    private void count(ServerRecord server, int by) {
        live += server.status == ServerRecord.Status.LIVE ? by : 0;
        out += server.status == ServerRecord.Status.OUT ? by : 0;
    }

    private void removeFromVotes(ServerRecord server) {
        proposal.remove(server.place);
        probation.remove(server.place);
    }

    // ---- changes of one server

    /**
     * Adds free slots when the settings allow more.
     *
     * @param before the earlier number of slots
     * @param most the number of slots from now on
     */
    void places(int before, int most) {
        for (int slot = before; slot < most; slot++) {
            free.add(slot);
        }
    }

    /**
     * A server joins, in the slot that it has or else in a free one.
     *
     * @param life generation of the process, higher than that of any earlier one at this address. A join whose generation
     *     is no higher releases nothing, so that a delayed message takes nothing from a process that has joined since.
     */
    ServerRecord join(ServerId name, String listen, long life) {
        ServerRecord server = byName.computeIfAbsent(name, id -> new ServerRecord(free.pollFirst(), id, listen));
        byPlace.put(server.place, server);
        if (life > server.life) {
            server.life = life;
            lending.free(server.place);
            server.health.begin();
            server.acting = RevisionId.NONE;
        }
        count(server, -1);
        server.as = new Incarnation(++incarnations);
        server.status = ServerRecord.Status.ENTERING;
        server.number = 0;
        server.silent = false;
        server.marked = false;
        marked.remove(name);
        server.cause = "";
        server.enteredAt = now();
        server.wrongSince = Long.MAX_VALUE;
        server.heardWall = context.wall();
        removeFromVotes(server);
        settle(server);
        return server;
    }

    /** Makes a server that has entered live: it has applied the revision in force. */
    void admit(ServerRecord server) {
        if (server.status == ServerRecord.Status.ENTERING) {
            server.status = ServerRecord.Status.LIVE;
            server.steadySince = now();
            count(server, 1);
        }
    }

    /** Renews the leases of a live server from now on. */
    void renewLease(ServerRecord server) {
        if (server.status == ServerRecord.Status.LIVE) {
            server.leaseUntil = now() + settings().lease();
            server.floorUntil = now() + settings().floorLease();
            server.silent = false;
        }
    }

    /** A server leaves in an orderly way; its slot is free at once. */
    void leave(ServerRecord server) {
        current = server;
        release();
        server.status = ServerRecord.Status.LEFT;
        server.outWall = context.wall();
    }

    // ---- deadlines

    /** When the passage of time alone next changes something, Long.MAX_VALUE for never. */
    long nextDue() {
        long first = dues.isEmpty() ? Long.MAX_VALUE : dues.first().at;
        return Math.min(first, stragglers.due(settings().behindMost()));
    }

    /** Examines all servers whose deadline has passed. */
    void settleDue() {
        while (!dues.isEmpty() && dues.first().at <= now()) {
            int slot = dues.first().place;
            due(slot, Long.MAX_VALUE);
            settle(byPlace.get(slot));
        }
        while (stragglers.due(settings().behindMost()) <= now()) {
            stragglers.takeDue().stream().forEach(slot -> settle(byPlace.get(slot)));
        }
    }

    /** Shuts out marked servers, as far as the limit on servers that are out now allows. */
    void shutOutMarked() {
        while (!marked.isEmpty() && hasRoom()) {
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
        if (byPlace.get(server.place) != server) {
            return;
        }
        current = server;
        rules.settle();
        if (byPlace.get(server.place) == server) {
            reschedule(server);
        }
    }

    /** Notes when a server is next to be examined, and whether it counts as heard and as a straggler. */
    void reschedule(ServerRecord server) {
        heard.set(server.place, server.isHeard());
        if (server.status == ServerRecord.Status.LIVE && history.wasInForce(server.acting)) {
            stragglers.track(server.place, server.acting);
        } else {
            stragglers.untrack(server.place);
        }
        due(server.place, dueOf(server));
    }

    private long dueOf(ServerRecord server) {
        long at = server.isHeard() ? server.leaseUntil : Long.MAX_VALUE;
        if (server.status == ServerRecord.Status.ENTERING) {
            at = Math.min(at, behindSince(server) + settings().behindMost());
        }
        if (server.status == ServerRecord.Status.LIVE && !server.marked && server.wrongSince != Long.MAX_VALUE) {
            at = Math.min(at, server.wrongSince + settings().behindMost());
        }
        if (lending.holds(server.place)) {
            at = Math.min(at, server.leaseUntil + context.tail());
        }
        if (server.status == ServerRecord.Status.OUT || server.silent) {
            at = Math.min(at, forgetAt(server));
        }
        return at;
    }

    private void due(int slot, long at) {
        Long before = at == Long.MAX_VALUE ? dueAt.remove(slot) : dueAt.put(slot, at);
        if (before != null && before == at) {
            return;
        }
        if (before != null) {
            dues.remove(new Due(before, slot));
        }
        if (at != Long.MAX_VALUE) {
            dues.add(new Due(at, slot));
        }
    }

    // ---- for snapshots

    void restore(long incarnations) {
        this.incarnations = incarnations;
    }

    /** Restores a saved server; revisions and lending must have been restored before. */
    void restore(SnapshotPart.Server saved) {
        ServerRecord server = ServerRecord.load(saved);
        if (saved.gone()) {
            gone.add(server);
            return;
        }
        byName.put(server.server, server);
        byPlace.put(server.place, server);
        free.remove(server.place);
        count(server, 1);
        if (server.marked) {
            marked.add(server.server);
        }
        probation.note(server);
        reschedule(server);
    }
}
