package tallyweir.fleet.ratis;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.FleetClients;
import tallyweir.fleet.FleetSettings;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** The {@link FleetClients} service as a server finds it with {@link ServiceLoader} and uses it. */
class FleetClientsTest {
    private static final FleetSettings SETTINGS =
            new FleetSettings(1, 100_000, 5_000, 1_000_000, 500_000, 0.01, 0.5, 0.25, 8, 0.5, 0, 2, 0.5);
    private static final ServerId SERVER = new ServerId("a");

    @TempDir
    private Path dir;

    private static Optional<Answer> send(FleetClient client, Command command) throws Exception {
        CompletableFuture<Optional<Answer>> received = new CompletableFuture<>();
        client.send(
                command,
                Runnable::run,
                answer -> received.complete(Optional.of(answer)),
                () -> received.complete(Optional.empty()));
        return received.get(VoterCluster.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    @Test
    void aServerThatIsTheOnlyVoterJoinsItsFleetAndFetchesARevision() throws Exception {
        FleetClients service =
                ServiceLoader.load(FleetClients.class).findFirst().orElseThrow();
        String address = "127.0.0.1:" + VoterCluster.freePort();
        try (FleetClient client = service.open("one", Map.of("a", address), "a", dir.toString(), SETTINGS, Set.of())) {
            Command join = new Command.Join("one", SERVER, "127.0.0.1:1", 1);
            await().atMost(VoterCluster.TIMEOUT).until(() -> send(client, join).orElse(null) instanceof Answer.Joined);
            List<Change> changes = VoterCluster.caps(3, -1, 1);
            Command publish =
                    new Command.Publish(new OperatorCommandId("c"), RevisionId.NONE, changes, "ann", "", false);
            assertEquals(Optional.of(new Answer.Done(new RevisionId(1))), send(client, publish));
            Table table = Table.EMPTY.apply(changes);
            CompletableFuture<Object> fetched = new CompletableFuture<>();
            RevisionRoot wanted = new RevisionRoot(new RevisionId(1), table.root());
            client.fetch(Table.EMPTY, wanted, Runnable::run, fetched::complete, fetched::complete);
            assertEquals(table, fetched.get(VoterCluster.TIMEOUT.toSeconds(), TimeUnit.SECONDS));
            Answer.Joined again =
                    assertInstanceOf(Answer.Joined.class, send(client, join).orElseThrow());
            client.leave(SERVER, again.incarnation());
        }
    }
}
