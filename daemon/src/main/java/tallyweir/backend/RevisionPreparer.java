package tallyweir.backend;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;
import tallyweir.ids.WorkloadId;

/**
 * Fetches revisions and prepares them for use. All work that grows with the size of a table or of a difference is done on the
 * client's thread; the deciding thread only gets the outcome.
 */
final class RevisionPreparer {
    private static final Logger LOG = LoggerFactory.getLogger(RevisionPreparer.class);
    private static final int MAX_DIFFERENCE_ENTRIES = 4_096; // above it, the routes are rebuilt from the whole table

    private final FleetClient client;
    private final Executor decidingExecutor;
    private final String serverName;
    private final Set<WorkloadId> workloads;

    /**
     * @param decidingExecutor runs the callbacks on the deciding thread
     * @param serverName the name of this server
     * @param workloads the workloads of this server
     */
    RevisionPreparer(FleetClient client, Executor decidingExecutor, String serverName, Set<WorkloadId> workloads) {
        this.client = client;
        this.decidingExecutor = decidingExecutor;
        this.serverName = serverName;
        this.workloads = Set.copyOf(workloads);
    }

    /**
     * Fetches a revision and prepares it. Runs exactly one of the two callbacks, on the deciding thread, unless the client is
     * closed first.
     *
     * @param inUse the routes in use, of which as much as possible is shared
     * @param onPrepared takes the prepared revision
     * @param onFailed takes the reason why it could not be fetched or prepared
     */
    void prepare(
            Routes inUse, RevisionRoot revision, Consumer<PreparedRevision> onPrepared, Consumer<String> onFailed) {
        client.fetch(
                inUse.table(),
                revision,
                Runnable::run, // on the client's thread
                table -> onFetched(inUse, revision, table, onPrepared, onFailed),
                fault -> decidingExecutor.execute(() -> onFailed.accept(fault.description())));
    }

    private void onFetched(
            Routes inUse,
            RevisionRoot revision,
            Table table,
            Consumer<PreparedRevision> onPrepared,
            Consumer<String> onFailed) {
        try {
            Routes routes = routesOf(inUse, table);
            PreparedRevision prepared = new PreparedRevision(revision, routes, ServerEntries.of(table, serverName));
            decidingExecutor.execute(() -> onPrepared.accept(prepared));
        } catch (RuntimeException e) {
            LOG.warn("a revision could not be prepared", e);
            decidingExecutor.execute(() -> onFailed.accept("it cannot be used: " + e.getMessage()));
        }
    }

    private Routes routesOf(Routes inUse, Table table) {
        Optional<List<Change>> difference = inUse.table().differenceTo(table, MAX_DIFFERENCE_ENTRIES);
        return difference.map(changes -> inUse.with(table, changes)).orElseGet(() -> Routes.of(table, workloads));
    }
}
