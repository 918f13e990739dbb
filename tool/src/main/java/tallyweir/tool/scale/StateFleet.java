package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import tallyweir.config.Routing;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Body;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Gate;
import tallyweir.fleet.Grant;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.OperatorCommand;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.ratis.EncodedMessages;
import tallyweir.fleet.ratis.LocalReplica;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

/** The measured operations on the present state and codec. */
final class StateFleet implements FleetUnderTest {
    private static final long WALL = 1_700_000_000_000L;
    private static final String BY = "scale";

    private final SplittableRandom random;
    private final int activeTenants;
    private final Map<Integer, Long> numbers = new HashMap<>();
    private final Map<Integer, Incarnation> incarnations = new HashMap<>();
    private FleetSize size;
    private LocalReplica replica;
    private byte[] snapshot;
    private long now;
    private long lives;
    private int commands;
    private long heapBefore;
    private byte[] fetched;
    private Gate gate;
    private Routing acting;

    /** @param activeTenants of each server, for which it has open connections and reports a need */
    StateFleet(long seed, int activeTenants) {
        random = new SplittableRandom(seed);
        this.activeTenants = activeTenants;
    }

    @Override
    public Cost found(FleetSize of) {
        size = of;
        numbers.clear();
        incarnations.clear();
        replica = null;
        snapshot = null;
        heapBefore = Heap.used();
        replica = new LocalReplica();
        long began = System.nanoTime();
        apply(EncodedMessages.found(ScaleSettings.FLEET, ScaleSettings.founding(of.servers())));
        publish(body(RevisionText.write(of, 0, 0)));
        for (int server = 0; server < of.servers(); server++) {
            join(server);
            report(server);
        }
        return new Cost(System.nanoTime() - began, 0);
    }

    private static Body body(byte[] text) {
        Routing routing = Routing.parse(text);
        return new Body(text, routing.caps, routing.digests());
    }

    private byte[] apply(byte[] command) {
        return replica.apply(now, WALL, command);
    }

    private Cost timed(byte[] command) {
        long began = System.nanoTime();
        byte[] answer = apply(command);
        return new Cost(System.nanoTime() - began, command.length + answer.length);
    }

    private OperatorCommand next() {
        return new OperatorCommand("command " + ++commands);
    }

    private Cost publish(Body body) {
        byte[] command = EncodedMessages.publish(
                next(), replica.state().inForce(), Digest.of(body.bytes()), body, BY, "a cap is changed", true);
        return timed(command);
    }

    @Override
    public Cost join(int server) {
        byte[] command = EncodedMessages.join(ScaleSettings.FLEET, id(server), "10.0.0.1:" + server, ++lives);
        long began = System.nanoTime();
        byte[] answer = apply(command);
        long took = System.nanoTime() - began;
        Reply reply = Reply.of(answer);
        if (reply.incarnation == null) {
            throw new IllegalStateException("a server could not join: " + reply.refusal);
        }
        incarnations.put(server, reply.incarnation);
        numbers.put(server, 0L);
        return new Cost(took, command.length + answer.length);
    }

    @Override
    public Cost report(int server) {
        RevisionId inForce = replica.state().inForce();
        Digest digest = replica.state().body(inForce).digests().get("");
        return timed(EncodedMessages.report(
                id(server), incarnations.get(server), number(server), inForce, digest, 0, inForce, "", 0, 0, needs()));
    }

    private long number(int server) {
        return numbers.merge(server, 1L, Long::sum);
    }

    private Map<TenantId, Need> needs() {
        Map<TenantId, Need> needs = new HashMap<>();
        for (int i = 0; i < activeTenants; i++) {
            needs.put(new TenantId(RevisionText.tenant(random.nextInt(size.tenants()))), new Need(0, 2));
        }
        return needs;
    }

    @Override
    public Cost reportInState(int server) {
        RevisionId inForce = replica.state().inForce();
        Digest digest = replica.state().body(inForce).digests().get("");
        Map<TenantId, Need> needs = needs();
        long number = number(server);
        Reply reply = new Reply();
        long began = System.nanoTime();
        replica.state()
                .report(
                        id(server),
                        incarnations.get(server),
                        number,
                        inForce,
                        digest,
                        0,
                        inForce,
                        "",
                        0,
                        0,
                        needs,
                        reply);
        return new Cost(System.nanoTime() - began, 0);
    }

    @Override
    public Cost publishOneCapChange() {
        return publish(changed());
    }

    private Body changed() {
        return body(RevisionText.write(size, random.nextInt(size.tenants()), commands + 1));
    }

    @Override
    public Cost changeInState() {
        Body body = changed();
        Digest digest = Digest.of(body.bytes());
        RevisionId expected = replica.state().inForce();
        OperatorCommand command = next();
        Reply reply = new Reply();
        long began = System.nanoTime();
        replica.state().publish(command, expected, digest, body, BY, "a cap is changed", true, reply);
        return new Cost(System.nanoTime() - began, 0);
    }

    @Override
    public Cost rollback() {
        long back = replica.state().inForce().value() - 1;
        return timed(EncodedMessages.rollback(
                next(), replica.state().inForce(), new RevisionId(back), BY, "the change is taken back", true));
    }

    @Override
    public Cost save() {
        long began = System.nanoTime();
        snapshot = replica.snapshot();
        return new Cost(System.nanoTime() - began, snapshot.length);
    }

    @Override
    public Cost load() {
        long began = System.nanoTime();
        LocalReplica restored = LocalReplica.restore(snapshot);
        long took = System.nanoTime() - began;
        if (!restored.state().inForce().equals(replica.state().inForce())) {
            throw new IllegalStateException("a snapshot came back with another revision in force");
        }
        return new Cost(took, snapshot.length);
    }

    @Override
    public void prepareServer(FleetSize of) {
        size = of;
        replica = new LocalReplica();
        apply(EncodedMessages.found(ScaleSettings.FLEET, ScaleSettings.founding(of.servers())));
        publish(body(RevisionText.write(of, 0, 0)));
        fetched = replica.body(replica.state().inForce());
        acting = null;
        gate = null;
        heapBefore = Heap.used();
        gate = new Gate(ScaleSettings.LINGER);
    }

    @Override
    public Cost serverApply() {
        byte[] question = EncodedMessages.askBody(replica.state().inForce());
        long began = System.nanoTime();
        Routing routing = Routing.parse(EncodedMessages.body(fetched));
        String reason = routing.cannot(Set.of(new WorkloadId("orders")));
        gate.caps(routing.caps);
        Digest digest = Routing.inForce(routing.stores, routing.announce, null, gate.caps(), false);
        long took = System.nanoTime() - began;
        acting = routing;
        Digest expected =
                replica.state().body(replica.state().inForce()).digests().get("");
        if (!reason.isEmpty() || !digest.equals(expected)) {
            throw new IllegalStateException("a server could not act on the revision: " + reason);
        }
        return new Cost(took, question.length + fetched.length);
    }

    @Override
    public long stateBytes() {
        return Heap.used() - heapBefore;
    }

    @Override
    public long serverBytes() {
        long used = Heap.used() - heapBefore;
        if (acting == null) {
            throw new IllegalStateException("the server acts on nothing yet");
        }
        return used;
    }

    private static ServerId id(int server) {
        return new ServerId("server-" + server);
    }

    /** An answer, kept. */
    private static final class Reply implements Answers {
        private Incarnation incarnation;
        private Fault refusal;
        private final List<RevisionId> done = new ArrayList<>();

        static Reply of(byte[] answer) {
            Reply reply = new Reply();
            EncodedMessages.answer(answer, reply);
            return reply;
        }

        @Override
        public void joined(Incarnation as, int places, double floorShare, long next) {
            incarnation = as;
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
            done.add(inForce);
        }

        @Override
        public void done(RevisionId revision) {
            done.add(revision);
        }

        @Override
        public void refused(Fault why) {
            refusal = why;
        }
    }
}
