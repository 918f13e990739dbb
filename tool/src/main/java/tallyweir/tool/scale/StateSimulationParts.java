package tallyweir.tool.scale;

/** The parts on the present state and codec. */
record StateSimulationParts(FleetSize size, int activeTenants) implements SimulationParts {
    private static final long SERVER_BYTES = 20_000;
    private static final long TENANT_BYTES = 320; // of one server; 312 were measured
    private static final long ROUTE_BYTES = 240; // of one server

    @Override
    public VoterUnderTest voter() {
        return new ReplicaVoter();
    }

    @Override
    public OperatorUnderTest operator(FleetSize of, long seed) {
        return new TextOperator(of, seed);
    }

    @Override
    public ServerUnderTest server(int number, long life, long seed, long now, ServerUnderTest.Network network) {
        return new HollowServer(number, life, seed, now, size.tenants(), activeTenants, network);
    }

    @Override
    public long heapNeeded() {
        return size.servers()
                * (SERVER_BYTES + (long) size.tenants() * TENANT_BYTES + (long) size.routes() * ROUTE_BYTES);
    }
}
