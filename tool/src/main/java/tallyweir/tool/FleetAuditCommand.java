package tallyweir.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.time.Instant;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.ratis.Link;

/** Shows who changed what, and which server acts on what. */
@CommandLine.Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Shows each revision with its changes, those that wait, who acted on which revision and when, and who"
                + " is behind, out or unheard of.")
final class FleetAuditCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Mixin
    private FleetOptions fleet;

    @Option(names = "--json", description = "All of it, as JSON.")
    private boolean json;

    @Override
    public Integer call() {
        JsonNode audit;
        try (Link link = fleet.open()) {
            audit = link.audit();
        } catch (FleetException e) {
            return FleetOptions.print(spec, e.fault());
        }
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(audit.toPrettyString());
        } else {
            print(out, audit);
        }
        return 0;
    }

    private static void print(PrintWriter out, JsonNode audit) {
        out.println("fleet " + audit.get("fleet").textValue() + ": revision "
                + audit.get("in_force").longValue() + " in force, "
                + audit.get("live").intValue() + " live, " + audit.get("out").intValue() + " shut out");
        audit.get("revisions").forEach(revision -> revision(out, revision));
        audit.get("waiting").forEach(change -> change(out, "waits: ", change));
        audit.get("servers").forEach(server -> server(out, server));
        audit.get("gone").forEach(server -> server(out, server));
    }

    private static void revision(PrintWriter out, JsonNode revision) {
        long of = revision.get("of").longValue();
        String reasons = revision.get("reasons").textValue();
        out.println("revision " + revision.get("revision").longValue() + " "
                + revision.get("fate").textValue() + (of > 0 ? " (as " + of + ")" : "") + " by "
                + revision.get("by").textValue() + " since " + time(revision.get("since_ms")) + ": "
                + revision.get("why").textValue() + (reasons.isEmpty() ? "" : "; " + reasons));
        revision.get("changes").forEach(change -> change(out, "  ", change));
    }

    private static void change(PrintWriter out, String before, JsonNode change) {
        String fault = change.get("fault").textValue();
        out.println(before + change.get("kind").textValue() + " " + change.get("command").textValue() + " by "
                + change.get("by").textValue() + " at " + time(change.get("at_ms")) + ", "
                + change.get("entries").longValue() + " entries, " + change.get("outcome").textValue() + ": "
                + change.get("why").textValue() + (fault.isEmpty() ? "" : "; " + fault));
        for (JsonNode entry : change.get("keys")) {
            out.println(before + "  " + entry.get("key").textValue() + ": " + value(entry.get("before")) + " to "
                    + value(entry.get("after")));
        }
    }

    private static String value(JsonNode value) {
        return value.isNull() ? "none" : value.textValue();
    }

    private static void server(PrintWriter out, JsonNode server) {
        String cause = server.get("cause").textValue();
        boolean heard = server.get("heard_ms").longValue() != 0;
        out.println("server " + server.get("server").textValue() + " "
                + server.get("standing").textValue()
                + (server.get("marked").booleanValue() ? " MARKED" : "")
                + (server.get("odd").booleanValue() ? " DIGEST DIFFERS" : "")
                + ": acts on " + (heard ? server.get("acting").longValue() : "unknown")
                + ", heard " + time(server.get("heard_ms"))
                + ", outdated queries " + server.get("outdated").longValue()
                + (cause.isEmpty() ? "" : ", " + cause));
        for (JsonNode passage : server.get("passages")) {
            out.println("  " + time(passage.get("at_ms")) + " from "
                    + passage.get("from").longValue() + " to "
                    + passage.get("to").longValue() + ", behind "
                    + passage.get("behind_ms").doubleValue() + " ms, outdated queries "
                    + passage.get("outdated").longValue());
        }
    }

    private static String time(JsonNode ms) {
        return ms.longValue() == 0
                ? "unknown"
                : Instant.ofEpochMilli(ms.longValue()).toString();
    }
}
