package tallyweir.tool.scale;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import tallyweir.config.BadSetting;
import tallyweir.config.Routing;
import tallyweir.fleet.Acts;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Gate;
import tallyweir.fleet.Grant;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Member;
import tallyweir.fleet.Need;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.ratis.EncodedMessages;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

/** The present server's side of a fleet, without sockets: its member, its gate and what it routes by. */
final class HollowServer implements ServerUnderTest, Acts, Answers {
    private static final Set<WorkloadId> WORKLOADS = Set.of(new WorkloadId("orders"));

    /** A question for a revision's body, and what is done with the reason why it cannot be acted on, empty if it can. */
    private record Fetch(RevisionId revision, Consumer<String> then) {}

    private final ServerId id;
    private final long life;
    private final Network network;
    private final Gate gate = new Gate(ScaleSettings.LINGER);
    private final Member member;
    private final DrawnLoad load;
    private RevisionId fetched = RevisionId.NONE;
    private Routing routing;
    private Routing acting;
    private final ArrayDeque<Fetch> fetches = new ArrayDeque<>(); // the first is under way
    private boolean standsBack = true;

    /**
     * Starts one.
     *
     * @param life of its process, higher than that of the one before
     * @param activeTenants that it has connections of
     */
    HollowServer(int number, long life, long seed, long now, int tenants, int activeTenants, Network network) {
        id = new ServerId("server-" + number);
        this.life = life;
        this.network = network;
        SplittableRandom random = new SplittableRandom(seed);
        member = new Member(
                this, gate, id, "10.0.0.1:" + number, ScaleSettings.RETRY, true, random.nextLong(), now, Set.of());
        load = new DrawnLoad(gate, random, tenants, activeTenants);
    }

    @Override
    public void clock(long now) {
        member.clock(now);
    }

    @Override
    public long next() {
        return Math.min(member.next(), gate.next());
    }

    @Override
    public void drawLoad() {
        load.step();
    }

    @Override
    public long acting() {
        return member.acting().value();
    }

    @Override
    public boolean standsBack() {
        return standsBack;
    }

    @Override
    public int connections(int tenant) {
        return gate.used(new TenantId(RevisionText.tenant(tenant)));
    }

    // ---- what the member asks for

    @Override
    public void join(ServerId server, String listen) {
        network.command(EncodedMessages.join(ScaleSettings.FLEET, server, listen, life));
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
        network.command(
                EncodedMessages.report(server, as, number, acting, inForce, outdated, checked, cannot, 0, 0, needs));
    }

    @Override
    public void check(RevisionId revision) {
        fetch(revision, reason -> member.checked(revision, reason));
    }

    @Override
    public void act(RevisionId revision) {
        if (revision.equals(fetched)) {
            take(revision);
        } else {
            fetch(revision, reason -> {
                if (reason.isEmpty()) {
                    take(revision);
                } else {
                    member.cannotAct(revision);
                }
            });
        }
    }

    private void fetch(RevisionId revision, Consumer<String> then) {
        fetches.add(new Fetch(revision, then));
        if (fetches.size() == 1) {
            network.question(EncodedMessages.askBody(revision));
        }
    }

    private String read(RevisionId revision, byte[] answer) {
        byte[] text = answer == null ? null : EncodedMessages.body(answer);
        if (text == null) {
            return "its text could not be had";
        }
        try {
            Routing read = Routing.parse(text);
            String reason = read.cannot(WORKLOADS);
            if (reason.isEmpty()) {
                fetched = revision;
                routing = read;
            }
            return reason;
        } catch (BadSetting e) {
            return e.getMessage();
        }
    }

    private void take(RevisionId revision) {
        acting = routing;
        gate.caps(acting.caps);
        Digest digest = Routing.inForce(acting.stores, acting.announce, null, gate.caps(), false);
        network.later(() -> member.acting(revision, digest, 0));
    }

    @Override
    public void standBack(boolean back) {
        standsBack = back;
    }

    // ---- what comes back

    @Override
    public void answered(byte[] answer) {
        EncodedMessages.answer(answer, this);
    }

    @Override
    public void told(byte[] answer) {
        Fetch fetch = fetches.remove();
        if (!fetches.isEmpty()) {
            network.question(EncodedMessages.askBody(fetches.peek().revision));
        }
        fetch.then.accept(read(fetch.revision, answer));
    }

    @Override
    public void commandFailed() {
        member.failed();
    }

    @Override
    public void questionFailed() {
        told(null);
    }

    @Override
    public void joined(Incarnation as, int places, double floorShare, long next) {
        member.joined(as, places, floorShare);
    }

    @Override
    public void told(
            long number,
            long lease,
            long floorLease,
            boolean floorsFree,
            RevisionId inForce,
            long age,
            RevisionId toCheck,
            Map<TenantId, Grant> shares,
            long next) {
        member.told(number, lease, floorLease, floorsFree, inForce, toCheck, shares, next);
    }

    @Override
    public void done(RevisionId revision) {
        member.failed();
    }

    @Override
    public void refused(Fault why) {
        member.refused(why);
    }
}
