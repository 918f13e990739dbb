package tallyweir.tool.scale;

import java.util.concurrent.Executor;
import tallyweir.fleet.FleetClient;

/** Makes the parts of a fleet that is run; with {@link FleetUnderTest} the one place that names the mechanism. */
interface SimulationParts {
    /** A voter with an empty state. */
    VoterUnderTest voter();

    /** An operator. */
    OperatorUnderTest operator(long seed);

    /**
     * A process of a server, which has not asked for a place yet.
     *
     * @param hasTable whether it has the first revision's table already, so that a run need not begin with all fetching it
     */
    ServerUnderTest server(
            HollowServer.Identity identity, long now, boolean hasTable, FleetClient client, Executor deciding);

    /** Heap that a run in one process needs, bytes, about. */
    long heapNeeded();
}
