package tallyweir.tool.scale;

/** Makes the parts of a simulated fleet; the one place that names the classes of the mechanism that is simulated. */
interface SimulationParts {
    /** A voter with an empty state. */
    VoterUnderTest voter();

    /** An operator. */
    OperatorUnderTest operator(FleetSize size, long seed);

    /** A process of a server, which has not asked for a place yet. */
    ServerUnderTest server(int number, long life, long seed, long now, ServerUnderTest.Network network);

    /** Heap that a run in one process needs, bytes, about. */
    long heapNeeded();
}
