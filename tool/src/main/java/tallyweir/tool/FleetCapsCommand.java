package tallyweir.tool;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.ratis.FleetAudit;
import tallyweir.fleet.ratis.RatisFleetClient;

/** Shows what tenants' caps are lent to. */
@CommandLine.Command(
        name = "caps",
        mixinStandardHelpOptions = true,
        description =
                "Shows each tenant's cap, what of it may be relied on, and whether a cap that was lowered is reached.")
final class FleetCapsCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Mixin
    private FleetOptions fleet;

    @Override
    public Integer call() {
        try (RatisFleetClient client = fleet.open()) {
            return print(client.audit());
        } catch (FleetException e) {
            return FleetOptions.print(spec, e.fault());
        }
    }

    private int print(FleetAudit audit) {
        long behind = audit.servers().stream()
                .filter(server -> server.acting().isBefore(audit.inForce()))
                .count();
        PrintWriter out = spec.commandLine().getOut();
        out.println("revision " + audit.inForce().value() + ", " + behind + " servers under an earlier one");
        audit.caps().forEach(cap -> out.println(line(cap, behind)));
        int more = audit.capped() - audit.caps().size();
        if (more > 0) {
            out.println("and " + more + " more tenants with a cap");
        }
        return 0;
    }

    private static String line(FleetAudit.CapAudit cap, long behind) {
        boolean reached = cap.spoken() <= cap.cap() && behind == 0;
        return cap.tenant().value() + ": cap " + cap.cap() + ", floor of each place " + cap.floor() + ", lent "
                + cap.lent() + ", spoken for " + cap.spoken() + (reached ? ", reached" : ", not reached yet");
    }
}
