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
 * A client of a fleet whose voters run Ratis. For a server, commands go out on one thread and fetches on another, so that a long
 * fetch holds up no report; the calls for operators wait on the thread of the caller.
 */
public final class RatisFleetClient implements FleetClient {
    private static final Logger LOG = LoggerFactory.getLogger(RatisFleetClient.class);
    private static final long BACKOFF_LEAST_MS = 100;
    private static final long BACKOFF_MOST_MS = 5_000;

    private final String fleet;
    private final Map<String, String> voters;
    private final long giveUpMs;
    private final boolean checksRoots;
    private final VoterConnection connection;
    private final List<? extends TableSource> sources;
    private final TableFetch fetches; // used by the fetching thread only
    private final Backoff fetchBackoff = new Backoff(BACKOFF_LEAST_MS, BACKOFF_MOST_MS, new Random());
    private final ExecutorService sending = daemonThread("fleet commands");
    private final ExecutorService fetching = daemonThread("fleet tables");

    /** @param giveUpMs about how long an answer is waited for */
    public RatisFleetClient(String fleet, Map<String, String> voters, long giveUpMs) {
        this(fleet, voters, giveUpMs, Set.of());
    }

    RatisFleetClient(String fleet, Map<String, String> voters, long giveUpMs, Set<Guard> without) {
        this.fleet = fleet;
        this.voters = Map.copyOf(voters);
        this.giveUpMs = giveUpMs;
        checksRoots = !without.contains(Guard.ROOT);
        connection = new VoterConnection(fleet, voters, giveUpMs);
        sources = connection.names().stream().map(this::source).toList();
        fetches = newFetch();
    }

    private TableSource source(String voter) {
        return question -> connection.askVoter(voter, question);
    }

    private TableFetch newFetch() {
        return new TableFetch(sources, addresses(), giveUpMs);
    }

    private static ExecutorService daemonThread(String name) {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** The fleet's name. */
    public String name() {
        return fleet;
    }

    // ---- for a server

    @Override
    public void send(Command command, Executor deciding, Consumer<Answer> to, Runnable failed) {
        onThread(sending, () -> {
            Answer answer;
            try {
                answer = connection.send(command);
            } catch (IOException | RuntimeException e) {
                LOG.debug("no answer from the fleet", e);
                deciding.execute(failed);
                return;
            }
            deciding.execute(() -> to.accept(answer));
        });
    }

    @Override
    public void fetch(Table have, RevisionRoot wanted, Executor deciding, Consumer<Table> to, Consumer<Fault> failed) {
        onThread(fetching, () -> {
            try {
                fetchNow(have, wanted, table -> deciding.execute(() -> to.accept(table)));
                fetchBackoff.succeeded();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (FleetException e) {
                failLater(e.fault(), deciding, failed);
            } catch (IOException | RuntimeException e) {
                LOG.debug("a fetch failed", e);
                failLater(noLeader(), deciding, failed);
            }
        });
    }

    private void fetchNow(Table have, RevisionRoot wanted, Consumer<Table> to)
            throws IOException, InterruptedException {
        if (checksRoots) {
            to.accept(fetches.fetch(have, wanted));
        } else {
            new UncheckedFetch(connection::askLeader).fetch(have, wanted, to);
        }
    }

    /** The caller asks again when it hears of the failure, so it hears of it after a random wait. */
    private void failLater(Fault fault, Executor deciding, Consumer<Fault> failed) {
        try {
            TimeUnit.MILLISECONDS.sleep(fetchBackoff.afterFailureMs());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        deciding.execute(() -> failed.accept(fault));
    }

    private static void onThread(ExecutorService thread, Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("the client has been closed", e);
        }
    }

    @Override
    public void leave(ServerId server, Incarnation as) {
        try {
            connection.send(new Command.Leave(server, as));
        } catch (IOException | RuntimeException e) {
            LOG.debug("the fleet will find out by itself that this server has left", e);
        }
    }

    // ---- for operators

    /**
     * Sends a command and waits. Without an answer that is {@link Fault.OutcomeUnknown}: whoever sends the same command again
     * finds out.
     */
    public Answer ask(Command command) {
        try {
            return connection.send(command);
        } catch (IOException | RuntimeException e) {
            LOG.debug("no answer from the fleet", e);
            return new Answer.Refused(
                    VoterConnection.isOtherFleet(e) ? stranger() : new Fault.OutcomeUnknown(nameOf(command)));
        }
    }

    private static String nameOf(Command command) {
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
     * The table of a revision.
     *
     * @param have a table that is there, the nearer the better; EMPTY for none
     * @throws FleetException where it cannot be had
     */
    public Table table(Table have, RevisionRoot wanted) {
        return newFetch().fetch(have, wanted);
    }

    /** What entries say in the revision in force. */
    public EntryValues values(List<Key> keys) {
        Reply.Values reply = ask(new Question.Values(new ArrayList<>(keys)), Reply.Values.class);
        Map<Key, Value> values = new LinkedHashMap<>();
        reply.entries().forEach(entry -> values.put(entry.key(), entry.value()));
        return new EntryValues(reply.revision(), values);
    }

    /** All that the replicated state knows of revisions, servers and caps. */
    public FleetAudit audit() {
        return ask(new Question.Audit(), Reply.Audit.class).audit();
    }

    private <T extends Reply> T ask(Question question, Class<T> expected) {
        try {
            return expected.cast(connection.askLeader(question));
        } catch (IOException | RuntimeException e) {
            LOG.debug("no reply from the fleet", e);
            throw (VoterConnection.isOtherFleet(e) ? stranger() : noLeader()).thrown();
        }
    }

    private Fault stranger() {
        return new Fault.Stranger(fleet, "at " + addresses());
    }

    private Fault noLeader() {
        return new Fault.NoLeader(addresses(), giveUpMs);
    }

    private String addresses() {
        return String.join(", ", voters.values());
    }

    @Override
    public void close() {
        sending.shutdownNow();
        fetching.shutdownNow();
        try {
            connection.close();
        } catch (IOException e) {
            LOG.debug("a connection to the voters did not close well", e);
        }
    }
}
