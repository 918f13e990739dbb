package tallyweir.tool.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Prints the figures of a bench and judges them by their budgets. */
final class BenchReport {
    /** What the program may add to a query at the percentile of the budget, milliseconds. */
    static final double BUDGET_MILLIS = 2.3;

    /** For this share of the queries the budget holds, percent. */
    static final double BUDGET_PERCENTILE = 99;

    /** What the fleet part must leave of handled queries and of speed. */
    static final double LEAST_RATIO = 0.97;

    private static final double MEDIAN = 50;
    private static final double TAIL_PERCENTILE = 99.9;
    private static final double KB_PER_MB = 1_024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final int rate;
    private final List<SizeResult> results;

    BenchReport(int rate, List<SizeResult> results) {
        this.rate = rate;
        this.results = List.copyOf(results);
    }

    /** Prints one line for each case and ratio, then the last line. */
    void print(PrintWriter out, boolean json) {
        for (SizeResult result : results) {
            for (ServerCase of : ServerCase.values()) {
                out.println(json ? caseJson(result, of) : caseLine(result, of));
            }
            out.println(json ? ratioJson(result) : ratioLine(result));
        }
        out.println(lastLine());
        out.flush();
    }

    /** Of the program's cases, the one that adds most at the percentile of the budget. */
    private Added worst() {
        return results.stream()
                .flatMap(result -> List.of(ServerCase.FLEET_OFF, ServerCase.FLEET_ON).stream()
                        .map(of -> added(result, of)))
                .max(Comparator.comparingDouble(Added::p99))
                .orElseThrow();
    }

    private record Added(double p50, double p99, double p999) {}

    private static Added added(SizeResult result, ServerCase of) {
        return new Added(
                result.addedMillis(of, MEDIAN),
                result.addedMillis(of, BUDGET_PERCENTILE),
                result.addedMillis(of, TAIL_PERCENTILE));
    }

    /** The least ratio of handled queries or of speed that the fleet part leaves. */
    private double leastRatio() {
        return results.stream()
                .mapToDouble(result -> Math.min(result.handledRatio(), result.latencyRatio()))
                .min()
                .orElseThrow();
    }

    /** How many figures are over their budgets. */
    int overBudget() {
        int over = 0;
        for (SizeResult result : results) {
            over += result.addedMillis(ServerCase.FLEET_OFF, BUDGET_PERCENTILE) > BUDGET_MILLIS ? 1 : 0;
            over += result.addedMillis(ServerCase.FLEET_ON, BUDGET_PERCENTILE) > BUDGET_MILLIS ? 1 : 0;
            over += result.handledRatio() < LEAST_RATIO ? 1 : 0;
            over += result.latencyRatio() < LEAST_RATIO ? 1 : 0;
        }
        return over;
    }

    /** The verdict in one line; the added times are those of the case that adds most. */
    String lastLine() {
        Added worst = worst();
        return text(
                "fleet bench: rate %d, added p50 %.2f ms p99 %.2f ms p99.9 %.2f ms, on/off %.3f, over budget %d",
                rate, worst.p50, worst.p99, worst.p999, leastRatio(), overBudget());
    }

    private static String text(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    private static String caseLine(SizeResult result, ServerCase of) {
        CaseResult figures = result.cases().get(of);
        LoadResult load = figures.load();
        Added added = added(result, of);
        return text(
                "%d routes, %d tenants, %s: p50 %.2f ms p99 %.2f ms p99.9 %.2f ms, added %.2f %.2f %.2f ms (budget %.1f"
                        + " at p99), handled %.1f/s, refused %d, failed %d, disconnected %d, unanswered %d, CPU %.0f ms/s"
                        + " %.0f us/query, resident %.0f MB, machine %.1f cores busy %.2f stolen",
                result.size().routes(),
                result.size().tenants(),
                of.label(),
                load.percentileMillis(MEDIAN),
                load.percentileMillis(BUDGET_PERCENTILE),
                load.percentileMillis(TAIL_PERCENTILE),
                added.p50,
                added.p99,
                added.p999,
                BUDGET_MILLIS,
                load.handledPerSecond(),
                load.count(QueryOutcome.REFUSED),
                load.count(QueryOutcome.FAILED),
                load.count(QueryOutcome.DISCONNECTED),
                load.unanswered(),
                figures.cpuMillisPerSecond(),
                figures.cpuMicrosPerQuery(),
                figures.residentKb() / KB_PER_MB,
                figures.busyCores(),
                figures.stolenCores());
    }

    private static String ratioLine(SizeResult result) {
        return text(
                "%d routes, %d tenants, fleet part on over off: handled %.3f, p99 off/on %.3f (at least %.2f)",
                result.size().routes(),
                result.size().tenants(),
                result.handledRatio(),
                result.latencyRatio(),
                LEAST_RATIO);
    }

    private String caseJson(SizeResult result, ServerCase of) {
        CaseResult figures = result.cases().get(of);
        LoadResult load = figures.load();
        Added added = added(result, of);
        ObjectNode line = line(result);
        line.put("case", of.label());
        line.put("p50_ms", load.percentileMillis(MEDIAN));
        line.put("p99_ms", load.percentileMillis(BUDGET_PERCENTILE));
        line.put("p999_ms", load.percentileMillis(TAIL_PERCENTILE));
        line.put("added_p50_ms", added.p50);
        line.put("added_p99_ms", added.p99);
        line.put("added_p999_ms", added.p999);
        line.put("budget_p99_ms", BUDGET_MILLIS);
        line.put("handled_per_s", load.handledPerSecond());
        for (QueryOutcome outcome : QueryOutcome.values()) {
            line.put(outcome.name().toLowerCase(Locale.ROOT), load.count(outcome));
        }
        line.put("unanswered", load.unanswered());
        line.put("cpu_ms_per_s", figures.cpuMillisPerSecond());
        line.put("cpu_us_per_query", figures.cpuMicrosPerQuery());
        line.put("resident_kb", figures.residentKb());
        line.put("machine_busy_cores", figures.busyCores());
        line.put("machine_stolen_cores", figures.stolenCores());
        return write(line);
    }

    private String ratioJson(SizeResult result) {
        ObjectNode line = line(result);
        line.put("handled_on_over_off", result.handledRatio());
        line.put("p99_off_over_on", result.latencyRatio());
        line.put("least", LEAST_RATIO);
        return write(line);
    }

    private ObjectNode line(SizeResult result) {
        ObjectNode line = JSON.createObjectNode();
        line.put("rate", rate);
        line.put("routes", result.size().routes());
        line.put("tenants", result.size().tenants());
        return line;
    }

    private static String write(ObjectNode line) {
        try {
            return JSON.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
