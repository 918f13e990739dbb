package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.TenantId;
import tallyweir.search.Search;
import tallyweir.search.World;

/**
 * Model checker of the fleet protocol. Explores every order of events that a few servers, their links to the fleet and two
 * operators can cause, on the real {@link State}, {@link Member} and {@link Gate}. The scenes are: a lent share and a server
 * that is suspended past its lease, or restarted with a message of its earlier process still on the way; a race of revisions
 * with a server that reports falsely; a table of which only a part arrives; and changes of entries while a revision is
 * proposed.
 */
public final class Explorer {
    /** What is explored. Written out by name. */
    public enum Scene {
        /** A server with a lent share is suspended past its lease and continues. */
        STOP,
        /** A server restarts while a message of its earlier process is on the way. */
        RESTART,
        /** Operators publish concurrently, and a server reports a revision that it does not act on. */
        RACE,
        /** Only a part of a table arrives at a server. */
        TRANSFER,
        /** Operators change entries while a revision is proposed. */
        CHANGES
    }

    private static final TenantId TENANT = new TenantId("t");
    private static final Key TENANT_KEY = new Key(Kind.CAP, TENANT.value());
    private static final long LEASE = 2;
    private static final long OPEN_MOST = 2; // maximum time that a query is open
    private static final long HORIZON = 5;
    private static final int CAP = 4; // each of two servers has a floor of one of these
    private static final int EXCHANGES = 8; // more than a server needs in one contact
    private static final int CROWDS = 2; // maximum number of bursts of callers at one server
    private static final int SPEAKS = 3; // maximum number of contacts of one server with the fleet

    /** The entry that each operator changes in {@link Scene#CHANGES}; a and b change the same one. */
    private static final Map<String, Key> ENTRIES = Map.of(
            "a", new Key(Kind.STAND_BACK, "x"),
            "b", new Key(Kind.STAND_BACK, "x"),
            "c", new Key(Kind.STAND_BACK, "y"));

    private Explorer() {}

    /**
     * Explores a scene.
     *
     * @param without guards that are switched off
     * @param most maximum number of states, after which the exploration gives up and reports so
     */
    public static Search.Seen explore(Scene scene, Set<Guard> without, long most) {
        return Search.explore(() -> new Fleet(scene, without), most);
    }

    /** One server with its own side of the protocol and its messages to the fleet. */
    private static final class Server implements MemberActions {
        private final Fleet in;
        private final ServerId id;
        private Gate gate;
        private Member member;
        private Command asked; // the request on its way to the fleet
        private Command late; // on its way to the fleet although the server has given it up
        private long life;
        private RevisionId said = RevisionId.NONE; // the revision that it reports to act on
        private RevisionId acts = RevisionId.NONE; // the revision that it does act on
        private Table table = Table.EMPTY; // in use
        private boolean mixed; // the table in use belongs to no revision
        private RevisionRoot toAct = RevisionRoot.NONE;
        private RevisionRoot toCheck = RevisionRoot.NONE;
        private final ArrayDeque<Long> open = new ArrayDeque<>(); // start times, each query on its own connection
        private final ArrayDeque<ConnectionId> on = new ArrayDeque<>();
        private int connections;
        private int crowds;
        private int speaks;

        Server(Fleet in, String name) {
            this.in = in;
            id = new ServerId(name);
            start();
        }

        private void start() {
            gate = new Gate(0);
            member = new Member(this, gate, id, id.value(), 1, false, 1, in.time, in.without);
            life++;
            said = RevisionId.NONE;
            acts = RevisionId.NONE;
            table = Table.EMPTY;
            mixed = false;
            toAct = RevisionRoot.NONE;
            toCheck = RevisionRoot.NONE;
            open.clear();
            on.clear();
            asked = null;
        }

        String describe() {
            return id.value()
                    + member.describe(in.time)
                    + gate.describe(in.time)
                    + (late != null)
                    + life
                    + said.value()
                    + acts.value()
                    + toAct.id().value()
                    + toCheck.id().value()
                    + open.stream().map(t -> in.time - t).toList()
                    + crowds
                    + speaks;
        }

        /**
         * Exchanges messages with the fleet until the server has nothing more to send.
         *
         * @param lie whether it reports to act on the next revision but does not
         * @param part whether only a part of the next table arrives
         */
        void exchange(boolean lie, boolean part) {
            for (int i = 0; i < EXCHANGES; i++) {
                RevisionId had = said;
                member.clock(in.time);
                hear();
                if (toCheck.id().value() > 0) {
                    RevisionId r = toCheck.id();
                    toCheck = RevisionRoot.NONE;
                    member.checked(r, "");
                    hear();
                }
                if (toAct.id().value() > 0) {
                    RevisionRoot wanted = toAct;
                    toAct = RevisionRoot.NONE;
                    act(wanted, lie, part);
                    hear();
                }
                if (member.as() != null && said.equals(had) && said.value() > 0) {
                    return;
                }
            }
        }

        private void act(RevisionRoot wanted, boolean lie, boolean part) {
            Table fetched = fetched(wanted, part);
            if (!fetched.root().equals(wanted.root()) && !in.without.contains(Guard.ROOT)) {
                member.cannotAct(wanted.id());
                return;
            }
            said = wanted.id();
            if (!lie) {
                acts = said;
                table = fetched;
                mixed = in.state.table(table.root()).isEmpty();
            }
            gate.caps(tenant -> RevisionControl.connections(fetched.get(new Key(Kind.CAP, tenant.value()))));
            member.acting(said, lie ? new Digest("lie") : table.root(), 0);
        }

        private Table fetched(RevisionRoot wanted, boolean part) {
            List<Change> differ = table.differenceTo(in.state.table(wanted.id()));
            return table.apply(part ? differ.subList(0, differ.size() / 2) : differ);
        }

        private void hear() {
            while (asked != null) {
                Command now = asked;
                asked = null;
                member.hear(later(in.state.apply(now)));
            }
        }

        /** Postpones the next report by one step, because the clock of a scene is coarse. */
        private static Answer later(Answer answer) {
            return answer instanceof Answer.Told told
                    ? new Answer.Told(
                            told.number(),
                            told.lease(),
                            told.floorLease(),
                            told.floorsFree(),
                            told.inForce(),
                            told.age(),
                            told.toCheck(),
                            told.shares(),
                            told.next() + 1)
                    : answer;
        }

        /** Sends a report and gives up waiting for the answer; the report may still arrive. */
        void cut() {
            member.clock(in.time);
            late = asked;
            asked = null;
            member.failed();
        }

        @Override
        public Ended ended() {
            return new Ended(0, 0);
        }

        @Override
        public void join(ServerId server, String listen) {
            asked = new Command.Join("f", server, listen, life);
        }

        @Override
        public void report(Command.Report report) {
            asked = report;
        }

        @Override
        public void check(RevisionRoot revision) {
            toCheck = revision;
        }

        @Override
        public void act(RevisionRoot revision) {
            toAct = revision;
        }

        @Override
        public void standBack(boolean back) {
            throw new IllegalStateException("unexpected call: no server should withdraw in these scenes");
        }
    }

    private static final class Fleet implements World {
        private final Scene scene;
        private final Set<Guard> without;
        private final State state;
        private final List<Server> servers = new ArrayList<>();
        private final List<String> wrong = new ArrayList<>();
        private final TreeSet<String> operators = new TreeSet<>();
        private final List<Long> acknowledged = new ArrayList<>();
        private final TreeSet<String> accepted = new TreeSet<>(); // operators whose change of an entry was accepted
        private long time;
        private int stopped = -1;
        private boolean hasStopped;
        private boolean restarted;
        private boolean cut;
        private boolean lied;
        private boolean broken; // a transfer was cut short

        Fleet(Scene scene, Set<Guard> without) {
            this.scene = scene;
            this.without = without;
            state = new State(without);
            boolean share = share();
            clock();
            state.apply(new Command.Found(
                    "f",
                    new FleetSettings(
                            1,
                            LEASE,
                            OPEN_MOST,
                            2 * HORIZON,
                            share ? HORIZON : 2,
                            0,
                            share ? 1 : 0.5,
                            0,
                            share ? 2 : 3,
                            share ? 0.5 : 0,
                            0,
                            1,
                            1)));
            propose("first", 0);
            for (int i = 0; i < (scene == Scene.RACE ? 3 : 2); i++) {
                servers.add(new Server(this, "s" + i));
                servers.get(i).exchange(false, false);
            }
            if (scene == Scene.RACE) {
                operators.addAll(List.of("a", "b"));
            } else if (scene == Scene.TRANSFER) {
                operators.add("a");
            } else if (scene == Scene.CHANGES) {
                operators.addAll(ENTRIES.keySet());
            }
        }

        /** When a scene ends; in STOP, a lease and the queries open at its end must be over by then. */
        private long horizon() {
            return scene == Scene.STOP ? HORIZON : scene == Scene.RACE ? 3 : 2;
        }

        private boolean share() {
            return scene == Scene.STOP || scene == Scene.RESTART;
        }

        private void clock() {
            state.clock(time, 0);
        }

        private void propose(String operator, long expected) {
            Table before = state.table(new RevisionId(expected));
            Table after = Table.EMPTY.apply(List.of(
                    new Change(TENANT_KEY, Optional.empty(), Optional.of(new Value.Cap(CAP))),
                    new Change(
                            new Key(Kind.STAND_BACK, operator), Optional.empty(), Optional.of(new Value.Present()))));
            Answer answer = state.apply(new Command.Publish(
                    new OperatorCommand(operator),
                    new RevisionId(expected),
                    before.differenceTo(after),
                    operator,
                    "",
                    false));
            if (answer instanceof Answer.Done done) {
                acknowledged.add(done.revision().value());
            } else if (!(answer instanceof Answer.Refused refused && refused.why() instanceof Fault.LostRace)) {
                wrong.add("an operator received " + answer);
            }
        }

        private Answer change(String operator) {
            Change change = new Change(ENTRIES.get(operator), Optional.empty(), Optional.of(new Value.Present()));
            return state.apply(
                    new Command.ChangeEntries(new OperatorCommand(operator), List.of(change), operator, "", false));
        }

        private void firstChange(String operator) {
            Answer answer = change(operator);
            if (answer instanceof Answer.Done || answer instanceof Answer.Waiting) {
                accepted.add(operator);
            } else if (!(answer instanceof Answer.Refused refused && refused.why() instanceof Fault.KeyConflict)) {
                wrong.add("an operator received " + answer);
            }
        }

        /** Whether an operator's change is reported as done although its entry is not in force. */
        private boolean isLost(String operator) {
            return change(operator) instanceof Answer.Done
                    && state.table(state.inForce()).get(ENTRIES.get(operator)).isEmpty();
        }

        @Override
        public String describe() {
            StringBuilder all = new StringBuilder()
                    .append(time)
                    .append(stopped)
                    .append(hasStopped)
                    .append(restarted)
                    .append(cut)
                    .append(lied)
                    .append(broken)
                    .append(operators)
                    .append(acknowledged)
                    .append(accepted)
                    .append(entries())
                    .append(state.inForce())
                    .append(state.proposed())
                    .append(state.lent(TENANT))
                    .append(state.spoken(TENANT));
            state.servers().forEach(x -> all.append(x.describe(time)).append(since(state.behindSince(x))));
            servers.forEach(s -> all.append(s.describe()));
            return all.toString();
        }

        /** The table in force and the waiting changes, in the scene CHANGES only. */
        private String entries() {
            return scene == Scene.CHANGES
                    ? state.table(state.inForce()).root().value()
                            + state.waiting().stream()
                                    .map(ChangeRecord::command)
                                    .toList()
                    : "";
        }

        private String since(long at) {
            return at == Long.MAX_VALUE ? "-" : String.valueOf(at - time);
        }

        @Override
        public List<String> enabled() {
            List<String> all = new ArrayList<>();
            if (time < horizon()) {
                all.add("time");
            }
            for (int i = 0; i < servers.size(); i++) {
                Server s = servers.get(i);
                if (s.late != null) {
                    all.add("late " + i);
                }
                if (i == stopped) {
                    continue;
                }
                if (s.member.next() <= time && s.speaks < SPEAKS) {
                    all.add("exchange " + i);
                    if (!cut && i == 0 && scene != Scene.STOP) {
                        all.add("cut " + i);
                    }
                    if (scene == Scene.RACE && !lied) {
                        all.add("lie " + i);
                    }
                    if (scene == Scene.TRANSFER && !broken) {
                        all.add("part " + i);
                    }
                }
                if (share() && s.crowds < CROWDS) {
                    all.add("crowd " + i);
                }
            }
            if (scene == Scene.STOP && !hasStopped) {
                all.add("stop 0");
            }
            if (stopped >= 0) {
                all.add("continue 0");
            }
            if (scene == Scene.RESTART && !restarted) {
                all.add("restart 0");
            }
            operators.forEach(o -> all.add((scene == Scene.CHANGES ? "change " : "publish ") + o));
            return all;
        }

        @Override
        public void act(String action) {
            String[] a = action.split(" ");
            Server s = a.length > 1 && a[1].matches("[0-9]") ? servers.get(Integer.parseInt(a[1])) : null;
            clock();
            switch (a[0]) {
                case "time" -> time();
                case "exchange" -> {
                    s.speaks++;
                    s.exchange(false, false);
                }
                case "lie" -> {
                    lied = true;
                    s.exchange(true, false);
                }
                case "part" -> {
                    broken = true;
                    s.exchange(false, true);
                }
                case "cut" -> {
                    cut = true;
                    s.cut();
                }
                case "late" -> {
                    state.apply(s.late); // the answer is discarded
                    s.late = null;
                }
                case "crowd" -> crowd(s);
                case "stop" -> {
                    stopped = 0;
                    hasStopped = true;
                }
                case "continue" -> stopped = -1;
                case "restart" -> {
                    restarted = true;
                    s.start();
                }
                case "change" -> {
                    operators.remove(a[1]);
                    firstChange(a[1]);
                }
                default -> {
                    operators.remove(a[1]);
                    propose(a[1], 1);
                }
            }
            look();
        }

        private void time() {
            time++;
            clock();
            state.apply(new Command.Tick());
            for (Server x : servers) {
                while (!x.open.isEmpty() && time - x.open.peek() >= OPEN_MOST) {
                    x.open.poll(); // its hard limit is over, whatever the server does
                    x.gate.over(x.on.poll(), TENANT);
                }
            }
        }

        /** Callers enter until one is rejected. */
        private void crowd(Server s) {
            s.crowds++;
            s.member.clock(time);
            ConnectionId c = new ConnectionId(++s.connections);
            while (s.gate.enter(c, TENANT)) {
                s.open.add(time);
                s.on.add(c);
                c = new ConnectionId(++s.connections);
            }
        }

        private void look() {
            if (share()) {
                if (servers.stream().mapToInt(s -> s.open.size()).sum() > CAP) {
                    wrong.add("over cap");
                }
                return;
            }
            if (acknowledged.stream()
                            .filter(r -> state.revision(new RevisionId(r)).fate() != Revision.Fate.TURNED_DOWN)
                            .count()
                    > 2) {
                wrong.add("two operators were both told that theirs is the next revision");
            }
            for (ServerRecord record : state.servers()) {
                Server s = servers.stream()
                        .filter(x -> x.id.equals(record.server()))
                        .findFirst()
                        .orElseThrow();
                if (record.status() == ServerRecord.Status.LIVE
                        && !record.odd()
                        && s.said.equals(record.acting())
                        && !s.acts.equals(s.said)) {
                    wrong.add("a server that does not act on the revision it reports goes unnoticed");
                }
            }
            if (accepted.containsAll(List.of("a", "b"))) {
                wrong.add("two operators were both told that their change of the same entry was accepted");
            }
            if (servers.stream().anyMatch(server -> server.mixed)) {
                wrong.add("a server acts on a table that belongs to no revision");
            }
            if (state.out() > (state.live() + state.out()) / 2) {
                wrong.add("too many servers are shut out");
            }
        }

        @Override
        public boolean rests(List<String> enabled) {
            return time >= horizon()
                    && enabled.stream().noneMatch(a -> a.startsWith("exchange") || a.startsWith("late"));
        }

        @Override
        public String wrongAtRest() {
            for (ServerRecord record : state.servers()) {
                if (record.status() == ServerRecord.Status.LIVE
                        && !record.silent()
                        && !record.marked()
                        && !record.acting().equals(state.inForce())
                        && !state.proposed().equals(state.inForce())
                        && servers.stream()
                                .anyMatch(s -> s.id.equals(record.server()) && s.acts.equals(state.inForce()))) {
                    return "the fleet does not know which revision a server acts on";
                }
            }
            boolean isDecided = state.proposed().equals(RevisionId.NONE);
            return isDecided && accepted.stream().anyMatch(this::isLost) ? "an accepted change is lost" : null;
        }

        @Override
        public List<String> wrong() {
            return wrong;
        }
    }

    /** The guards without which the exploration must find a violation, each with the scene that shows it. */
    public static Map<Guard, Scene> guards() {
        return Map.of(
                Guard.LEASE,
                Scene.STOP,
                Guard.WAIT,
                Scene.STOP,
                Guard.FLOOR,
                Scene.STOP,
                Guard.INCARNATION,
                Scene.RESTART,
                Guard.EXPECTED,
                Scene.RACE,
                Guard.DIGEST,
                Scene.RACE,
                Guard.ROOT,
                Scene.TRANSFER,
                Guard.MOST_OUT,
                Scene.RACE);
    }
}
