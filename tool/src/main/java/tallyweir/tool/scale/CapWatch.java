package tallyweir.tool.scale;

/** Looks whether the connections of a tenant over the whole fleet are more than its cap. */
final class CapWatch {
    private final SimulatedServers servers;
    private final OperatorUnderTest operator;
    private final int tenants;
    private long passed;
    private double fullest;

    CapWatch(SimulatedServers servers, OperatorUnderTest operator, int tenants) {
        this.servers = servers;
        this.operator = operator;
        this.tenants = Math.min(tenants, DrawnLoad.HOT_TENANTS);
    }

    /** Looks at the tenants that many servers have connections of. */
    void look() {
        for (int tenant = 0; tenant < tenants; tenant++) {
            int connections = servers.connections(tenant);
            int cap = operator.highestCap(tenant);
            passed += connections > cap ? 1 : 0;
            fullest = Math.max(fullest, connections / (double) cap);
        }
    }

    /** How often a tenant was above its cap. */
    long passed() {
        return passed;
    }

    /** The largest part of a cap that was in use at once. */
    double fullest() {
        return fullest;
    }
}
