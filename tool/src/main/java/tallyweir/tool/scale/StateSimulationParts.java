package tallyweir.tool.scale;

import java.util.concurrent.Executor;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.table.Table;

/** The parts on the state and codec of the fleet and consensus modules. */
final class StateSimulationParts implements SimulationParts {
    private static final long SERVER_BYTES = 100_000;
    private static final long ENTRY_BYTES = 3_000; // of two replicas, and of what is between them
    private static final long LEAST_BYTES = 64_000_000;

    private final FleetSize size;
    private final int activeTenants;
    private Table first; // made when it is needed first

    StateSimulationParts(FleetSize size, int activeTenants) {
        this.size = size;
        this.activeTenants = activeTenants;
    }

    @Override
    public VoterUnderTest voter() {
        return new ReplicaVoter();
    }

    @Override
    public OperatorUnderTest operator(long seed) {
        return new EntryOperator(size, seed);
    }

    @Override
    public ServerUnderTest server(
            HollowServer.Identity identity, long now, boolean hasTable, FleetClient client, Executor deciding) {
        Table table = hasTable ? first() : Table.EMPTY;
        return new HollowServer(identity, now, table, size.tenants(), activeTenants, client, deciding);
    }

    private Table first() {
        if (first == null) {
            first = Table.EMPTY.apply(RevisionEntries.first(size));
            first.root(); // so that no server is charged with hashing what it would have hashed before
        }
        return first;
    }

    @Override
    public long heapNeeded() {
        return LEAST_BYTES + size.servers() * SERVER_BYTES + (size.tenants() + (long) size.routes()) * ENTRY_BYTES;
    }
}
