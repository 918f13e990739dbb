package tallyweir.fleet.ratis;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Digest;
import tallyweir.fleet.FleetSettings;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;

/** Three voters in this process on loopback, and a client of them. */
final class VoterCluster implements AutoCloseable {
    static final Duration TIMEOUT = Duration.ofSeconds(30);
    static final String FLEET = "f";
    static final ServerId SERVER = new ServerId("s");

    private static final int VOTERS = 3;
    private static final long NANOS_PER_TICK = 100_000;
    private static final long CLIENT_TIMEOUT_MS = 10_000;
    private static final FleetSettings SETTINGS =
            new FleetSettings(1, 20_000, 5_000, 100_000, 50_000, 0.01, 0.5, 0.25, 8, 0.5, 0, 2, 0.5);

    private final Path dir;
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, Voter> voters = new LinkedHashMap<>();
    private final RatisFleetClient client;

    VoterCluster(Path dir) throws IOException {
        this.dir = dir;
        for (int i = 1; i <= VOTERS; i++) {
            addresses.put("v" + i, "127.0.0.1:" + freePort());
        }
        for (String name : addresses.keySet()) {
            startVoter(name);
        }
        client = new RatisFleetClient(FLEET, addresses, CLIENT_TIMEOUT_MS);
        await().atMost(TIMEOUT).until(() -> client.audit().version() == 1);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    Map<String, String> addresses() {
        return addresses;
    }

    RatisFleetClient client() {
        return client;
    }

    Path dir(String voter) {
        return dir.resolve(voter);
    }

    Voter startVoter(String name) throws IOException {
        Voter voter = startVoter(name, dir(name));
        voters.put(name, voter);
        return voter;
    }

    Voter startVoter(String name, Path log) throws IOException {
        return Voter.start(
                FLEET,
                addresses,
                name,
                log,
                SETTINGS,
                () -> System.nanoTime() / NANOS_PER_TICK,
                System::currentTimeMillis);
    }

    void stopVoter(String name) {
        voters.remove(name).close();
    }

    String leader() {
        await().atMost(TIMEOUT).until(() -> voters.values().stream().anyMatch(Voter::isLeader));
        return voters.entrySet().stream()
                .filter(voter -> voter.getValue().isLeader())
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    /** Sends a command as a server does; empty if no answer arrives. */
    Optional<Answer> send(Command command) throws Exception {
        CompletableFuture<Optional<Answer>> received = new CompletableFuture<>();
        client.send(
                command,
                Runnable::run,
                answer -> received.complete(Optional.of(answer)),
                () -> received.complete(Optional.empty()));
        return received.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    Incarnation join() throws Exception {
        Command join = new Command.Join(FLEET, SERVER, "127.0.0.1:1", 1);
        return ((Answer.Joined) send(join).orElseThrow()).incarnation();
    }

    /** Reports that the server acts on a revision, and that it can adopt the one it has checked. */
    Answer.ReportAccepted report(
            Incarnation as, long number, RevisionRoot acting, long checked, Map<TenantId, Need> needs)
            throws Exception {
        Command report = new Command.Report(
                SERVER, as, number, acting.id(), acting.root(), 0, new RevisionId(checked), "", 0, 0, needs);
        return (Answer.ReportAccepted) send(report).orElseThrow();
    }

    static Change cap(String tenant, int before, int after) {
        return new Change(new Key(Kind.CAP, tenant), value(before), value(after));
    }

    private static Optional<Value> value(int cap) {
        return cap < 0 ? Optional.empty() : Optional.of(new Value.Cap(cap));
    }

    /** Changes the caps of that many tenants from {@code before}, where a negative number means none, to {@code after}. */
    static List<Change> caps(int tenants, int before, int after) {
        return IntStream.range(0, tenants)
                .mapToObj(i -> cap("tenant" + i, before, after))
                .toList();
    }

    Answer publish(String command, long expected, List<Change> changes) {
        return client.request(new Command.Publish(
                new OperatorCommandId(command), new RevisionId(expected), changes, "ann", "because", false));
    }

    Answer change(String command, List<Change> changes) {
        return client.request(new Command.ChangeEntries(new OperatorCommandId(command), changes, "bob", "more", false));
    }

    /** Returns a revision of the audit with the root of its table. */
    RevisionRoot revision(long id) {
        Digest root = client.audit().revisions().stream()
                .filter(revision -> revision.revision().value() == id)
                .findFirst()
                .orElseThrow()
                .root();
        return new RevisionRoot(new RevisionId(id), root);
    }

    /** Waits until a voter, leader or follower, has a revision. */
    void awaitRevision(String voter, RevisionRoot revision) throws IOException {
        ReadRequest request = new ReadRequest.Difference(revision.root(), revision, 0);
        try (VoterConnection connection = new VoterConnection(FLEET, addresses, CLIENT_TIMEOUT_MS)) {
            await().atMost(TIMEOUT)
                    .ignoreExceptions()
                    .until(() -> connection.readFromVoter(voter, request) instanceof ReadResponse.Difference);
        }
    }

    @Override
    public void close() {
        client.close();
        voters.values().forEach(Voter::close);
    }
}
