package tallyweir.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.ratis.Link;

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
        JsonNode audit;
        try (Link link = fleet.open()) {
            audit = link.audit();
        } catch (FleetException e) {
            return FleetOptions.print(spec, e.fault());
        }
        long behind = 0;
        for (JsonNode server : audit.get("servers")) {
            behind += server.get("acting").longValue() < audit.get("in_force").longValue() ? 1 : 0;
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println("revision " + audit.get("in_force").longValue() + ", " + behind + " servers under an earlier one");
        for (JsonNode cap : audit.get("caps")) {
            out.println(line(cap, behind));
        }
        return 0;
    }

    private static String line(JsonNode cap, long behind) {
        long spoken = cap.get("spoken").longValue();
        long connections = cap.get("cap").longValue();
        return cap.get("tenant").textValue() + ": cap " + connections + ", floor of each place "
                + cap.get("floor").longValue() + ", lent " + cap.get("lent").longValue() + ", spoken for " + spoken
                + (spoken <= connections && behind == 0 ? ", reached" : ", not reached yet");
    }
}
