package tallyweir.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.TenantId;
import tallyweir.search.Search;
import tallyweir.search.World;

/**
 * Plays every order of events that a few servers, the links between them and their fleet, and two operators can bring
 * about, over the real {@link State}, {@link Member} and {@link Gate}: a lent share and a server that is stopped past its
 * lease, or restarted with a word of its earlier life on the way, and a race of revisions with a server that says what is
 * not so.
 */
public final class Explorer {
    /** What is explored. */
    public enum Scene {
        STOP,
        RESTART,
        RACE
    }

    private static final TenantId TENANT = new TenantId("t");
    private static final long LEASE = 2;
    private static final long OPEN_MOST = 2; // how long a query is open at the most
    private static final long HORIZON = 5;
    private static final int CAP = 4; // of which each of two servers has a floor of one
    private static final int EXCHANGES = 8; // more than a server needs in a row
    private static final int CROWDS = 2; // of one server
    private static final int SPEAKS = 3; // so often it speaks with the fleet, where a share is lent

    private Explorer() {}

    /** @param most states at the most, after which it gives up and says so */
    public static Search.Seen explore(Scene scene, Set<Guard> without, long most) {
        return Search.explore(() -> new Fleet(scene, without), most);
    }

    /** One server: its own side, and what it sends to the fleet. */
    private static final class Server implements Acts, Answers {
        private final Fleet in;
        private final ServerId id;
        private Gate gate;
        private Member member;
        private Runnable asked; // on its way to the fleet
        private Runnable answer; // on its way back
        private Runnable late; // on its way to the fleet, given up here
        private long life;
        private RevisionId said = RevisionId.NONE; // that it acts on
        private RevisionId acts = RevisionId.NONE; // that it does act on
        private RevisionId toAct = RevisionId.NONE;
        private RevisionId toCheck = RevisionId.NONE;
        private final ArrayDeque<Long> open = new ArrayDeque<>(); // since when; each on a connection of its own
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
            toAct = RevisionId.NONE;
            toCheck = RevisionId.NONE;
            open.clear();
            on.clear();
            asked = null;
            answer = null;
        }

        String describe() {
            return id.value()
                    + member.describe(in.time)
                    + gate.describe(in.time)
                    + (late != null)
                    + life
                    + said.value()
                    + acts.value()
                    + toAct.value()
                    + toCheck.value()
                    + open.stream().map(t -> in.time - t).toList()
                    + crowds
                    + speaks;
        }

        /** It speaks with the fleet until it has nothing more to say. */
        void exchange(boolean lie) {
            for (int i = 0; i < EXCHANGES; i++) {
                RevisionId had = said;
                member.clock(in.time);
                hear();
                if (toCheck.value() > 0) {
                    RevisionId r = toCheck;
                    toCheck = RevisionId.NONE;
                    member.checked(r, "");
                    hear();
                }
                if (toAct.value() > 0) {
                    said = toAct;
                    toAct = RevisionId.NONE;
                    Body body = in.state.body(said);
                    acts = lie ? acts : said;
                    gate.caps(tenant -> body.caps().getOrDefault(tenant, Caps.UNCAPPED));
                    member.acting(said, lie ? new Digest("lie") : body.digests().get(""), 0);
                    hear();
                }
                if (member.as() != null && said.equals(had) && said.value() > 0) {
                    return;
                }
            }
        }

        private void hear() {
            while (asked != null) {
                Runnable now = asked;
                asked = null;
                now.run();
                Runnable back = answer;
                answer = null;
                back.run();
            }
        }

        /** It reports and gives the answer up; the report may still arrive. */
        void cut() {
            member.clock(in.time);
            late = asked;
            asked = null;
            member.failed();
        }

        @Override
        public void join(ServerId server, String listen) {
            long now = life;
            asked = () -> in.state.join("f", server, listen, now, this);
        }

        @Override
        public void report(
                ServerId server,
                Incarnation as,
                long number,
                RevisionId acting,
                Digest inForce,
                long outdated,
                RevisionId checked,
                String cannot,
                Map<TenantId, Need> needs) {
            asked = () ->
                    in.state.report(server, as, number, acting, inForce, outdated, checked, cannot, 0, 0, needs, this);
        }

        @Override
        public void check(RevisionId revision) {
            toCheck = revision;
        }

        @Override
        public void act(RevisionId revision) {
            toAct = revision;
        }

        @Override
        public void standBack(boolean back) {
            throw new IllegalStateException("it was not asked to stand back whole");
        }

        @Override
        public void joined(Incarnation as, int places, double floorShare, long next) {
            answer = () -> member.joined(as, places, floorShare);
        }

        @Override
        public void told(
                long number,
                long lease,
                long floorLease,
                boolean floorsFree,
                RevisionId inForce,
                long age,
                RevisionId check,
                Map<TenantId, Grant> shares,
                long next) {
            answer = () -> member.told(number, lease, floorLease, floorsFree, inForce, check, shares, next + 1);
        }

        @Override
        public void done(RevisionId revision) {
            throw new IllegalStateException("no operator asks here");
        }

        @Override
        public void refused(Fault why) {
            answer = () -> member.refused(why);
        }
    }

    private static final class Fleet implements World {
        private final Scene scene;
        private final Set<Guard> without;
        private final State state;
        private final List<Server> servers = new ArrayList<>();
        private final List<String> wrong = new ArrayList<>();
        private final TreeSet<String> operators = new TreeSet<>(Set.of("a", "b"));
        private final List<Long> acknowledged = new ArrayList<>();
        private long time;
        private int stopped = -1;
        private boolean hasStopped;
        private boolean restarted;
        private boolean cut;
        private boolean lied;

        Fleet(Scene scene, Set<Guard> without) {
            this.scene = scene;
            this.without = without;
            state = new State(without);
            boolean share = share();
            clock();
            state.found(
                    "f",
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
                    1,
                    new Operator(null));
            propose("first", 0);
            for (int i = 0; i < (share ? 2 : 3); i++) {
                servers.add(new Server(this, "s" + i));
                servers.get(i).exchange(false);
            }
        }

        /** A lease and what is open then must be over in it, where it is about that. */
        private long horizon() {
            return scene == Scene.STOP ? HORIZON : scene == Scene.RACE ? 3 : 2;
        }

        private boolean share() {
            return scene != Scene.RACE;
        }

        private void clock() {
            state.clock(time, 0);
        }

        private void propose(String operator, long expected) {
            Digest digest = new Digest("d" + operator);
            state.publish(
                    new OperatorCommand(operator),
                    new RevisionId(expected),
                    digest,
                    new Body(new byte[0], Map.of(TENANT, CAP), Map.of("", digest)),
                    operator,
                    "",
                    false,
                    new Operator(operator));
        }

        private final class Operator implements Answers {
            private final String name;

            Operator(String name) {
                this.name = name;
            }

            @Override
            public void done(RevisionId revision) {
                if (name != null) {
                    acknowledged.add(revision.value());
                }
            }

            @Override
            public void refused(Fault why) {
                if (!(why instanceof Fault.LostRace)) {
                    wrong.add("an operator heard " + why.what());
                }
            }
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
                    .append(operators)
                    .append(acknowledged)
                    .append(state.inForce())
                    .append(state.proposed())
                    .append(state.lent(TENANT))
                    .append(state.spoken(TENANT));
            state.seats().forEach(x -> all.append(x.describe(time)));
            servers.forEach(s -> all.append(s.describe()));
            return all.toString();
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
            if (scene == Scene.RACE) {
                operators.forEach(o -> all.add("publish " + o));
            }
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
                    s.exchange(false);
                }
                case "lie" -> {
                    lied = true;
                    s.exchange(true);
                }
                case "cut" -> {
                    cut = true;
                    s.cut();
                }
                case "late" -> {
                    s.late.run();
                    s.late = null;
                    s.answer = null; // nobody waits for it
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
            state.tick();
            for (Server x : servers) {
                while (!x.open.isEmpty() && time - x.open.peek() >= OPEN_MOST) {
                    x.open.poll(); // nobody waits for it any more, whatever the server does
                    x.gate.over(x.on.poll(), TENANT);
                }
            }
        }

        /** As many callers as find room, and one more. */
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
                wrong.add("two operators were both told that theirs is the next");
            }
            for (Seat seat : state.seats()) {
                Server s = servers.stream()
                        .filter(x -> x.id.equals(seat.server()))
                        .findFirst()
                        .orElseThrow();
                if (seat.standing() == Seat.Standing.LIVE
                        && !seat.odd()
                        && s.said.equals(seat.acting())
                        && !s.acts.equals(s.said)) {
                    wrong.add("nobody sees that a server does not do what it says");
                }
            }
            if (state.out() > (state.live() + state.out()) / 2) {
                wrong.add("too many are out");
            }
        }

        @Override
        public boolean rests(List<String> enabled) {
            return time >= horizon()
                    && enabled.stream().noneMatch(a -> a.startsWith("exchange") || a.startsWith("late"));
        }

        @Override
        public String wrongAtRest() {
            for (Seat seat : state.seats()) {
                if (seat.standing() == Seat.Standing.LIVE
                        && !seat.silent()
                        && !seat.marked()
                        && !seat.acting().equals(state.inForce())
                        && !state.proposed().equals(state.inForce())
                        && servers.stream()
                                .anyMatch(s -> s.id.equals(seat.server()) && s.acts.equals(state.inForce()))) {
                    return "the fleet does not know what a server acts on";
                }
            }
            return null;
        }

        @Override
        public List<String> wrong() {
            return wrong;
        }
    }

    /** The guards that the exploration must miss when they are off, and where. */
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
                Guard.MOST_OUT,
                Scene.RACE);
    }
}
