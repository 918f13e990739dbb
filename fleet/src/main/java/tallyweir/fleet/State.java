package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
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
    private FleetSettings settings = FleetSettings.NONE;
    private long tail; // of the settings, so that it has passed by any server's clock
    private long waitLeast;
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
                () -> s.standing == Seat.Standing.ENTERING && now >= s.behindSince + settings.behindMost(),
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
                        && (revisions.forced()
                                || revisions.allSaid() && revisions.cannotShare() <= settings.mostCannot()),
                this::comesIntoForce);
        ofFleet.add(() -> revisions.open() && revisions.allSaid(), revisions::turnDown);
        ofFleet.add(
                () -> onProbation() && now >= judgedAt + Math.max(1, settings.lease() / LEVELS_IN_LEASE), this::judge);
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
            at = Math.min(at, of.behindSince + settings.behindMost());
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
        return s.behindSince != Long.MAX_VALUE && now >= s.behindSince + settings.behindMost();
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
        return has(Guard.MOST_OUT) ? (int) Math.floor(settings.mostOut() * (live + out)) : Integer.MAX_VALUE;
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
        s.flaps = now - s.steadySince > STEADY_LEASES * settings.lease() ? 0 : Math.min(FLAPS_MOST, s.flaps + 1);
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
        return r != null
                && now < r.since + settings.probation()
                && !r.by().equals(PROBATION)
                && revisions.before() != null;
    }

    /** Takes it back where enough servers fare worse than before it came into force. */
    private void judge() {
        judgedAt = now;
        int worse = 0;
        for (Seat each : seats.values()) {
            worse += each.standing == Seat.Standing.LIVE
                            && each.acting.equals(revisions.inForce())
                            && each.health.tells(ENDED_LEAST)
                            && each.health.worse(settings.worseRatio(), WORSE_LEAST)
                    ? 1
                    : 0;
        }
        if (worse > 0 && worse >= settings.sickShare() * live) {
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
        ChangeRecord record = new ChangeRecord(
                new OperatorCommand(PROBATION + " " + sick.value()),
                ChangeRecord.Kind.ROLLBACK,
                List.of(),
                PROBATION,
                "under revision " + sick.value() + " more queries were late or errored than before",
                true,
                wall);
        revisions.propose(sick, back.id, back.table(), List.of(record), true, wall, now, List.of());
    }

    /** The caps of a revision, none for one that is not there. */
    private Map<TenantId, Integer> caps(RevisionId id) {
        Map<TenantId, Integer> caps = new HashMap<>();
        Table table = revisions.table(id);
        if (table != null) {
            table.forEach(entry -> {
                if (entry.value() instanceof Value.Cap cap) {
                    caps.put(new TenantId(entry.key().name()), cap.connections());
                }
            });
        }
        return caps;
    }

    /** The cap of a tenant in the revision in force. */
    private int cap(TenantId tenant) {
        return connections(revisions.table(revisions.inForce()).get(new Key(Kind.CAP, tenant.value())));
    }

    /** What the entry of a cap says. */
    static int connections(Optional<Value> cap) {
        return cap.map(value -> ((Value.Cap) value).connections()).orElse(Caps.UNCAPPED);
    }

    private static List<CapChange> capChanges(List<Change> changes) {
        return changes.stream()
                .filter(change -> change.key().kind() == Kind.CAP)
                .map(change -> new CapChange(
                        new TenantId(change.key().name()), connections(change.before()), connections(change.after())))
                .toList();
    }

    private void comesIntoForce() {
        Table before = revisions.table(revisions.inForce());
        revisions.comesIntoForce(now, wall);
        Table after = revisions.table(revisions.inForce());
        lending.caps(revisions.inForce().value(), capChanges(before.differenceTo(after)));
        seats.values().forEach(each -> each.health.change());
        for (Seat each : List.copyOf(seats.values())) {
            if (each.standing == Seat.Standing.LIVE || each.standing == Seat.Standing.ENTERING) {
                each.behindSince = now;
                each.odd = false;
                settle(each);
            }
        }
    }

    // ---- inputs

    /** What the next command was stamped with: the fleet's clock, tenths of a millisecond, and the wall's, ms since 1970. */
    public void clock(long at, long wall) {
        now = Math.max(now, at);
        this.wall = wall;
    }

    /** What a command does, and its answer; the clock has been set to its stamp before. */
    public Answer apply(Command command) {
        if (command instanceof Command.Report report) {
            return report(report);
        } else if (command instanceof Command.Join join) {
            return join(join);
        } else if (command instanceof Command.Leave leave) {
            return leave(leave);
        } else if (command instanceof Command.ChangeEntries change) {
            return change(change);
        } else if (command instanceof Command.Publish publish) {
            return publish(publish);
        } else if (command instanceof Command.Rollback rollback) {
            return rollback(rollback);
        } else if (command instanceof Command.Found found) {
            return found(found);
        }
        settle(); // a tick
        return new Answer.Done(revisions.inForce());
    }

    private Answer found(Command.Found found) {
        if (!fleet.isEmpty() && !fleet.equals(found.fleet())) {
            return new Answer.Refused(new Fault.Stranger(found.fleet(), fleet));
        }
        if (found.settings().version() > settings.version()) {
            boolean first = settings.version() == 0;
            settings(found.fleet(), first ? found.settings() : found.settings().after(settings));
            List.copyOf(seats.values()).forEach(this::settle);
        }
        settle();
        return new Answer.Done(revisions.inForce());
    }

    private void settings(String fleet, FleetSettings of) {
        for (int place = settings.serversMost(); place < of.serversMost(); place++) {
            free.add(place);
        }
        this.fleet = fleet;
        settings = of;
        tail = Spans.waited(of.tail(), of.drift());
        waitLeast = Math.max(1, of.lease() / 10);
        lending.settings(of.serversMost(), of.floorShare(), of.lease() / LEVELS_IN_LEASE);
    }

    /**
     * A server wants a place, its own if it had one. That another process listens at the same address proves that the
     * one before has ended.
     */
    private Answer join(Command.Join join) {
        if (!join.fleet().equals(fleet)) {
            return new Answer.Refused(
                    fleet.isEmpty() ? new Fault.NotFounded(join.fleet()) : new Fault.Stranger(join.fleet(), fleet));
        }
        settle();
        Seat seat = seats.get(join.server());
        Answer answer;
        if (seat != null && !seat.listen.equals(join.listen())) {
            answer = new Answer.Refused(new Fault.NameTaken(join.server().value(), seat.listen));
        } else if (seat == null && free.isEmpty()) {
            answer = new Answer.Refused(new Fault.NoPlace(settings.serversMost()));
        } else if (seat != null && seat.standing == Seat.Standing.OUT && now < seat.mayReturn) {
            answer = new Answer.Refused(new Fault.NotYet(join.server().value(), seat.mayReturn - now));
        } else {
            enter(seat != null ? seat : seat(join.server(), join.listen()), join.life());
            seat = seats.get(join.server());
            answer = new Answer.Joined(seat.as, settings.serversMost(), settings.floorShare(), next(seat));
        }
        settle();
        return answer;
    }

    private Seat seat(ServerId server, String listen) {
        Seat seat = new Seat(free.pollFirst(), server, listen);
        seats.put(server, seat);
        places.put(seat.place, seat);
        return seat;
    }

    /**
     * @param life of the process, higher than that of any before at this address; one that is no higher frees nothing, so
     *     that a word which was long on its way takes nothing from who has come in since
     */
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

    /** A server says what is in force there. Only what names the incarnation it has here counts. */
    private Answer report(Command.Report report) {
        settle();
        Seat seat = seats.get(report.server());
        Fault why = seat == null
                ? new Fault.ShutOut(report.server().value(), "it has no place here", 0)
                : !seat.as.equals(report.as()) && has(Guard.INCARNATION)
                        ? new Fault.ShutOut(report.server().value(), "another incarnation of it has come", 0)
                        : seat.standing == Seat.Standing.OUT ? shutOut(seat) : null;
        if (why != null) {
            return new Answer.Refused(why);
        }
        boolean fresh = report.number() > seat.number || !seat.as.equals(report.as());
        if (fresh) {
            take(seat, report);
        }
        Answer answer;
        if (seat.standing == Seat.Standing.OUT) {
            answer = new Answer.Refused(shutOut(seat));
        } else {
            boolean member = seat.standing == Seat.Standing.LIVE;
            Map<TenantId, Grant> shares = !member
                    ? Map.of()
                    : fresh ? lending.report(seat.place, report.needs(), now) : lending.lent(seat.place);
            due(seat);
            answer = told(seat, report.number(), member, shares);
        }
        settle();
        return answer;
    }

    private Fault.ShutOut shutOut(Seat seat) {
        return new Fault.ShutOut(seat.server.value(), seat.cause, Math.max(0, seat.mayReturn - now));
    }

    private void take(Seat seat, Command.Report report) {
        seat.number = report.number();
        seat.heardWall = wall;
        acts(seat, report);
        seat.health.report(
                report.ended(),
                report.bad(),
                onProbation() && report.acting().equals(revisions.inForce()),
                now,
                Math.max(1, settings.probation()));
        revisions.checked(seat.server, report.checked(), report.cannot());
        if (seat.standing == Seat.Standing.LIVE) {
            seat.leaseUntil = now + settings.lease();
            seat.floorUntil = now + settings.floorLease();
            seat.silent = false;
        }
        settle(seat);
        settle(); // who says last that it can hears at once that it is in force
    }

    private Answer.Told told(Seat seat, long number, boolean member, Map<TenantId, Grant> shares) {
        Revision revision = revisions.get(revisions.inForce());
        return new Answer.Told(
                number,
                member ? Spans.relied(settings.lease(), settings.drift()) : 0,
                member ? Spans.relied(settings.floorLease(), settings.drift()) : 0,
                lending.floorsFree(),
                revisions.named(revisions.inForce()),
                revision == null ? 0 : now - revision.since,
                revisions.named(revisions.proposed()),
                shares,
                next(seat));
    }

    private void acts(Seat seat, Command.Report report) {
        RevisionId acting = report.acting();
        Revision revision = revisions.get(acting);
        if (!acting.equals(seat.acting)) {
            long behind = revision == null ? 0 : Math.max(0, now - revision.since);
            seat.pass(new Passage(report.as(), seat.acting, acting, behind, report.outdated(), wall));
            seat.acting = acting;
            lending.acting(seat.place, acting.value());
        }
        seat.inForce = report.inForce();
        seat.odd = revision != null
                && revision.table() != null
                && has(Guard.DIGEST)
                && !revision.root.equals(report.inForce());
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
        long pace = Math.max(settings.lease() / REPORTS_IN_LEASE, (long) (live + out) * SECOND / REPORTS_PER_SECOND);
        return Math.min(
                settings.lease() / REPORTS_LEAST,
                seat.behindSince != Long.MAX_VALUE || revisions.open() ? pace / 2 : pace);
    }

    private Answer leave(Command.Leave leave) {
        settle();
        Seat seat = seats.get(leave.server());
        if (seat != null && seat.as.equals(leave.as())) {
            s = seat;
            forget();
            seat.standing = Seat.Standing.LEFT;
            seat.outWall = wall;
            revisions.notLive(leave.server());
        }
        settle();
        return new Answer.Done(revisions.inForce());
    }

    private Answer publish(Command.Publish publish) {
        settle();
        Optional<Answer> known = outcome(publish.command()).or(() -> lostRace(publish.expected()));
        if (known.isPresent()) {
            return known.get();
        }
        Table base = revisions.table(publish.expected());
        if (base == null) {
            return new Answer.Refused(
                    new Fault.UnknownRoot("of revision " + publish.expected().value()));
        }
        ChangeRecord record = new ChangeRecord(
                publish.command(),
                ChangeRecord.Kind.PUBLISH,
                List.of(),
                publish.by(),
                publish.why(),
                publish.force(),
                wall);
        return propose(publish.expected(), RevisionId.NONE, base.apply(publish.changes()), record);
    }

    private Answer rollback(Command.Rollback rollback) {
        settle();
        Optional<Answer> known = outcome(rollback.command());
        if (known.isPresent()) {
            return known.get();
        }
        Revision back = revisions.get(rollback.to());
        if (back == null || back.table() == null || back.fate == Revision.Fate.PROPOSED) {
            return new Answer.Refused(new Fault.NoSuchRevision(
                    rollback.to().value(), revisions.inForce().value()));
        }
        Optional<Answer> lost = lostRace(rollback.expected());
        if (lost.isPresent()) {
            return lost.get();
        }
        ChangeRecord record = new ChangeRecord(
                rollback.command(),
                ChangeRecord.Kind.ROLLBACK,
                List.of(),
                rollback.by(),
                rollback.why(),
                rollback.force(),
                wall);
        return propose(revisions.inForce(), back.id, back.table(), record);
    }

    private Answer change(Command.ChangeEntries change) {
        settle();
        Optional<Answer> known = outcome(change.command()).or(() -> lostRace(revisions.inForce()));
        if (known.isPresent()) {
            return known.get();
        }
        Table base = revisions.table(revisions.inForce());
        for (Change each : change.changes()) {
            if (!base.get(each.key()).equals(each.before()) && has(Guard.EXPECTED)) {
                return new Answer.Refused(new Fault.KeyConflict(each.key().name(), "unknown", 0));
            }
        }
        ChangeRecord record = new ChangeRecord(
                change.command(),
                ChangeRecord.Kind.ENTRIES,
                change.changes(),
                change.by(),
                change.why(),
                change.force(),
                wall);
        return propose(revisions.inForce(), RevisionId.NONE, base.apply(change.changes()), record);
    }

    /** What has become of a command that was sent before. */
    private Optional<Answer> outcome(OperatorCommand command) {
        return Optional.ofNullable(revisions.by(command)).map(record -> new Answer.Done(record.revision()));
    }

    /** The condition of a change to the whole: nothing came after the revision that its author saw. */
    private Optional<Answer> lostRace(RevisionId expected) {
        Revision last = revisions.get(revisions.open() ? revisions.proposed() : revisions.inForce());
        RevisionId found = last == null ? RevisionId.NONE : last.id;
        if (!has(Guard.EXPECTED) || found.equals(expected) && !revisions.open()) {
            return Optional.empty();
        }
        return Optional.of(new Answer.Refused(new Fault.LostRace(
                expected.value(),
                found.value(),
                last == null ? "nobody" : last.by(),
                last == null ? 0 : last.proposedWall)));
    }

    private Answer propose(RevisionId base, RevisionId of, Table table, ChangeRecord record) {
        List<ServerId> ask = seats.values().stream()
                .filter(x -> x.standing == Seat.Standing.LIVE && !x.silent)
                .map(x -> x.server)
                .toList();
        Revision revision = revisions.propose(
                base, of, table, List.of(record), record.forced(), wall, now + 2 * settings.lease(), ask);
        settle();
        return new Answer.Done(revision.id);
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

    /** The version of the settings that it goes by, 0 before it is founded. */
    public long version() {
        return settings.version();
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

    /** The changes that wait until the revision that is open has been decided, in the order in which they came. */
    public Collection<ChangeRecord> waiting() {
        return List.of();
    }

    /** What a revision says: the empty table for NONE, null for one that there is not or that was turned down. */
    public Table table(RevisionId id) {
        return revisions.table(id);
    }

    /** The table of that root, if a revision has it that is, was or may come into force. */
    public Optional<Table> table(Digest root) {
        return revisions.table(root);
    }

    /**
     * What differs from a table that somebody has to a revision.
     *
     * @param from the root of that table
     * @param most entries; empty if there are more, or if either is not known
     */
    public Optional<List<Change>> difference(Digest from, RevisionId to, int most) {
        Optional<Table> have = revisions.table(from);
        Table want = revisions.table(to);
        if (have.isEmpty() || want == null) {
            return Optional.empty();
        }
        List<Change> all = have.get().differenceTo(want);
        return all.size() > most ? Optional.empty() : Optional.of(all);
    }

    /** All servers that have a place, by name. */
    public Collection<Seat> servers() {
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

    /** The caps of the revision in force; goes through its whole table. */
    public Map<TenantId, Integer> caps() {
        return caps(revisions.inForce());
    }

    /** The floor of each server under a cap. */
    public int floor(int cap) {
        return lending.floor(cap);
    }

    // ---- for snapshots

    /** The whole, in parts. */
    public void save(Consumer<SnapshotPart> to) {
        to.accept(new SnapshotPart.Fleet(fleet, settings, now, wall, incarnations, judgedAt));
        revisions.save(to);
        lending.save(part -> to.accept(new SnapshotPart.Lent(part)));
        seats.values().forEach(seat -> to.accept(seat.save(false)));
        gone.forEach(seat -> to.accept(seat.save(true)));
    }

    /** Into a new state: what another saved. */
    public void load(Iterator<SnapshotPart> from) {
        SnapshotPart.Fleet whole = (SnapshotPart.Fleet) from.next();
        settings(whole.fleet(), whole.settings());
        now = whole.now();
        wall = whole.wall();
        incarnations = whole.incarnations();
        judgedAt = whole.judgedAt();
        revisions.load(from);
        while (from.hasNext()) {
            SnapshotPart part = from.next();
            if (part instanceof SnapshotPart.Lent lent) {
                lending.load(lent.part());
            } else {
                load((SnapshotPart.Server) part);
            }
        }
    }

    private void load(SnapshotPart.Server saved) {
        Seat seat = Seat.load(saved);
        if (saved.gone()) {
            gone.add(seat);
            return;
        }
        seats.put(seat.server, seat);
        places.put(seat.place, seat);
        free.remove(seat.place);
        live += seat.standing == Seat.Standing.LIVE ? 1 : 0;
        out += seat.standing == Seat.Standing.OUT ? 1 : 0;
        if (seat.marked) {
            marked.add(seat.server);
        }
        due(seat);
    }
}
