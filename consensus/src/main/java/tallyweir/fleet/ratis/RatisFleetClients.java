package tallyweir.fleet.ratis;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.FleetClients;
import tallyweir.fleet.FleetSettings;
import tallyweir.fleet.Guard;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.table.Table;

/** Opens clients of fleets whose voters run Ratis, and starts the voter if this server is one. */
public final class RatisFleetClients implements FleetClients {
    private static final int REQUESTS_PER_LEASE = 5;
    private static final long TICKS_PER_MS = 10;
    private static final long NANOS_PER_TICK = 100_000;

    @Override
    public FleetClient open(
            String fleet,
            Map<String, String> voters,
            String self,
            String dir,
            FleetSettings settings,
            Set<Guard> without) {
        Optional<Voter> voter = voters.containsKey(self)
                ? Optional.of(startVoter(fleet, voters, self, Path.of(dir), settings))
                : Optional.empty();
        long timeoutMs = settings.leaseDuration() / TICKS_PER_MS / REQUESTS_PER_LEASE;
        return new ServerClient(new RatisFleetClient(fleet, voters, timeoutMs, without), voter);
    }

    private static Voter startVoter(
            String fleet, Map<String, String> voters, String self, Path dir, FleetSettings settings) {
        try {
            return Voter.start(
                    fleet,
                    voters,
                    self,
                    dir,
                    settings,
                    () -> System.nanoTime() / NANOS_PER_TICK,
                    System::currentTimeMillis);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A server's client, which also closes the server's voter. */
    private record ServerClient(RatisFleetClient client, Optional<Voter> voter) implements FleetClient {
        @Override
        public void send(Command command, Executor callbackExecutor, Consumer<Answer> onAnswer, Runnable onFailure) {
            client.send(command, callbackExecutor, onAnswer, onFailure);
        }

        @Override
        public void fetch(
                Table have,
                RevisionRoot wanted,
                Executor callbackExecutor,
                Consumer<Table> onTable,
                Consumer<Fault> onFailure) {
            client.fetch(have, wanted, callbackExecutor, onTable, onFailure);
        }

        @Override
        public void leave(ServerId server, Incarnation as) {
            client.leave(server, as);
        }

        @Override
        public void close() {
            client.close();
            voter.ifPresent(Voter::close);
        }
    }
}
