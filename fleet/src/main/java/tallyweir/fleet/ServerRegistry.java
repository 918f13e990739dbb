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

/** The servers of the fleet and their places: who is live, behind or shut out, and when each is to be looked at again. */
final class ServerRegistry {
    private static final int FLAPS_MOST = 7; // doublings of the wait
    private static final int STEADY_LEASES = 20; // after which earlier times of being shut out are forgotten
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
    private final BitSet heard = new BitSet(); // places of servers that are live and not silent
    private final TreeSet<Due> dues = new TreeSet<>();
    private final Map<Integer, Long> dueAt = new HashMap<>();
    private final ArrayDeque<ServerRecord> gone = new ArrayDeque<>();
    private long incarnations;
    private int live;
    private int out;
    private ServerRecord current; // what the rules are about

    ServerRegistry(
            FleetContext context, RevisionHistory history, Proposal proposal, Probation probation, Lending lending) {
        this.context = context;
        this.history = history;
        this.proposal = proposal;
        this.probation = probation;
        this.lending = lending;
        stragglers = new Stragglers(history);
        // First what a server's silence means, then whether it goes out, then what comes back from it.
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

    // ---- what there is

    /** The server of that name, null if it has no place. */
    ServerRecord get(ServerId server) {
        return byName.get(server);
    }

    Collection<ServerRecord> all() {
        return byName.values();
    }

    /** Servers that have had a place and left it, the latest last. */
    Collection<ServerRecord> gone() {
        return gone;
    }

    ServerId serverAt(int place) {
        return byPlace.get(place).server;
    }

    boolean hasPlace() {
        return !free.isEmpty();
    }

    /** Places of the servers that are live and not silent. */
    BitSet heard() {
        return heard;
    }

    int live() {
        return live;
    }

    int out() {
        return out;
    }

    long incarnations() {
        return incarnations;
    }

    /** Since when a server does not act as the revision in force says, Long.MAX_VALUE if it does. */
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

    /** Nothing that it accepted on what it was lent can be open any more. */
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

    /** Nobody is at the place any more, by any clock. */
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

    // ---- what happens to one

    /** The settings allow for so many places. */
    void places(int before, int most) {
        for (int place = before; place < most; place++) {
            free.add(place);
        }
    }

    /**
     * A server comes to its place, or to a free one.
     *
     * @param life of the process, higher than that of any before at this address; one that is no higher frees nothing, so
     *     that a word which was long on its way takes nothing from who has come in since
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

    /** What is in force at a server is what the revision in force says. */
    void admit(ServerRecord server) {
        if (server.status == ServerRecord.Status.ENTERING) {
            server.status = ServerRecord.Status.LIVE;
            server.steadySince = now();
            count(server, 1);
        }
    }

    /** A live server may rely on what it is lent for another lease. */
    void renewLease(ServerRecord server) {
        if (server.status == ServerRecord.Status.LIVE) {
            server.leaseUntil = now() + settings().lease();
            server.floorUntil = now() + settings().floorLease();
            server.silent = false;
        }
    }

    /** A server ends in an orderly way. */
    void leave(ServerRecord server) {
        current = server;
        release();
        server.status = ServerRecord.Status.LEFT;
        server.outWall = context.wall();
    }

    // ---- what is due

    /** When the clock alone would change something, Long.MAX_VALUE for never. */
    long nextDue() {
        long first = dues.isEmpty() ? Long.MAX_VALUE : dues.first().at;
        return Math.min(first, stragglers.due(settings().behindMost()));
    }

    /** All that is due by now. */
    void settleDue() {
        while (!dues.isEmpty() && dues.first().at <= now()) {
            int place = dues.first().place;
            due(place, Long.MAX_VALUE);
            settle(byPlace.get(place));
        }
        while (stragglers.due(settings().behindMost()) <= now()) {
            stragglers.takeDue().stream().forEach(place -> settle(byPlace.get(place)));
        }
    }

    /** Those that ought to be shut out are, as far as that is allowed by now. */
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

    /** Every server is looked at: other settings. */
    void settleAll() {
        List.copyOf(byName.values()).forEach(this::settle);
    }

    /** One more round of the rules for a server, after which it is noted when it is to be looked at again. */
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

    /** Notes when a server is to be looked at again, and among whom it counts. */
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

    private void due(int place, long at) {
        Long before = at == Long.MAX_VALUE ? dueAt.remove(place) : dueAt.put(place, at);
        if (before != null && before == at) {
            return;
        }
        if (before != null) {
            dues.remove(new Due(before, place));
        }
        if (at != Long.MAX_VALUE) {
            dues.add(new Due(at, place));
        }
    }

    // ---- for snapshots

    void restore(long incarnations) {
        this.incarnations = incarnations;
    }

    /** Puts back a server that was saved, after the revisions and what is lent. */
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
