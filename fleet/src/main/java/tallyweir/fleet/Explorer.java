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
import tallyweir.search.ExhaustiveSearch;
import tallyweir.search.SearchableSystem;

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
    private static final long MAX_OPEN_TIME = 2; // maximum time that a query is open
    private static final long HORIZON = 5;
    private static final int CAP = 4; // each of two servers has a floor of one of these
    private static final int MAX_EXCHANGES = 8; // more than a server needs in one contact
    private static final int MAX_BURSTS = 2; // maximum number of bursts of callers at one server
    private static final int MAX_CONTACTS = 3; // maximum number of contacts of one server with the fleet

    /** The entry that each operator changes in {@link Scene#CHANGES}; a and b change the same one. */
    private static final Map<String, Key> ENTRY_BY_OPERATOR = Map.of(
            "a", new Key(Kind.STAND_BACK, "x"),
            "b", new Key(Kind.STAND_BACK, "x"),
            "c", new Key(Kind.STAND_BACK, "y"));

    private Explorer() {}

    /**
     * Explores a scene.
     *
     * @param without guards that are switched off
     * @param maxStates maximum number of states, after which the exploration gives up and reports so
     */
    public static ExhaustiveSearch.SearchResult explore(Scene scene, Set<Guard> without, long maxStates) {
        return ExhaustiveSearch.explore(() -> new Fleet(scene, without), maxStates);
    }

    /** One server with its own side of the protocol and its messages to the fleet. */
    private static final class Server implements MemberActions {
        private final Fleet fleet;
        private final ServerId id;
        private Gate gate;
        private Member member;
        private Command pendingRequest; // the request on its way to the fleet
        private Command delayedRequest; // on its way to the fleet although the server has given it up
        private long processNumber;
        private RevisionId reportedRevision = RevisionId.NONE; // the revision that it reports to act on
        private RevisionId actualRevision = RevisionId.NONE; // the revision that it does act on
        private Table table = Table.EMPTY; // in use
        private boolean hasUnknownTable; // the table in use belongs to no revision
        private RevisionRoot revisionToAct = RevisionRoot.NONE;
        private RevisionRoot revisionToCheck = RevisionRoot.NONE;
        private final ArrayDeque<Long> openQueries =
                new ArrayDeque<>(); // start times, each query on its own connection
        private final ArrayDeque<ConnectionId> openConnections = new ArrayDeque<>();
        private int lastConnection;
        private int bursts;
        private int contacts;

        Server(Fleet fleet, String name) {
            this.fleet = fleet;
            id = new ServerId(name);
            start();
        }

        private void start() {
            gate = new Gate(0);
            member = new Member(this, gate, id, id.value(), 1, false, 1, fleet.time, fleet.without);
            processNumber++;
            reportedRevision = RevisionId.NONE;
            actualRevision = RevisionId.NONE;
            table = Table.EMPTY;
            hasUnknownTable = false;
            revisionToAct = RevisionRoot.NONE;
            revisionToCheck = RevisionRoot.NONE;
            openQueries.clear();
            openConnections.clear();
            pendingRequest = null;
        }

        String describe() {
            return id.value()
                    + member.describe(fleet.time)
                    + gate.describe(fleet.time)
                    + (delayedRequest != null)
                    + processNumber
                    + reportedRevision.value()
                    + actualRevision.value()
                    + revisionToAct.id().value()
                    + revisionToCheck.id().value()
                    + openQueries.stream().map(t -> fleet.time - t).toList()
                    + bursts
                    + contacts;
        }

        /**
         * Exchanges messages with the fleet until the server has nothing more to send.
         *
         * @param lie whether it reports to act on the next revision but does not
         * @param part whether only a part of the next table arrives
         */
        void exchange(boolean lie, boolean part) {
            for (int i = 0; i < MAX_EXCHANGES; i++) {
                RevisionId before = reportedRevision;
                member.clock(fleet.time);
                deliver();
                if (revisionToCheck.id().value() > 0) {
                    RevisionId revision = revisionToCheck.id();
                    revisionToCheck = RevisionRoot.NONE;
                    member.checked(revision, "");
                    deliver();
                }
                if (revisionToAct.id().value() > 0) {
                    RevisionRoot wanted = revisionToAct;
                    revisionToAct = RevisionRoot.NONE;
                    act(wanted, lie, part);
                    deliver();
                }
                if (member.incarnation() != null && reportedRevision.equals(before) && reportedRevision.value() > 0) {
                    return;
                }
            }
        }

        private void act(RevisionRoot wanted, boolean lie, boolean part) {
            Table fetched = fetched(wanted, part);
            if (!fetched.root().equals(wanted.root()) && !fleet.without.contains(Guard.ROOT)) {
                member.applyFailed(wanted.id());
                return;
            }
            reportedRevision = wanted.id();
            if (!lie) {
                actualRevision = reportedRevision;
                table = fetched;
                hasUnknownTable = fleet.state.table(table.root()).isEmpty();
            }
            gate.caps(tenant -> RevisionControl.connections(fetched.get(new Key(Kind.CAP, tenant.value()))));
            member.applied(reportedRevision, lie ? new Digest("lie") : table.root(), 0);
        }

        private Table fetched(RevisionRoot wanted, boolean part) {
            List<Change> difference = table.differenceTo(fleet.state.table(wanted.id()));
            return table.apply(part ? difference.subList(0, difference.size() / 2) : difference);
        }

        private void deliver() {
            while (pendingRequest != null) {
                Command request = pendingRequest;
                pendingRequest = null;
                member.onAnswer(postponed(fleet.state.apply(request)));
            }
        }

        /** Postpones the next report by one step, because the clock of a scene is coarse. */
        private static Answer postponed(Answer answer) {
            return answer instanceof Answer.ReportAccepted accepted
                    ? new Answer.ReportAccepted(
                            accepted.reportNumber(),
                            accepted.leaseDuration(),
                            accepted.floorLeaseDuration(),
                            accepted.floorsFree(),
                            accepted.inForce(),
                            accepted.inForceDuration(),
                            accepted.proposed(),
                            accepted.grants(),
                            accepted.maxReportDelay() + 1)
                    : answer;
        }

        /** Sends a report and gives up waiting for the answer; the report may still arrive. */
        void sendAndGiveUp() {
            member.clock(fleet.time);
            delayedRequest = pendingRequest;
            pendingRequest = null;
            member.requestFailed();
        }

        @Override
        public QueryCounts endedQueries() {
            return new QueryCounts(0, 0);
        }

        @Override
        public void join(ServerId server, String listen) {
            pendingRequest = new Command.Join("f", server, listen, processNumber);
        }

        @Override
        public void report(Command.Report report) {
            pendingRequest = report;
        }

        @Override
        public void check(RevisionRoot revision) {
            revisionToCheck = revision;
        }

        @Override
        public void apply(RevisionRoot revision) {
            revisionToAct = revision;
        }

        @Override
        public void setWithdrawn(boolean back) {
            throw new IllegalStateException("unexpected call: no server should withdraw in these scenes");
        }
    }

    private static final class Fleet implements SearchableSystem {
        private final Scene scene;
        private final Set<Guard> without;
        private final State state;
        private final List<Server> servers = new ArrayList<>();
        private final List<String> violations = new ArrayList<>();
        private final TreeSet<String> operators = new TreeSet<>();
        private final List<Long> acknowledgedRevisions = new ArrayList<>();
        private final TreeSet<String> acceptedOperators =
                new TreeSet<>(); // operators whose change of an entry was accepted
        private long time;
        private int stoppedServer = -1;
        private boolean hasStopped;
        private boolean hasRestarted;
        private boolean hasCut;
        private boolean hasLied;
        private boolean hasBrokenTransfer; // a transfer was cut short

        Fleet(Scene scene, Set<Guard> without) {
            this.scene = scene;
            this.without = without;
            state = new State(without);
            boolean lendsShare = lendsShare();
            advanceStateClock();
            state.apply(new Command.CreateFleet(
                    "f",
                    new FleetSettings(
                            1,
                            LEASE,
                            MAX_OPEN_TIME,
                            2 * HORIZON,
                            lendsShare ? HORIZON : 2,
                            0,
                            lendsShare ? 1 : 0.5,
                            0,
                            lendsShare ? 2 : 3,
                            lendsShare ? 0.5 : 0,
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
                operators.addAll(ENTRY_BY_OPERATOR.keySet());
            }
        }

        /** When a scene ends; in STOP, a lease and the queries open at its end must be over by then. */
        private long horizon() {
            return scene == Scene.STOP ? HORIZON : scene == Scene.RACE ? 3 : 2;
        }

        private boolean lendsShare() {
            return scene == Scene.STOP || scene == Scene.RESTART;
        }

        private void advanceStateClock() {
            state.clock(time, 0);
        }

        private void propose(String operator, long expected) {
            Table before = state.table(new RevisionId(expected));
            Table after = Table.EMPTY.apply(List.of(
                    new Change(TENANT_KEY, Optional.empty(), Optional.of(new Value.Cap(CAP))),
                    new Change(
                            new Key(Kind.STAND_BACK, operator), Optional.empty(), Optional.of(new Value.Present()))));
            Answer answer = state.apply(new Command.Publish(
                    new OperatorCommandId(operator),
                    new RevisionId(expected),
                    before.differenceTo(after),
                    operator,
                    "",
                    false));
            if (answer instanceof Answer.Done done) {
                acknowledgedRevisions.add(done.revision().value());
            } else if (!(answer instanceof Answer.Refused refused && refused.fault() instanceof Fault.LostRace)) {
                violations.add("an operator received " + answer);
            }
        }

        private Answer change(String operator) {
            Change change =
                    new Change(ENTRY_BY_OPERATOR.get(operator), Optional.empty(), Optional.of(new Value.Present()));
            return state.apply(
                    new Command.ChangeEntries(new OperatorCommandId(operator), List.of(change), operator, "", false));
        }

        private void firstChange(String operator) {
            Answer answer = change(operator);
            if (answer instanceof Answer.Done || answer instanceof Answer.Waiting) {
                acceptedOperators.add(operator);
            } else if (!(answer instanceof Answer.Refused refused && refused.fault() instanceof Fault.KeyConflict)) {
                violations.add("an operator received " + answer);
            }
        }

        /** Whether an operator's change is reported as done although its entry is not in force. */
        private boolean isLost(String operator) {
            return change(operator) instanceof Answer.Done
                    && state.table(state.inForce())
                            .get(ENTRY_BY_OPERATOR.get(operator))
                            .isEmpty();
        }

        @Override
        public String describe() {
            StringBuilder text = new StringBuilder()
                    .append(time)
                    .append(stoppedServer)
                    .append(hasStopped)
                    .append(hasRestarted)
                    .append(hasCut)
                    .append(hasLied)
                    .append(hasBrokenTransfer)
                    .append(operators)
                    .append(acknowledgedRevisions)
                    .append(acceptedOperators)
                    .append(entries())
                    .append(state.inForce())
                    .append(state.proposed())
                    .append(state.lent(TENANT))
                    .append(state.committed(TENANT));
            state.servers().forEach(x -> text.append(x.describe(time)).append(since(state.behindSince(x))));
            servers.forEach(s -> text.append(s.describe()));
            return text.toString();
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
        public List<String> enabledActions() {
            List<String> actions = new ArrayList<>();
            if (time < horizon()) {
                actions.add("time");
            }
            for (int i = 0; i < servers.size(); i++) {
                Server s = servers.get(i);
                if (s.delayedRequest != null) {
                    actions.add("late " + i);
                }
                if (i == stoppedServer) {
                    continue;
                }
                if (s.member.nextDeadline() <= time && s.contacts < MAX_CONTACTS) {
                    actions.add("exchange " + i);
                    if (!hasCut && i == 0 && scene != Scene.STOP) {
                        actions.add("cut " + i);
                    }
                    if (scene == Scene.RACE && !hasLied) {
                        actions.add("lie " + i);
                    }
                    if (scene == Scene.TRANSFER && !hasBrokenTransfer) {
                        actions.add("part " + i);
                    }
                }
                if (lendsShare() && s.bursts < MAX_BURSTS) {
                    actions.add("crowd " + i);
                }
            }
            if (scene == Scene.STOP && !hasStopped) {
                actions.add("stop 0");
            }
            if (stoppedServer >= 0) {
                actions.add("continue 0");
            }
            if (scene == Scene.RESTART && !hasRestarted) {
                actions.add("restart 0");
            }
            operators.forEach(o -> actions.add((scene == Scene.CHANGES ? "change " : "publish ") + o));
            return actions;
        }

        @Override
        public void perform(String action) {
            String[] words = action.split(" ");
            Server s = words.length > 1 && words[1].matches("[0-9]") ? servers.get(Integer.parseInt(words[1])) : null;
            advanceStateClock();
            switch (words[0]) {
                case "time" -> passTime();
                case "exchange" -> {
                    s.contacts++;
                    s.exchange(false, false);
                }
                case "lie" -> {
                    hasLied = true;
                    s.exchange(true, false);
                }
                case "part" -> {
                    hasBrokenTransfer = true;
                    s.exchange(false, true);
                }
                case "cut" -> {
                    hasCut = true;
                    s.sendAndGiveUp();
                }
                case "late" -> {
                    state.apply(s.delayedRequest); // the answer is discarded
                    s.delayedRequest = null;
                }
                case "crowd" -> burst(s);
                case "stop" -> {
                    stoppedServer = 0;
                    hasStopped = true;
                }
                case "continue" -> stoppedServer = -1;
                case "restart" -> {
                    hasRestarted = true;
                    s.start();
                }
                case "change" -> {
                    operators.remove(words[1]);
                    firstChange(words[1]);
                }
                default -> {
                    operators.remove(words[1]);
                    propose(words[1], 1);
                }
            }
            checkInvariants();
        }

        private void passTime() {
            time++;
            advanceStateClock();
            state.apply(new Command.Tick());
            for (Server x : servers) {
                while (!x.openQueries.isEmpty() && time - x.openQueries.peek() >= MAX_OPEN_TIME) {
                    x.openQueries.poll(); // its hard limit is over, whatever the server does
                    x.gate.onQueryEnd(x.openConnections.poll(), TENANT);
                }
            }
        }

        /** Callers enter until one is rejected. */
        private void burst(Server s) {
            s.bursts++;
            s.member.clock(time);
            ConnectionId c = new ConnectionId(++s.lastConnection);
            while (s.gate.admit(c, TENANT)) {
                s.openQueries.add(time);
                s.openConnections.add(c);
                c = new ConnectionId(++s.lastConnection);
            }
        }

        private void checkInvariants() {
            if (lendsShare()) {
                if (servers.stream().mapToInt(s -> s.openQueries.size()).sum() > CAP) {
                    violations.add("over cap");
                }
                return;
            }
            if (acknowledgedRevisions.stream()
                            .filter(r -> state.revision(new RevisionId(r)).fate() != Revision.Fate.TURNED_DOWN)
                            .count()
                    > 2) {
                violations.add("two operators were both told that theirs is the next revision");
            }
            for (ServerRecord record : state.servers()) {
                Server s = servers.stream()
                        .filter(x -> x.id.equals(record.server()))
                        .findFirst()
                        .orElseThrow();
                if (record.status() == ServerRecord.Status.LIVE
                        && !record.digestMismatch()
                        && s.reportedRevision.equals(record.appliedRevision())
                        && !s.actualRevision.equals(s.reportedRevision)) {
                    violations.add("a server that does not act on the revision it reports goes unnoticed");
                }
            }
            if (acceptedOperators.containsAll(List.of("a", "b"))) {
                violations.add("two operators were both told that their change of the same entry was accepted");
            }
            if (servers.stream().anyMatch(server -> server.hasUnknownTable)) {
                violations.add("a server acts on a table that belongs to no revision");
            }
            if (state.out() > (state.live() + state.out()) / 2) {
                violations.add("too many servers are shut out");
            }
        }

        @Override
        public boolean isQuiescent(List<String> enabled) {
            return time >= horizon()
                    && enabled.stream().noneMatch(a -> a.startsWith("exchange") || a.startsWith("late"));
        }

        @Override
        public String quiescentViolation() {
            for (ServerRecord record : state.servers()) {
                if (record.status() == ServerRecord.Status.LIVE
                        && !record.silent()
                        && !record.marked()
                        && !record.appliedRevision().equals(state.inForce())
                        && !state.proposed().equals(state.inForce())
                        && servers.stream()
                                .anyMatch(s ->
                                        s.id.equals(record.server()) && s.actualRevision.equals(state.inForce()))) {
                    return "the fleet does not know which revision a server acts on";
                }
            }
            boolean isDecided = state.proposed().equals(RevisionId.NONE);
            return isDecided && acceptedOperators.stream().anyMatch(this::isLost) ? "an accepted change is lost" : null;
        }

        @Override
        public List<String> violations() {
            return violations;
        }
    }

    /** The guards without which the exploration must find a violation, each with the scene that shows it. */
    public static Map<Guard, Scene> scenesByGuard() {
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
