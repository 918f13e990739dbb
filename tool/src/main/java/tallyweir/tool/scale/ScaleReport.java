package tallyweir.tool.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;

/** Prints what was measured: line by line as it is known, or as one JSON document at the end. */
final class ScaleReport {
    private static final double MEGABYTE = 1e6;

    private final PrintWriter out;
    private final boolean json;
    private final ObjectNode document = new ObjectMapper().createObjectNode();

    ScaleReport(PrintWriter out, boolean json) {
        this.out = out;
        this.json = json;
    }

    private void line(String text) {
        if (!json) {
            out.println(text);
            out.flush();
        }
    }

    /** Tells how an operation's cost at one size. */
    void point(SlopePoint point) {
        line(point.line());
        document.withArray("slopes")
                .addObject()
                .put("name", point.name())
                .put("servers", point.size().servers())
                .put("tenants", point.size().tenants())
                .put("skipped", point.skipped())
                .put("microseconds", point.microseconds())
                .put("bytes", point.bytes());
    }

    /** Tells how an operation's cost grows. */
    void fit(String name, SlopeFit fit) {
        line(String.format(
                "fit %s exponent-servers %.3f exponent-tenants %.3f residual %.3f",
                name, fit.servers(), fit.tenants(), fit.residual()));
        document.withArray("fits")
                .addObject()
                .put("name", name)
                .put("exponent_servers", fit.servers())
                .put("exponent_tenants", fit.tenants())
                .put("residual", fit.residual());
    }

    /** Tells how much more often than in the fleet each kind of fault comes. */
    void compression(Map<PlannedFault.Kind, Double> compression) {
        compression.forEach((kind, factor) -> {
            line(String.format("fault-compression %s %.1f", kind.label(), factor));
            document.withObject("/fault_compression").put(kind.label(), factor);
        });
    }

    /** Tells what a run showed, and what is over its budget. */
    void run(ScaleOptions options, RunResult run, Budget budget) {
        run.roles().forEach(this::role);
        run.faults().forEach(this::fault);
        line("stood back needlessly " + run.stoodBack() + ", caps passed " + run.capsPassed() + ", fullest cap "
                + String.format("%.2f", run.fullestCap()));
        line("messages-digest " + run.digest());
        budget(budget);
        findings(run.findings());
        document.put("servers", options.size().servers())
                .put("tenants", options.size().tenants())
                .put("changes", run.changes())
                .put("unfinished", run.unfinished())
                .put("in_force_p50_s", run.inForceMedian())
                .put("in_force_p99_s", run.inForceHigh())
                .put("stood_back", run.stoodBack())
                .put("caps_passed", run.capsPassed())
                .put("fullest_cap", run.fullestCap())
                .put("messages_digest", run.digest())
                .put("over_budget", budget.over());
        line(lastLine(options, run, budget));
    }

    /** Tells the budget alone, where nothing was run. */
    void budget(Budget budget) {
        for (Budget.Line each : budget.lines()) {
            line(each.line());
            document.withArray("budget")
                    .addObject()
                    .put("name", each.name())
                    .put("value", each.value())
                    .put("budget", each.budget())
                    .put("over", each.over());
        }
    }

    private static String lastLine(ScaleOptions options, RunResult run, Budget budget) {
        return String.format(
                "fleet scale: servers %d, tenants %d, changes %d, in force p50 %.2f s p99 %.2f s, server bytes/s %.0f,"
                        + " server cpu %.3f%%, server memory %.1f MB, over budget %d",
                options.size().servers(),
                options.size().tenants(),
                run.changes(),
                run.inForceMedian(),
                run.inForceHigh(),
                run.server().bytesPerSecond(),
                100 * run.server().processor(),
                run.server().memoryBytes() / MEGABYTE,
                budget.over());
    }

    private void role(RoleUse role) {
        line(role.line());
        document.withArray("roles")
                .addObject()
                .put("role", role.role())
                .put("messages_per_s", role.messagesPerSecond())
                .put("bytes_per_s", role.bytesPerSecond())
                .put("processor", role.processor())
                .put("memory_bytes", role.memoryBytes())
                .put("basis", role.basis());
    }

    private void fault(FaultOutcome outcome) {
        line(outcome.line());
        document.withArray("faults")
                .addObject()
                .put("kind", outcome.fault().kind().label())
                .put("at_s", outcome.fault().at())
                .put("for_s", outcome.fault().lasts())
                .put("servers", outcome.servers())
                .put("recovered_s", outcome.recovered())
                .put("peak_messages_per_s", outcome.peakMessages())
                .put("peak_processor", outcome.peakProcessor());
    }

    private void findings(List<String> findings) {
        ArrayNode all = document.withArray("findings");
        for (String finding : findings) {
            line("finding " + finding);
            all.add(finding);
        }
    }

    /** Ends the report. */
    void end() {
        if (json) {
            out.println(document);
            out.flush();
        }
    }
}
