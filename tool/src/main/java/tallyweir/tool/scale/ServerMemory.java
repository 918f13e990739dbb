package tallyweir.tool.scale;

/** The heap that one server takes for what it acts on. */
final class ServerMemory {
    private ServerMemory() {}

    /** Measures it with one server alone, whatever the number of servers. */
    static long measure(FleetUnderTest fleet, FleetSize size) {
        fleet.prepareServer(size);
        fleet.serverApply();
        return fleet.serverBytes();
    }
}
