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
    private final TreeMap<ServerId, Seat> byName = new TreeMap<>();
    private final Map<Integer, Seat> byPlace = new HashMap<>();
    private final TreeSet<Integer> free = new TreeSet<>();
    private final TreeSet<ServerId> marked = new TreeSet<>();
    private final BitSet heard = new BitSet(); // places of servers that are live and not silent
    private final TreeSet<Due> dues = new TreeSet<>();
    private final Map<Integer, Long> dueAt = new HashMap<>();
    private final ArrayDeque<Seat> gone = new ArrayDeque<>();
    private long incarnations;
    private int live;
    private int out;
    private Seat seat; // what the rules are about

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
        rules.add(() -> seat.isHeard() && now() >= seat.leaseUntil, this::silent);
        rules.add(() -> stays() && seat.marked, this::unmark);
        rules.add(() -> mustGo() && hasRoom(), () -> out(whyGo()));
        rules.add(() -> mustGo() && !seat.marked, this::mark);
        rules.add(() -> nothingIsOpen() && lending.holds(seat.place), () -> lending.back(seat.place));
        rules.add(this::nobodyIsThere, this::forget);
    }

    private long now() {
        return context.now();
    }

    private FleetSettings settings() {
        return context.settings();
    }

    // ---- what there is

    /** The server of that name, null if it has no place. */
    Seat get(ServerId server) {
        return byName.get(server);
    }

    Collection<Seat> all() {
        return byName.values();
    }

    /** Servers that have had a place and left it, the latest last. */
    Collection<Seat> gone() {
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
    long behindSince(Seat of) {
        if (of.standing == Seat.Standing.ENTERING) {
            return Math.max(of.enteredAt, history.inForceSince());
        }
        return Math.min(of.wrongSince, history.supersededAt(of.acting));
    }

    // ---- the rules of a server

    private boolean didNotComeIn() {
        return seat.standing == Seat.Standing.ENTERING && behindTooLong();
    }

    private boolean behindTooLong() {
        long since = behindSince(seat);
        return since != Long.MAX_VALUE && now() >= since + settings().behindMost();
    }

    private boolean mustGo() {
        return seat.standing == Seat.Standing.LIVE && (seat.silent || behindTooLong());
    }

    private boolean stays() {
        return seat.isHeard() && !behindTooLong();
    }

    /** Nothing that it accepted on what it was lent can be open any more. */
    private boolean nothingIsOpen() {
        return now() >= seat.leaseUntil + context.tail();
    }

    private boolean nobodyIsThere() {
        return byPlace.get(seat.place) == seat
                && (seat.standing == Seat.Standing.OUT || seat.silent)
                && now() >= forgetAt(seat);
    }

    private long forgetAt(Seat of) {
        return Math.max(of.floorUntil + context.tail(), of.mayReturn);
    }

    private void silent() {
        seat.silent = true;
        seat.cause = "silent";
    }

    private String whyGo() {
        if (seat.silent) {
            return "silent";
        }
        return seat.odd
                ? "what is in force there is not what revision " + seat.acting.value() + " says"
                : "behind: acts on revision " + seat.acting.value() + " and not "
                        + history.inForceId().value();
    }

    private int outMost() {
        return context.has(Guard.MOST_OUT) ? (int) Math.floor(settings().mostOut() * (live + out)) : Integer.MAX_VALUE;
    }

    private boolean hasRoom() {
        return out + 1 <= outMost();
    }

    private void mark() {
        seat.marked = true;
        seat.cause = whyGo() + "; too many are out to shut it out";
        marked.add(seat.server);
    }

    private void unmark() {
        seat.marked = false;
        seat.cause = "";
        marked.remove(seat.server);
    }

    private void out(String why) {
        count(seat, -1);
        seat.standing = Seat.Standing.OUT;
        count(seat, 1);
        seat.marked = false;
        marked.remove(seat.server);
        seat.cause = why;
        seat.outWall = context.wall();
        boolean wasSteady =
                now() - seat.steadySince > STEADY_LEASES * settings().lease();
        seat.flaps = wasSteady ? 0 : Math.min(FLAPS_MOST, seat.flaps + 1);
        long waitLeast = Math.max(1, settings().lease() / WAITS_IN_LEASE);
        seat.mayReturn = now() + (waitLeast << seat.flaps);
        notLive(seat);
    }

    /** Nobody is at the place any more, by any clock. */
    private void forget() {
        count(seat, -1);
        notLive(seat);
        heard.clear(seat.place);
        stragglers.untrack(seat.place);
        lending.free(seat.place);
        byPlace.remove(seat.place);
        byName.remove(seat.server);
        marked.remove(seat.server);
        free.add(seat.place);
        due(seat.place, Long.MAX_VALUE);
        gone.add(seat);
        if (gone.size() > GONE_MOST) {
            gone.poll();
        }
    }

    private void count(Seat of, int by) {
        live += of.standing == Seat.Standing.LIVE ? by : 0;
        out += of.standing == Seat.Standing.OUT ? by : 0;
    }

    private void notLive(Seat of) {
        proposal.notLive(of.place);
        probation.notLive(of.place);
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
    Seat enter(ServerId server, String listen, long life) {
        Seat of = byName.computeIfAbsent(server, name -> new Seat(free.pollFirst(), name, listen));
        byPlace.put(of.place, of);
        if (life > of.life) {
            of.life = life;
            lending.free(of.place);
            of.health.begin();
            of.acting = RevisionId.NONE;
        }
        count(of, -1);
        of.as = new Incarnation(++incarnations);
        of.standing = Seat.Standing.ENTERING;
        of.number = 0;
        of.silent = false;
        of.marked = false;
        marked.remove(server);
        of.cause = "";
        of.enteredAt = now();
        of.wrongSince = Long.MAX_VALUE;
        of.heardWall = context.wall();
        notLive(of);
        settle(of);
        return of;
    }

    /** What is in force at a server is what the revision in force says. */
    void comesIn(Seat of) {
        if (of.standing == Seat.Standing.ENTERING) {
            of.standing = Seat.Standing.LIVE;
            of.steadySince = now();
            count(of, 1);
        }
    }

    /** A live server may rely on what it is lent for another lease. */
    void renew(Seat of) {
        if (of.standing == Seat.Standing.LIVE) {
            of.leaseUntil = now() + settings().lease();
            of.floorUntil = now() + settings().floorLease();
            of.silent = false;
        }
    }

    /** A server ends in an orderly way. */
    void leave(Seat of) {
        seat = of;
        forget();
        of.standing = Seat.Standing.LEFT;
        of.outWall = context.wall();
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
    void settleMarked() {
        while (!marked.isEmpty() && hasRoom()) {
            Seat first = byName.get(marked.first());
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
    void settle(Seat of) {
        if (byPlace.get(of.place) != of) {
            return;
        }
        seat = of;
        rules.settle();
        if (byPlace.get(of.place) == of) {
            note(of);
        }
    }

    /** Notes when a server is to be looked at again, and among whom it counts. */
    void note(Seat of) {
        heard.set(of.place, of.isHeard());
        if (of.standing == Seat.Standing.LIVE && history.wasInForce(of.acting)) {
            stragglers.track(of.place, of.acting);
        } else {
            stragglers.untrack(of.place);
        }
        due(of.place, dueOf(of));
    }

    private long dueOf(Seat of) {
        long at = of.isHeard() ? of.leaseUntil : Long.MAX_VALUE;
        if (of.standing == Seat.Standing.ENTERING) {
            at = Math.min(at, behindSince(of) + settings().behindMost());
        }
        if (of.standing == Seat.Standing.LIVE && !of.marked && of.wrongSince != Long.MAX_VALUE) {
            at = Math.min(at, of.wrongSince + settings().behindMost());
        }
        if (lending.holds(of.place)) {
            at = Math.min(at, of.leaseUntil + context.tail());
        }
        if (of.standing == Seat.Standing.OUT || of.silent) {
            at = Math.min(at, forgetAt(of));
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
        Seat of = Seat.load(saved);
        if (saved.gone()) {
            gone.add(of);
            return;
        }
        byName.put(of.server, of);
        byPlace.put(of.place, of);
        free.remove(of.place);
        count(of, 1);
        if (of.marked) {
            marked.add(of.server);
        }
        probation.note(of);
        note(of);
    }
}
