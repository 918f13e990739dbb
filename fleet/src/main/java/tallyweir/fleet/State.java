package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tallyweir.ids.TenantId;
import tallyweir.rules.Rules;

/**
 * What the voters agree on: which servers there are, which revision is in force, what each tenant's cap is lent to. Each
 * command of the log goes into one of these methods, after the clock that the leader stamped it with; the same commands
 * make the same state on every voter. The fleet's clock only goes on while somebody leads and never faster than a
 * leader's own, so what lasts a span by it lasts no less by any other, but for the ratio by which clocks run apart.
 */
public final class State {
    /** Of a lease: how often a fleet's share of a scarce cap is worked out anew, and servers report, at the least. */
    private static final int LEVELS_IN_LEASE = 40;

    private static final int REPORTS_IN_LEASE = 40;
    private static final int REPORTS_LEAST = 4;
    private static final int REPORTS_PER_SECOND = 2_000; // of all servers together
    private static final int FLAPS_MOST = 7; // doublings of the wait
    private static final int STEADY_LEASES = 20; // after which earlier times of being shut out are forgotten
    private static final int ENDED_LEAST = 20; // queries, before a server's share of bad ones tells anything
    private static final double WORSE_LEAST = 0.05; // a share below it is not worse, whatever it was before
    private static final String PROBATION = "probation"; // who rolls back what made a fleet fare worse
    private static final int GONE_MOST = 1_000;
    private static final long SECOND = 10_000;

    private record Due(long at, int place) implements Comparable<Due> {
        @Override
        public int compareTo(Due o) {
            return at != o.at ? Long.compare(at, o.at) : Integer.compare(place, o.place);
        }
    }

    private final Set<Guard> without;
    private final Rules ofSeat = new Rules();
    private final Rules ofFleet = new Rules();
    private final Lending lending;
    private final Revisions revisions = new Revisions();
    private final TreeMap<ServerId, Seat> seats = new TreeMap<>();
    private final TreeMap<Integer, Seat> places = new TreeMap<>();
    private final TreeSet<Integer> free = new TreeSet<>();
    private final TreeSet<ServerId> marked = new TreeSet<>();
    private final TreeSet<Due> dues = new TreeSet<>();
    private final TreeMap<Integer, Long> dueAt = new TreeMap<>();
    private final ArrayDeque<Seat> gone = new ArrayDeque<>();
    private String fleet = "";
    private long version;
    private long lease;
    private long tail;
    private long floorLease;
    private long behindMost;
    private long waitLeast;
    private double drift;
    private double mostOut;
    private double mostCannot;
    private int serversMost;
    private double floorShare;
    private long probation;
    private double worseRatio;
    private double sickShare;
    private long judgedAt;
    private long incarnations;
    private int live;
    private int out;
    private long now;
    private long wall;
    private Seat s; // what the rules are about

    public State() {
        this(Set.of());
    }

    /** @param without guards that are off, for checks only */
    public State(Set<Guard> without) {
        this.without = without.isEmpty() ? EnumSet.noneOf(Guard.class) : EnumSet.copyOf(without);
        lending = new Lending(!has(Guard.FLOOR), this::cap);
        // Of a server: first what its silence means, then whether it goes out, then what comes back from it.
        ofSeat.add(
                () -> s.standing == Seat.Standing.ENTERING && now >= s.behindSince + behindMost,
                () -> out("did not come in"));
        ofSeat.add(() -> s.standing == Seat.Standing.LIVE && !s.silent && now >= s.leaseUntil, this::silent);
        ofSeat.add(() -> stays() && s.marked, this::unmark);
        ofSeat.add(() -> mustGo() && room(), () -> out(whyGo()));
        ofSeat.add(() -> mustGo() && !s.marked, this::mark);
        ofSeat.add(() -> now >= s.leaseUntil + held(tail) && lending.holds(s.place), () -> lending.back(s.place));
        ofSeat.add(
                () -> places.get(s.place) == s
                        && (s.standing == Seat.Standing.OUT || s.silent)
                        && now >= Math.max(s.floorUntil + held(tail), s.mayReturn),
                this::forget);
        // Of the fleet: what is proposed comes into force or not.
        ofFleet.add(
                () -> revisions.open() && !revisions.allSaid() && now >= revisions.proposedUntil(),
                revisions::timeOver);
        ofFleet.add(
                () -> revisions.open()
                        && (revisions.forced() || revisions.allSaid() && revisions.cannotShare() <= mostCannot),
                this::comesIntoForce);
        ofFleet.add(() -> revisions.open() && revisions.allSaid(), revisions::turnDown);
        ofFleet.add(() -> onProbation() && now >= judgedAt + Math.max(1, lease / LEVELS_IN_LEASE), this::judge);
    }

    private boolean has(Guard g) {
        return !without.contains(g);
    }

    /** One more round of the rules for a server, after which it is noted when it is to be looked at again. */
    private void settle(Seat of) {
        if (places.get(of.place) != of) {
            return;
        }
        s = of;
        ofSeat.settle();
        if (places.get(of.place) == of) {
            due(of);
        }
    }

    private void due(Seat of) {
        long at = Long.MAX_VALUE;
        if (of.standing == Seat.Standing.LIVE && !of.silent) {
            at = of.leaseUntil;
        }
        if ((of.standing == Seat.Standing.ENTERING || of.standing == Seat.Standing.LIVE && !of.marked)
                && of.behindSince != Long.MAX_VALUE) {
            at = Math.min(at, of.behindSince + behindMost);
        }
        if (lending.holds(of.place)) {
            at = Math.min(at, of.leaseUntil + held(tail));
        }
        if (of.standing == Seat.Standing.OUT || of.silent) {
            at = Math.min(at, Math.max(of.floorUntil + held(tail), of.mayReturn));
        }
        Long before = at == Long.MAX_VALUE ? dueAt.remove(of.place) : dueAt.put(of.place, at);
        if (before != null) {
            dues.remove(new Due(before, of.place));
        }
        if (at != Long.MAX_VALUE) {
            dues.add(new Due(at, of.place));
        }
    }

    /** All that is due by now, then the rest; called at the end of each input. */
    private void settle() {
        while (!dues.isEmpty() && dues.first().at <= now) {
            Due d = dues.pollFirst();
            dueAt.remove(d.place);
            settle(places.get(d.place));
        }
        ofFleet.settle();
        while (!marked.isEmpty() && out + 1 <= outMost()) {
            int before = out;
            settle(seats.get(marked.first()));
            if (out == before && !marked.isEmpty() && seats.get(marked.first()).marked) {
                break;
            }
        }
    }

    private long held(long span) {
        return has(Guard.WAIT) ? span : 0;
    }

    // ---- the rules of a server

    private void silent() {
        s.silent = true;
        s.cause = "silent";
    }

    private boolean behindTooLong() {
        return s.behindSince != Long.MAX_VALUE && now >= s.behindSince + behindMost;
    }

    private boolean mustGo() {
        return s.standing == Seat.Standing.LIVE && (s.silent || behindTooLong());
    }

    private boolean stays() {
        return s.standing == Seat.Standing.LIVE && !s.silent && !behindTooLong();
    }

    private String whyGo() {
        return s.silent
                ? "silent"
                : s.odd
                        ? "what is in force there is not what revision " + s.acting.value() + " says"
                        : "behind: acts on revision " + s.acting.value() + " and not "
                                + revisions.inForce().value();
    }

    private int outMost() {
        return has(Guard.MOST_OUT) ? (int) Math.floor(mostOut * (live + out)) : Integer.MAX_VALUE;
    }

    private boolean room() {
        return out + 1 <= outMost();
    }

    private void mark() {
        s.marked = true;
        s.cause = whyGo() + "; too many are out to shut it out";
        marked.add(s.server);
    }

    private void unmark() {
        s.marked = false;
        s.cause = "";
        marked.remove(s.server);
    }

    private void out(String why) {
        if (s.standing == Seat.Standing.LIVE) {
            live--;
        }
        out++;
        s.standing = Seat.Standing.OUT;
        s.marked = false;
        marked.remove(s.server);
        s.cause = why;
        s.outWall = wall;
        s.behindSince = Long.MAX_VALUE;
        s.flaps = now - s.steadySince > STEADY_LEASES * lease ? 0 : Math.min(FLAPS_MOST, s.flaps + 1);
        s.mayReturn = now + (waitLeast << s.flaps);
        revisions.notLive(s.server);
    }

    /** Nobody is at the place any more, by any clock. */
    private void forget() {
        live -= s.standing == Seat.Standing.LIVE ? 1 : 0;
        out -= s.standing == Seat.Standing.OUT ? 1 : 0;
        lending.free(s.place);
        places.remove(s.place);
        seats.remove(s.server);
        marked.remove(s.server);
        free.add(s.place);
        Long due = dueAt.remove(s.place);
        if (due != null) {
            dues.remove(new Due(due, s.place));
        }
        gone.add(s);
        if (gone.size() > GONE_MOST) {
            gone.poll();
        }
    }

    /** The revision in force can still be taken back by itself: it is new, followed another, and was no such rollback. */
    private boolean onProbation() {
        Revision r = revisions.get(revisions.inForce());
        return r != null && now < r.since + probation && !r.by.equals(PROBATION) && revisions.before() != null;
    }

    /** Takes it back where enough servers fare worse than before it came into force. */
    private void judge() {
        judgedAt = now;
        int worse = 0;
        for (Seat each : seats.values()) {
            worse += each.standing == Seat.Standing.LIVE
                            && each.acting.equals(revisions.inForce())
                            && each.health.tells(ENDED_LEAST)
                            && each.health.worse(worseRatio, WORSE_LEAST)
                    ? 1
                    : 0;
        }
        if (worse > 0 && worse >= sickShare * live) {
            takeBack();
        }
    }

    /** Rolled back once, by the state itself: the one before comes into force again at this point of the log. */
    private void takeBack() {
        RevisionId sick = revisions.inForce();
        Revision back = revisions.before();
        if (revisions.open()) {
            revisions.turnDown();
        }
        revisions.propose(
                new OperatorCommand(PROBATION + " " + sick.value()),
                back.id,
                back.body,
                revisions.body(back.id),
                PROBATION,
                "under revision " + sick.value() + " more queries were late or errored than before",
                true,
                wall,
                now,
                List.of());
    }

    private void comesIntoForce() {
        Map<TenantId, Integer> before = caps();
        revisions.comesIntoForce(now, wall);
        lending.caps(revisions.inForce().value(), capChanges(before, caps()));
        seats.values().forEach(each -> each.health.change());
        for (Seat each : List.copyOf(seats.values())) {
            if (each.standing == Seat.Standing.LIVE || each.standing == Seat.Standing.ENTERING) {
                each.behindSince = now;
                each.odd = false;
                settle(each);
            }
        }
    }

    /** The cap of a tenant in the revision in force. */
    private int cap(TenantId tenant) {
        return caps().getOrDefault(tenant, Caps.UNCAPPED);
    }

    private static List<CapChange> capChanges(Map<TenantId, Integer> before, Map<TenantId, Integer> after) {
        Set<TenantId> named = new HashSet<>(before.keySet());
        named.addAll(after.keySet());
        List<CapChange> changes = new ArrayList<>();
        for (TenantId tenant : named) {
            int capBefore = before.getOrDefault(tenant, Caps.UNCAPPED);
            int capAfter = after.getOrDefault(tenant, Caps.UNCAPPED);
            if (capBefore != capAfter) {
                changes.add(new CapChange(tenant, capBefore, capAfter));
            }
        }
        return changes;
    }

    // ---- inputs

    /** What the next input was stamped with: the fleet's clock, tenths of a millisecond, and the wall's, ms since 1970. */
    public void clock(long at, long wall) {
        now = Math.max(now, at);
        this.wall = wall;
    }

    /**
     * Founds the fleet, or gives it newer settings.
     *
     * @param version of the settings; only a higher one than before is taken
     * @param lease how long a server may rely on what it is lent after a report
     * @param tail how long after that what it accepted may still be open by its own clock: longest hard limit and linger
     * @param floorLease so with its floors
     * @param behindMost how long a server may be behind before it is shut out
     * @param drift the ratio by which clocks may run fast or slow
     * @param mostOut the share of servers that may be shut out at once
     * @param mostCannot the share of servers up to which a revision comes into force though they cannot take it
     * @param serversMost places; this and the next are set once, since servers go by the floors that come of them
     * @param floorShare the part of a cap that is spread over all places as floors
     * @param probation how long after it came into force a revision is rolled back if servers fare worse, 0 for never
     * @param worseRatio how many times the share of late and errored queries before is worse
     * @param sickShare the share of live servers of which that has to be so
     */
    public void found(
            String fleet,
            long version,
            long lease,
            long tail,
            long floorLease,
            long behindMost,
            double drift,
            double mostOut,
            double mostCannot,
            int serversMost,
            double floorShare,
            long probation,
            double worseRatio,
            double sickShare,
            Answers to) {
        if (!this.fleet.isEmpty() && !this.fleet.equals(fleet)) {
            to.refused(new Fault.Stranger(fleet, this.fleet));
            return;
        }
        if (version > this.version) {
            settings(
                    fleet,
                    version,
                    lease,
                    Spans.waited(tail, drift),
                    floorLease,
                    behindMost,
                    drift,
                    mostOut,
                    mostCannot,
                    this.version > 0 ? this.serversMost : serversMost,
                    this.version > 0 ? this.floorShare : floorShare);
            probation(probation, worseRatio, sickShare);
            List.copyOf(seats.values()).forEach(this::settle);
        }
        settle();
        to.done(revisions.inForce());
    }

    private void probation(long span, double worseRatio, double sickShare) {
        probation = span;
        this.worseRatio = worseRatio;
        this.sickShare = sickShare;
    }

    private void settings(
            String fleet,
            long version,
            long lease,
            long tail,
            long floorLease,
            long behindMost,
            double drift,
            double mostOut,
            double mostCannot,
            int serversMost,
            double floorShare) {
        for (int p = this.serversMost; p < serversMost; p++) {
            free.add(p);
        }
        this.fleet = fleet;
        this.version = version;
        this.lease = lease;
        this.tail = tail;
        this.floorLease = floorLease;
        this.behindMost = behindMost;
        this.drift = drift;
        this.mostOut = mostOut;
        this.mostCannot = mostCannot;
        this.serversMost = serversMost;
        this.floorShare = floorShare;
        waitLeast = Math.max(1, lease / 10);
        lending.settings(serversMost, floorShare, lease / LEVELS_IN_LEASE);
    }

    /** The clock alone. */
    public void tick() {
        settle();
    }

    /**
     * A server wants a place, its own if it had one. That another process listens at the same address proves that the
     * one before has ended.
     *
     * @param life of the process, higher than that of any before at this address; one that is no higher frees nothing, so
     *     that a word which was long on its way takes nothing from who has come in since
     */
    public void join(String fleet, ServerId server, String listen, long life, Answers to) {
        if (!fleet.equals(this.fleet)) {
            to.refused(this.fleet.isEmpty() ? new Fault.NotFounded(fleet) : new Fault.Stranger(fleet, this.fleet));
            return;
        }
        settle();
        Seat seat = seats.get(server);
        if (seat != null && !seat.listen.equals(listen)) {
            to.refused(new Fault.NameTaken(server.value(), seat.listen));
        } else if (seat == null && free.isEmpty()) {
            to.refused(new Fault.NoPlace(serversMost));
        } else if (seat != null && seat.standing == Seat.Standing.OUT && now < seat.mayReturn) {
            to.refused(new Fault.NotYet(server.value(), seat.mayReturn - now));
        } else {
            enter(seat != null ? seat : seat(server, listen), life);
            to.joined(seats.get(server).as, serversMost, floorShare, next(seats.get(server)));
        }
        settle();
    }

    private Seat seat(ServerId server, String listen) {
        Seat seat = new Seat(free.pollFirst(), server, listen);
        seats.put(server, seat);
        places.put(seat.place, seat);
        return seat;
    }

    private void enter(Seat seat, long life) {
        if (life > seat.life) {
            seat.life = life;
            lending.free(seat.place);
            seat.health.begin();
            seat.acting = RevisionId.NONE;
        }
        live -= seat.standing == Seat.Standing.LIVE ? 1 : 0;
        out -= seat.standing == Seat.Standing.OUT ? 1 : 0;
        seat.as = new Incarnation(++incarnations);
        seat.standing = Seat.Standing.ENTERING;
        seat.number = 0;
        seat.silent = false;
        seat.marked = false;
        marked.remove(seat.server);
        seat.cause = "";
        seat.behindSince = now;
        seat.heardWall = wall;
        revisions.notLive(seat.server);
        settle(seat);
    }

    /**
     * A server says what is in force there. Only what names the incarnation it has here counts.
     *
     * @param number of the report, counted up by the server; the same one again changes nothing
     * @param inForce worked out from the parts in use
     * @param outdated queries begun under the revision before, after this one came into force, as far as it knows
     * @param checked the revision that it has looked at last, NONE for none
     * @param cannot why it cannot take that, empty if it can
     * @param ended queries that have ended since its process began
     * @param bad of them, late or errored
     */
    public void report(
            ServerId server,
            Incarnation as,
            long number,
            RevisionId acting,
            Digest inForce,
            long outdated,
            RevisionId checked,
            String cannot,
            long ended,
            long bad,
            Map<TenantId, Need> needs,
            Answers to) {
        settle();
        Seat seat = seats.get(server);
        Fault why = seat == null
                ? new Fault.ShutOut(server.value(), "it has no place here", 0)
                : !seat.as.equals(as) && has(Guard.INCARNATION)
                        ? new Fault.ShutOut(server.value(), "another incarnation of it has come", 0)
                        : seat.standing == Seat.Standing.OUT
                                ? new Fault.ShutOut(server.value(), seat.cause, Math.max(0, seat.mayReturn - now))
                                : null;
        if (why != null) {
            to.refused(why);
            return;
        }
        boolean fresh = number > seat.number || !seat.as.equals(as);
        if (fresh) {
            seat.number = number;
            seat.heardWall = wall;
            acts(seat, as, acting, inForce, outdated);
            seat.health.report(
                    ended, bad, onProbation() && acting.equals(revisions.inForce()), now, Math.max(1, probation));
            revisions.checked(server, checked, cannot);
            if (seat.standing == Seat.Standing.LIVE) {
                seat.leaseUntil = now + lease;
                seat.floorUntil = now + floorLease;
                seat.silent = false;
            }
            settle(seat);
            settle(); // who says last that it can hears at once that it is in force
        }
        if (seat.standing == Seat.Standing.OUT) {
            to.refused(new Fault.ShutOut(server.value(), seat.cause, Math.max(0, seat.mayReturn - now)));
        } else {
            boolean member = seat.standing == Seat.Standing.LIVE;
            Map<TenantId, Grant> shares =
                    !member ? Map.of() : fresh ? lending.report(seat.place, needs, now) : lending.lent(seat.place);
            due(seat);
            Revision r = revisions.get(revisions.inForce());
            to.told(
                    number,
                    member ? Spans.relied(lease, drift) : 0,
                    member ? Spans.relied(floorLease, drift) : 0,
                    lending.floorsFree(),
                    revisions.inForce(),
                    r == null ? 0 : now - r.since,
                    revisions.proposed(),
                    shares,
                    next(seat));
        }
        settle();
    }

    private void acts(Seat seat, Incarnation as, RevisionId acting, Digest inForce, long outdated) {
        if (!acting.equals(seat.acting)) {
            Revision to = revisions.get(acting);
            seat.pass(
                    new Passage(as, seat.acting, acting, to == null ? 0 : Math.max(0, now - to.since), outdated, wall));
            seat.acting = acting;
            lending.acting(seat.place, acting.value());
        }
        seat.inForce = inForce;
        Body body = revisions.body(acting);
        seat.odd = body != null
                && has(Guard.DIGEST)
                && !body.inForceAt(seat.server).equals(inForce);
        boolean right = acting.equals(revisions.inForce()) && !seat.odd;
        if (right && seat.standing == Seat.Standing.ENTERING) {
            seat.standing = Seat.Standing.LIVE;
            seat.steadySince = now;
            live++;
        }
        if (right) {
            seat.behindSince = Long.MAX_VALUE;
        } else if (seat.behindSince == Long.MAX_VALUE) {
            seat.behindSince = now;
        }
    }

    /** How soon a server should report again: the more there are, the more seldom. */
    private long next(Seat seat) {
        long pace = Math.max(lease / REPORTS_IN_LEASE, (long) (live + out) * SECOND / REPORTS_PER_SECOND);
        return Math.min(
                lease / REPORTS_LEAST, seat.behindSince != Long.MAX_VALUE || revisions.open() ? pace / 2 : pace);
    }

    /** A server has answered all that it had and ends. */
    public void leave(ServerId server, Incarnation as, Answers to) {
        settle();
        Seat seat = seats.get(server);
        if (seat != null && seat.as.equals(as)) {
            s = seat;
            forget();
            seat.standing = Seat.Standing.LEFT;
            seat.outWall = wall;
            revisions.notLive(server);
        }
        settle();
        to.done(revisions.inForce());
    }

    /**
     * An operator wants another revision.
     *
     * @param expected the last revision, in force or proposed, that the operator saw
     */
    public void publish(
            OperatorCommand command,
            RevisionId expected,
            Digest digest,
            Body body,
            String by,
            String why,
            boolean force,
            Answers to) {
        propose(command, expected, RevisionId.NONE, digest, body, by, why, force, to);
    }

    /** An operator wants an earlier revision back: a new one with the body of that. */
    public void rollback(
            OperatorCommand command,
            RevisionId expected,
            RevisionId back,
            String by,
            String why,
            boolean force,
            Answers to) {
        Revision r = revisions.get(back);
        if (revisions.by(command) == null
                && (r == null || r.fate == Revision.Fate.TURNED_DOWN || r.fate == Revision.Fate.PROPOSED)) {
            settle();
            to.refused(
                    new Fault.NoSuchRevision(back.value(), revisions.inForce().value()));
            return;
        }
        propose(command, expected, back, r == null ? Digest.NONE : r.body, revisions.body(back), by, why, force, to);
    }

    private void propose(
            OperatorCommand command,
            RevisionId expected,
            RevisionId of,
            Digest digest,
            Body body,
            String by,
            String why,
            boolean force,
            Answers to) {
        settle();
        Revision done = revisions.by(command);
        Revision last = revisions.get(revisions.open() ? revisions.proposed() : revisions.inForce());
        RevisionId is = last == null ? RevisionId.NONE : last.id;
        if (done != null) {
            to.done(done.id);
        } else if ((!is.equals(expected) || revisions.open()) && has(Guard.EXPECTED)) {
            to.refused(new Fault.LostRace(
                    expected.value(),
                    is.value(),
                    last == null ? "nobody" : last.by,
                    last == null ? 0 : last.proposedWall));
        } else {
            List<ServerId> ask = seats.values().stream()
                    .filter(x -> x.standing == Seat.Standing.LIVE && !x.silent)
                    .map(x -> x.server)
                    .toList();
            Revision r = revisions.propose(command, of, digest, body, by, why, force, wall, now + 2 * lease, ask);
            settle();
            to.done(r.id);
        }
    }

    // ---- what can be seen

    /** When the clock alone would change something, MAX_VALUE for never. */
    public long nextDue() {
        long at = dues.isEmpty() ? Long.MAX_VALUE : dues.first().at;
        return revisions.open() ? Math.min(at, revisions.proposedUntil()) : at;
    }

    public long now() {
        return now;
    }

    public String fleet() {
        return fleet;
    }

    public long version() {
        return version;
    }

    public RevisionId inForce() {
        return revisions.inForce();
    }

    public RevisionId proposed() {
        return revisions.proposed();
    }

    public Revision revision(RevisionId id) {
        return revisions.get(id);
    }

    public Collection<Revision> revisions() {
        return Collections.unmodifiableCollection(revisions.all());
    }

    /** What a revision says, null for one that there is not. */
    public Body body(RevisionId id) {
        return revisions.body(id);
    }

    public Collection<Seat> seats() {
        return Collections.unmodifiableCollection(seats.values());
    }

    /** Servers that have had a place and left it, the latest last. */
    public Collection<Seat> gone() {
        return Collections.unmodifiableCollection(gone);
    }

    public int live() {
        return live;
    }

    public int out() {
        return out;
    }

    /** All that may be relied on of a tenant's cap. */
    public long spoken(TenantId tenant) {
        return lending.spoken(tenant);
    }

    /** What servers are lent of a tenant's cap, beyond the floors. */
    public long lent(TenantId tenant) {
        return lending.granted(tenant);
    }

    /** The caps of the revision in force. */
    public Map<TenantId, Integer> caps() {
        return revisions.caps(revisions.inForce());
    }

    /** The floor of each server under a cap. */
    public int floor(int cap) {
        return lending.floor(cap);
    }

    // ---- for snapshots

    /** The whole, as plain maps and lists. */
    public Map<String, Object> save() {
        Map<String, Object> all = new TreeMap<>();
        all.put("fleet", fleet);
        all.put(
                "settings",
                List.of(
                        version,
                        lease,
                        tail,
                        floorLease,
                        behindMost,
                        drift,
                        mostOut,
                        mostCannot,
                        serversMost,
                        floorShare));
        all.put("probation", List.of(probation, worseRatio, sickShare));
        all.put("clock", List.of(now, wall, incarnations, judgedAt));
        all.put("revisions", revisions.save());
        List<Object> lent = new ArrayList<>();
        lending.save(part -> lent.add(saved(part)));
        all.put("lending", lent);
        all.put("seats", seats.values().stream().map(State::saved).toList());
        all.put("gone", gone.stream().map(State::saved).toList());
        return all;
    }

    private static List<Object> saved(LendingPart part) {
        if (part instanceof LendingPart.RevisionState state) {
            return List.of("revision", state.revision());
        }
        if (part instanceof LendingPart.PlaceState state) {
            return List.of("place", state.place(), state.revision());
        }
        LendingPart.PoolState pool = (LendingPart.PoolState) part;
        List<Object> floors = new ArrayList<>();
        pool.earlierFloors().forEach(each -> floors.add(List.of(each.until(), each.floor())));
        List<Object> shares = new ArrayList<>();
        pool.shares().forEach(each -> shares.add(List.of(each.place(), each.granted(), each.want(), each.extra())));
        return List.of(
                "pool", pool.tenant().value(), pool.cap(), pool.level(), pool.levelAt(), pool.turn(), floors, shares);
    }

    private static LendingPart loadedPart(List<?> f) {
        if (f.get(0).equals("revision")) {
            return new LendingPart.RevisionState(Revisions.number(f.get(1)));
        }
        if (f.get(0).equals("place")) {
            return new LendingPart.PlaceState((int) Revisions.number(f.get(1)), Revisions.number(f.get(2)));
        }
        List<LendingPart.EarlierFloor> floors = new ArrayList<>();
        for (Object each : (List<?>) f.get(6)) {
            List<?> floor = (List<?>) each;
            floors.add(
                    new LendingPart.EarlierFloor(Revisions.number(floor.get(0)), (int) Revisions.number(floor.get(1))));
        }
        List<LendingPart.ShareState> shares = new ArrayList<>();
        for (Object each : (List<?>) f.get(7)) {
            List<?> share = (List<?>) each;
            shares.add(new LendingPart.ShareState(
                    (int) Revisions.number(share.get(0)),
                    (int) Revisions.number(share.get(1)),
                    (int) Revisions.number(share.get(2)),
                    (Boolean) share.get(3)));
        }
        return new LendingPart.PoolState(
                new TenantId((String) f.get(1)),
                (int) Revisions.number(f.get(2)),
                (int) Revisions.number(f.get(3)),
                Revisions.number(f.get(4)),
                (int) Revisions.number(f.get(5)),
                floors,
                shares);
    }

    private static Object saved(Seat of) {
        List<Object> passages = new ArrayList<>();
        of.passages.forEach(p -> passages.add(
                List.of(p.as().value(), p.from().value(), p.to().value(), p.behind(), p.outdated(), p.wall())));
        return List.of(
                of.place,
                of.server.value(),
                of.listen,
                of.as.value(),
                of.standing.name(),
                of.number,
                of.leaseUntil,
                of.floorUntil,
                of.silent,
                of.marked,
                of.cause,
                of.acting.value(),
                of.inForce.value(),
                of.odd,
                of.behindSince,
                of.flaps,
                of.steadySince,
                of.mayReturn,
                of.heardWall,
                of.outWall,
                of.folded,
                of.foldedOutdated,
                passages,
                of.health.save(),
                of.life);
    }

    private static Seat loaded(List<?> f) {
        Seat of = new Seat((int) Revisions.number(f.get(0)), new ServerId((String) f.get(1)), (String) f.get(2));
        of.as = new Incarnation(Revisions.number(f.get(3)));
        of.standing = Seat.Standing.valueOf((String) f.get(4));
        of.number = Revisions.number(f.get(5));
        of.leaseUntil = Revisions.number(f.get(6));
        of.floorUntil = Revisions.number(f.get(7));
        of.silent = (Boolean) f.get(8);
        of.marked = (Boolean) f.get(9);
        of.cause = (String) f.get(10);
        of.acting = new RevisionId(Revisions.number(f.get(11)));
        of.inForce = new Digest((String) f.get(12));
        of.odd = (Boolean) f.get(13);
        of.behindSince = Revisions.number(f.get(14));
        of.flaps = (int) Revisions.number(f.get(15));
        of.steadySince = Revisions.number(f.get(16));
        of.mayReturn = Revisions.number(f.get(17));
        of.heardWall = Revisions.number(f.get(18));
        of.outWall = Revisions.number(f.get(19));
        of.folded = (int) Revisions.number(f.get(20));
        of.foldedOutdated = Revisions.number(f.get(21));
        of.health.load((List<?>) f.get(23));
        of.life = Revisions.number(f.get(24));
        for (Object each : (List<?>) f.get(22)) {
            List<?> p = (List<?>) each;
            of.passages.add(new Passage(
                    new Incarnation(Revisions.number(p.get(0))),
                    new RevisionId(Revisions.number(p.get(1))),
                    new RevisionId(Revisions.number(p.get(2))),
                    Revisions.number(p.get(3)),
                    Revisions.number(p.get(4)),
                    Revisions.number(p.get(5))));
        }
        return of;
    }

    /** Into a new state: what another saved. */
    public void load(Map<?, ?> all) {
        List<?> f = (List<?>) all.get("settings");
        settings(
                (String) all.get("fleet"),
                Revisions.number(f.get(0)),
                Revisions.number(f.get(1)),
                Revisions.number(f.get(2)),
                Revisions.number(f.get(3)),
                Revisions.number(f.get(4)),
                ((Number) f.get(5)).doubleValue(),
                ((Number) f.get(6)).doubleValue(),
                ((Number) f.get(7)).doubleValue(),
                (int) Revisions.number(f.get(8)),
                ((Number) f.get(9)).doubleValue());
        List<?> p = (List<?>) all.get("probation");
        probation(Revisions.number(p.get(0)), ((Number) p.get(1)).doubleValue(), ((Number) p.get(2)).doubleValue());
        List<?> clock = (List<?>) all.get("clock");
        judgedAt = Revisions.number(clock.get(3));
        now = Revisions.number(clock.get(0));
        wall = Revisions.number(clock.get(1));
        incarnations = Revisions.number(clock.get(2));
        revisions.load((Map<?, ?>) all.get("revisions"));
        ((List<?>) all.get("lending")).forEach(each -> lending.load(loadedPart((List<?>) each)));
        for (Object each : (List<?>) all.get("seats")) {
            Seat of = loaded((List<?>) each);
            seats.put(of.server, of);
            places.put(of.place, of);
            free.remove(of.place);
            live += of.standing == Seat.Standing.LIVE ? 1 : 0;
            out += of.standing == Seat.Standing.OUT ? 1 : 0;
            if (of.marked) {
                marked.add(of.server);
            }
            due(of);
        }
        ((List<?>) all.get("gone")).forEach(each -> gone.add(loaded((List<?>) each)));
    }
}
