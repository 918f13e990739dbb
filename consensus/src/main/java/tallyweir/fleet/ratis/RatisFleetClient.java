package tallyweir.fleet.ratis;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.Guard;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;

/**
 * Client of a fleet whose voters run Ratis. For a server, commands are sent on one thread and tables fetched on another, so that a long
 * fetch does not delay reports; the methods for operators block the calling thread.
 */
public final class RatisFleetClient implements FleetClient {
    private static final Logger LOG = LoggerFactory.getLogger(RatisFleetClient.class);
    private static final long MIN_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 5_000;

    private final String fleet;
    private final Map<String, String> voters;
    private final long timeoutMs;
    private final boolean verifiesRoots;
    private final VoterConnection connection;
    private final List<? extends TableSource> sources;
    private final TableFetch tableFetch; // used by the fetch thread only
    private final Backoff fetchBackoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, new Random());
    private final ExecutorService commandExecutor = singleDaemonThread("fleet commands");
    private final ExecutorService fetchExecutor = singleDaemonThread("fleet tables");

    /** @param timeoutMs about how long an answer is waited for, in ms */
    public RatisFleetClient(String fleet, Map<String, String> voters, long timeoutMs) {
        this(fleet, voters, timeoutMs, Set.of());
    }

    RatisFleetClient(String fleet, Map<String, String> voters, long timeoutMs, Set<Guard> without) {
        this.fleet = fleet;
        this.voters = Map.copyOf(voters);
        this.timeoutMs = timeoutMs;
        verifiesRoots = !without.contains(Guard.ROOT);
        connection = new VoterConnection(fleet, voters, timeoutMs);
        sources = connection.voterNames().stream().map(this::source).toList();
        tableFetch = newTableFetch();
    }

    private TableSource source(String voter) {
        return request -> connection.readFromVoter(voter, request);
    }

    private TableFetch newTableFetch() {
        return new TableFetch(sources, addresses(), timeoutMs);
    }

    private static ExecutorService singleDaemonThread(String name) {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Returns the name of the fleet. */
    public String fleetName() {
        return fleet;
    }

    // ---- for servers

    @Override
    public void send(Command command, Executor callbackExecutor, Consumer<Answer> onAnswer, Runnable onFailure) {
        submit(commandExecutor, () -> {
            Answer answer;
            try {
                answer = connection.send(command);
            } catch (IOException | RuntimeException e) {
                LOG.debug("no answer from the fleet", e);
                callbackExecutor.execute(onFailure);
                return;
            }
            callbackExecutor.execute(() -> onAnswer.accept(answer));
        });
    }

    @Override
    public void fetch(
            Table have,
            RevisionRoot wanted,
            Executor callbackExecutor,
            Consumer<Table> onTable,
            Consumer<Fault> onFailure) {
        submit(fetchExecutor, () -> {
            try {
                fetchNow(have, wanted, table -> callbackExecutor.execute(() -> onTable.accept(table)));
                fetchBackoff.reset();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (FleetException e) {
                failAfterBackoff(e.fault(), callbackExecutor, onFailure);
            } catch (IOException | RuntimeException e) {
                LOG.debug("fetching a table failed", e);
                failAfterBackoff(noLeader(), callbackExecutor, onFailure);
            }
        });
    }

    private void fetchNow(Table have, RevisionRoot wanted, Consumer<Table> onTable)
            throws IOException, InterruptedException {
        if (verifiesRoots) {
            onTable.accept(tableFetch.fetch(have, wanted));
        } else {
            new UnverifiedFetch(connection::readFromLeader).fetch(have, wanted, onTable);
        }
    }

    /** Reports the failure after a random backoff, since the caller retries as soon as it is notified. */
    private void failAfterBackoff(Fault fault, Executor callbackExecutor, Consumer<Fault> onFailure) {
        try {
            TimeUnit.MILLISECONDS.sleep(fetchBackoff.nextDelayMs());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        callbackExecutor.execute(() -> onFailure.accept(fault));
    }

    private static void submit(ExecutorService thread, Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("the client is closed", e);
        }
    }

    @Override
    public void leave(ServerId server, Incarnation as) {
        try {
            connection.send(new Command.Leave(server, as));
        } catch (IOException | RuntimeException e) {
            LOG.debug("leave command not confirmed; the fleet will detect that this server has left", e);
        }
    }

    // ---- for operators

    /**
     * Sends a command and waits for its answer. If none arrives, returns {@link Fault.OutcomeUnknown}; sending the same command again
     * gives its outcome.
     */
    public Answer request(Command command) {
        try {
            return connection.send(command);
        } catch (IOException | RuntimeException e) {
            LOG.debug("no answer from the fleet", e);
            return new Answer.Refused(
                    VoterConnection.isOtherFleet(e) ? otherFleet() : new Fault.OutcomeUnknown(commandName(command)));
        }
    }

    private static String commandName(Command command) {
        if (command instanceof Command.Publish publish) {
            return publish.command().value();
        }
        if (command instanceof Command.ChangeEntries change) {
            return change.command().value();
        }
        if (command instanceof Command.Rollback rollback) {
            return rollback.command().value();
        }
        return command.getClass().getSimpleName();
    }

    /**
     * Returns the table of a revision.
     *
     * @param have a table that the caller has, {@code EMPTY} for none; the closer to the wanted one, the less is transferred
     * @throws FleetException if it cannot be fetched
     */
    public Table table(Table have, RevisionRoot wanted) {
        return newTableFetch().fetch(have, wanted);
    }

    /** Returns the values of entries in the revision in force; a key without an entry has no value. */
    public EntryValues values(List<Key> keys) {
        ReadResponse.Values response =
                request(new ReadRequest.Values(new ArrayList<>(keys)), ReadResponse.Values.class);
        Map<Key, Value> values = new LinkedHashMap<>();
        response.entries().forEach(entry -> values.put(entry.key(), entry.value()));
        return new EntryValues(response.revision(), values);
    }

    /** Returns all that the replicated state knows about revisions, servers and caps. */
    public FleetAudit audit() {
        return request(new ReadRequest.Audit(), ReadResponse.Audit.class).audit();
    }

    private <T extends ReadResponse> T request(ReadRequest request, Class<T> expected) {
        try {
            return expected.cast(connection.readFromLeader(request));
        } catch (IOException | RuntimeException e) {
            LOG.debug("no response from the fleet", e);
            throw (VoterConnection.isOtherFleet(e) ? otherFleet() : noLeader()).toException();
        }
    }

    private Fault otherFleet() {
        return new Fault.Stranger(fleet, "at " + addresses());
    }

    private Fault noLeader() {
        return new Fault.NoLeader(addresses(), timeoutMs);
    }

    private String addresses() {
        return String.join(", ", voters.values());
    }

    @Override
    public void close() {
        commandExecutor.shutdownNow();
        fetchExecutor.shutdownNow();
        try {
            connection.close();
        } catch (IOException e) {
            LOG.debug("failed to close a connection to the voters", e);
        }
    }
}
