package tallyweir.tool.scale;

import java.util.function.BiFunction;

/** An operation whose growth with the fleet is measured. */
enum Operation {
    REPORT("report", true, FleetUnderTest::report),
    REPORT_IN_STATE("report-in-state", true, FleetUnderTest::reportInState),
    JOIN("join", true, Operation::joinAndReport),
    SAVE("snapshot-save", true, (fleet, server) -> fleet.save()),
    LOAD("snapshot-load", true, (fleet, server) -> fleet.load()),
    CHANGE("change-of-one-cap", true, (fleet, server) -> fleet.publishOneCapChange()),
    CHANGE_IN_STATE("change-in-state", true, (fleet, server) -> fleet.changeInState()),
    REPORT_AFTER_CHANGE("report-after-change", true, Operation::changeAndReport),
    ROLLBACK("rollback", true, (fleet, server) -> fleet.rollback()),
    SERVER_APPLY("server-apply", false, (fleet, server) -> fleet.serverApply());

    private final String label;
    private final boolean ofState;
    private final BiFunction<FleetUnderTest, Integer, Cost> once;

    Operation(String label, boolean ofState, BiFunction<FleetUnderTest, Integer, Cost> once) {
        this.label = label;
        this.ofState = ofState;
        this.once = once;
    }

    /** The name under which it is printed. */
    String label() {
        return label;
    }

    /** Whether it needs the state with all servers in it. */
    boolean ofState() {
        return ofState;
    }

    /** Does it once, with the server of that number. */
    Cost once(FleetUnderTest fleet, int server) {
        return once.apply(fleet, server);
    }

    /** After it has joined a server reports, so that it is a member again when the next is measured. */
    private static Cost joinAndReport(FleetUnderTest fleet, int server) {
        Cost cost = fleet.join(server);
        fleet.report(server);
        return cost;
    }

    /** The first report of a server that acts on a change which has just come into force. */
    private static Cost changeAndReport(FleetUnderTest fleet, int server) {
        fleet.publishOneCapChange();
        return fleet.report(server);
    }
}
