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
 * Fetches revisions and makes them ready to be used. All work that grows with a table or with what differs is done on the
 * client's thread; the deciding thread is only told of the outcome.
 */
final class RevisionPreparer {
    private static final Logger LOG = LoggerFactory.getLogger(RevisionPreparer.class);
    private static final int DIFFERENCE_MOST = 4_096; // entries; beyond it the index is made anew, entry by entry

    private final FleetClient client;
    private final Executor deciding;
    private final String server;
    private final Set<WorkloadId> workloads;

    /**
     * @param deciding tells outcomes on the deciding thread
     * @param server the name of this server
     * @param workloads those that this server knows
     */
    RevisionPreparer(FleetClient client, Executor deciding, String server, Set<WorkloadId> workloads) {
        this.client = client;
        this.deciding = deciding;
        this.server = server;
        this.workloads = Set.copyOf(workloads);
    }

    /**
     * Fetches a revision and prepares it.
     *
     * @param inUse the routes that are in use, of which as much as possible is kept
     * @param to takes the revision
     * @param failed takes the reason why it could not be had
     */
    void prepare(Routes inUse, RevisionRoot revision, Consumer<PreparedRevision> to, Consumer<String> failed) {
        client.fetch(
                inUse.table(),
                revision,
                Runnable::run, // on the client's thread
                table -> prepared(inUse, revision, table, to, failed),
                fault -> deciding.execute(() -> failed.accept(fault.what())));
    }

    private void prepared(
            Routes inUse, RevisionRoot revision, Table table, Consumer<PreparedRevision> to, Consumer<String> failed) {
        try {
            Routes routes = routes(inUse, table);
            PreparedRevision prepared = new PreparedRevision(revision, routes, ServerEntries.of(table, server));
            deciding.execute(() -> to.accept(prepared));
        } catch (RuntimeException e) {
            LOG.warn("a revision cannot be used", e);
            deciding.execute(() -> failed.accept("it cannot be used: " + e.getMessage()));
        }
    }

    private Routes routes(Routes inUse, Table table) {
        Optional<List<Change>> difference = inUse.table().differenceTo(table, DIFFERENCE_MOST);
        return difference.map(changes -> inUse.with(table, changes)).orElseGet(() -> Routes.of(table, workloads));
    }
}
