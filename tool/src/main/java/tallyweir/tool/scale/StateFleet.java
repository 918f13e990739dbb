package tallyweir.tool.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import tallyweir.backend.Routes;
import tallyweir.backend.TableCaps;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Gate;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.State;
import tallyweir.fleet.ratis.EncodedMessages;
import tallyweir.fleet.ratis.LocalReplica;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

/** The measured operations on the state and codec of the fleet and consensus modules. */
final class StateFleet implements FleetUnderTest {
    private static final long WALL = 1_700_000_000_000L;
    private static final String BY = "scale";
    private static final Set<WorkloadId> WORKLOADS = Set.of(new WorkloadId("orders"));

    private final EncodedMessages messages = new EncodedMessages();
    private final SplittableRandom random;
    private final int activeTenants;
    private final Map<Integer, Long> numbers = new HashMap<>();
    private final Map<Integer, Incarnation> incarnations = new HashMap<>();
    private final Map<Integer, Integer> caps = new HashMap<>(); // where they differ from the first revision's
    private FleetSize size;
    private LocalReplica replica;
    private Path snapshot;
    private long lives;
    private int commands;
    private long heapBefore;
    private Gate gate;
    private Routes acting;

    /** @param activeTenants of each server, for which it has open connections and reports a need */
    StateFleet(long seed, int activeTenants) {
        random = new SplittableRandom(seed);
        this.activeTenants = activeTenants;
    }

    private State state() {
        return replica.state();
    }

    @Override
    public Cost found(FleetSize of) {
        begin(of);
        heapBefore = Heap.used();
        long began = System.nanoTime();
        foundWithFirstRevision();
        for (int server = 0; server < of.servers(); server++) {
            join(server);
            report(server);
        }
        return new Cost(System.nanoTime() - began, 0);
    }

    private void begin(FleetSize of) {
        size = of;
        numbers.clear();
        incarnations.clear();
        caps.clear();
        replica = new LocalReplica();
        acting = null;
        gate = null;
    }

    private void foundWithFirstRevision() {
        apply(new Command.CreateFleet(ScaleSettings.FLEET, ScaleSettings.fleet(size.servers())));
        List<Change> first = RevisionEntries.first(size);
        done(apply(new Command.Publish(next(), RevisionId.NONE, first, BY, "the first revision", true)));
    }

    private Answer apply(Command command) {
        try {
            return messages.decodeAnswer(replica.apply(0, WALL, messages.encode(command)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void done(Answer answer) {
        if (!(answer instanceof Answer.Done)) {
            throw new IllegalStateException("a change was not made: " + answer);
        }
    }

    /** Applies an encoded command, as a voter does with an entry of the log. */
    private Timed timed(Command command) {
        byte[] bytes = messages.encode(command);
        try {
            long began = System.nanoTime();
            byte[] answer = replica.apply(0, WALL, bytes);
            long took = System.nanoTime() - began;
            return new Timed(new Cost(took, bytes.length + answer.length), messages.decodeAnswer(answer));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private record Timed(Cost cost, Answer answer) {}

    /** Applies a command in the state alone. */
    private Timed timedInState(Command command) {
        long began = System.nanoTime();
        Answer answer = state().apply(command);
        return new Timed(new Cost(System.nanoTime() - began, 0), answer);
    }

    private OperatorCommandId next() {
        return new OperatorCommandId("command " + ++commands);
    }

    @Override
    public Cost join(int server) {
        Timed timed = timed(new Command.Join(ScaleSettings.FLEET, id(server), "10.0.0.1:" + server, ++lives));
        if (!(timed.answer instanceof Answer.Joined joined)) {
            throw new IllegalStateException("a server could not join: " + timed.answer);
        }
        incarnations.put(server, joined.incarnation());
        numbers.put(server, 0L);
        return timed.cost;
    }

    @Override
    public Cost report(int server) {
        return told(timed(reportOf(server)));
    }

    @Override
    public Cost reportInState(int server) {
        return told(timedInState(reportOf(server)));
    }

    private static Cost told(Timed timed) {
        if (!(timed.answer instanceof Answer.ReportAccepted)) {
            throw new IllegalStateException("a report was turned down: " + timed.answer);
        }
        return timed.cost;
    }

    private Command.Report reportOf(int server) {
        RevisionId inForce = state().inForce();
        return new Command.Report(
                id(server),
                incarnations.get(server),
                numbers.merge(server, 1L, Long::sum),
                inForce,
                state().table(inForce).root(),
                0,
                inForce,
                "",
                0,
                0,
                needs());
    }

    private Map<TenantId, Need> needs() {
        Map<TenantId, Need> needs = new HashMap<>();
        for (int i = 0; i < activeTenants; i++) {
            needs.put(RevisionEntries.tenant(random.nextInt(size.tenants())), new Need(0, 2));
        }
        return needs;
    }

    @Override
    public Cost publishOneCapChange() {
        Timed timed = timed(capChange());
        done(timed.answer);
        return timed.cost;
    }

    @Override
    public Cost changeInState() {
        Timed timed = timedInState(capChange());
        done(timed.answer);
        return timed.cost;
    }

    private Command capChange() {
        int tenant = random.nextInt(size.tenants());
        int before = caps.getOrDefault(tenant, RevisionEntries.cap(size, tenant));
        caps.put(tenant, before + 1);
        Change change = RevisionEntries.capChange(tenant, before, before + 1);
        return new Command.ChangeEntries(next(), List.of(change), BY, "a cap is raised", true);
    }

    @Override
    public Cost rollback() {
        RevisionId inForce = state().inForce();
        Timed timed = timed(new Command.Rollback(
                next(), inForce, new RevisionId(inForce.value() - 1), BY, "the change is taken back", true));
        done(timed.answer);
        caps.clear(); // from here on only rollbacks follow at this size
        return timed.cost;
    }

    @Override
    public Cost save() {
        try {
            deleteSnapshot();
            snapshot = Files.createTempFile("fleet-scale", ".snapshot");
            long began = System.nanoTime();
            replica.save(snapshot);
            return new Cost(System.nanoTime() - began, Files.size(snapshot));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void deleteSnapshot() throws IOException {
        if (snapshot != null) {
            Files.deleteIfExists(snapshot);
        }
    }

    @Override
    public Cost load() {
        try {
            long began = System.nanoTime();
            LocalReplica restored = LocalReplica.load(snapshot);
            long took = System.nanoTime() - began;
            if (!restored.state().inForce().equals(state().inForce())) {
                throw new IllegalStateException("a snapshot came back with another revision in force");
            }
            return new Cost(took, Files.size(snapshot));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void prepareServer(FleetSize of) {
        begin(of);
        foundWithFirstRevision();
        heapBefore = Heap.used();
        gate = new Gate(ScaleSettings.LINGER);
        Table table = messages.fetch(Table.EMPTY, inForce(), replica::read);
        acting = Routes.of(table, WORKLOADS);
        gate.caps(new TableCaps(table));
    }

    private RevisionRoot inForce() {
        RevisionId inForce = state().inForce();
        return new RevisionRoot(inForce, state().table(inForce).root());
    }

    @Override
    public Cost serverApply() {
        done(apply(capChange()));
        RevisionRoot wanted = inForce();
        long[] bytes = new long[1];
        long[] voterNanoseconds = new long[1];
        long began = System.nanoTime();
        Table table = messages.fetch(acting.table(), wanted, question -> {
            long asked = System.nanoTime();
            byte[] reply = replica.read(question);
            voterNanoseconds[0] += System.nanoTime() - asked;
            bytes[0] += question.length + reply.length;
            return reply;
        });
        acting = acting.with(table, acting.table().differenceTo(table));
        gate.caps(new TableCaps(table));
        long took = System.nanoTime() - began - voterNanoseconds[0];
        if (!acting.unusableReason().isEmpty()) {
            throw new IllegalStateException("a server could not act on a revision: " + acting.unusableReason());
        }
        return new Cost(took, bytes[0]);
    }

    @Override
    public long stateBytes() {
        return Heap.used() - heapBefore;
    }

    @Override
    public long serverBytes() {
        long used = Heap.used() - heapBefore;
        if (acting == null || gate == null) {
            throw new IllegalStateException("the server acts on nothing yet");
        }
        return used;
    }

    @Override
    public void close() {
        try {
            deleteSnapshot();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ServerId id(int server) {
        return new ServerId("server-" + server);
    }
}
