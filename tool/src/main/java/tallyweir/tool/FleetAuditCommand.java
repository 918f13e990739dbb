package tallyweir.tool;

import java.io.PrintWriter;
import java.time.Instant;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ratis.FleetAudit;
import tallyweir.fleet.ratis.RatisFleetClient;

/** Shows who changed what, and which server acts on what. */
@CommandLine.Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description =
                "Shows each revision with its changes, those that wait, who acted on which revision and when, and who"
                        + " is behind, out or unheard of.")
final class FleetAuditCommand implements Callable<Integer> {
    private static final String UNKNOWN = "unknown";
    private static final String NO_VALUE = "none";

    @Spec
    private CommandSpec spec;

    @Mixin
    private FleetOptions fleet;

    @Option(names = "--json", description = "All of it, as JSON.")
    private boolean json;

    @Override
    public Integer call() {
        FleetAudit audit;
        try (RatisFleetClient client = fleet.open()) {
            audit = client.audit();
        } catch (FleetException e) {
            return FleetOptions.print(spec, e.fault());
        }
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(audit.toJson().toPrettyString());
        } else {
            print(out, audit);
        }
        return 0;
    }

    private static void print(PrintWriter out, FleetAudit audit) {
        out.println("fleet " + audit.fleet() + ": revision " + audit.inForce().value() + " in force, " + audit.live()
                + " live, " + audit.out() + " shut out");
        audit.revisions().forEach(revision -> revision(out, revision));
        audit.waiting().forEach(change -> change(out, "waits: ", change));
        audit.refused().forEach(change -> change(out, "turned down: ", change));
        audit.servers().forEach(server -> server(out, server));
        audit.gone().forEach(server -> server(out, server));
    }

    private static void revision(PrintWriter out, FleetAudit.RevisionAudit revision) {
        boolean again = !revision.of().equals(RevisionId.NONE);
        out.println("revision " + revision.revision().value() + " " + revision.fate()
                + (again ? " (as " + revision.of().value() + ")" : "")
                + " by " + revision.by()
                + " since " + time(revision.sinceMs())
                + ": " + revision.why()
                + (revision.reasons().isEmpty() ? "" : "; " + revision.reasons()));
        revision.changes().forEach(change -> change(out, "  ", change));
    }

    private static void change(PrintWriter out, String before, FleetAudit.ChangeAudit change) {
        out.println(before + change.kind() + " " + change.command().value()
                + " by " + change.by()
                + " at " + time(change.atMs())
                + ", " + change.entries() + " entries"
                + ", " + change.outcome()
                + ": " + change.why()
                + (change.fault().isEmpty() ? "" : "; " + change.fault()));
        for (FleetAudit.KeyAudit entry : change.keys()) {
            out.println(before + "  " + entry.key() + ": " + entry.before().orElse(NO_VALUE) + " to "
                    + entry.after().orElse(NO_VALUE));
        }
    }

    private static void server(PrintWriter out, FleetAudit.ServerAudit server) {
        boolean heard = server.heardMs() != 0;
        out.println("server " + server.server().value() + " " + server.standing()
                + (server.marked() ? " MARKED" : "")
                + (server.odd() ? " DIGEST DIFFERS" : "")
                + ": acts on " + (heard ? server.acting().value() : UNKNOWN)
                + ", heard " + time(server.heardMs())
                + ", outdated queries " + server.outdated()
                + (server.cause().isEmpty() ? "" : ", " + server.cause()));
        for (FleetAudit.TransitionAudit passage : server.passages()) {
            out.println("  " + time(passage.atMs()) + " from " + passage.from().value() + " to "
                    + passage.to().value() + ", behind " + passage.behindMs() + " ms, outdated queries "
                    + passage.outdated());
        }
    }

    private static String time(long ms) {
        return ms == 0 ? UNKNOWN : Instant.ofEpochMilli(ms).toString();
    }
}
