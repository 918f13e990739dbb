package tallyweir.tool.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/** Figures are judged by their budgets, each beside its baseline, and the last line keeps its shape. */
class BenchReportTest {
    private static final String LAST_LINE =
            "fleet bench: rate [0-9]+, added p50 -?[0-9.]+ ms p99 -?[0-9.]+ ms p99\\.9 -?[0-9.]+ ms, on/off [0-9.]+,"
                    + " over budget [0-9]+";

    private static CaseResult result(double millis, long handled) {
        Histogram latency = new Histogram(3);
        latency.recordValueWithCount((long) (millis * 1e6), handled);
        LoadResult load = new LoadResult(latency, Map.of(QueryOutcome.HANDLED, handled), 0, 10);
        return new CaseResult(load, 500, 10, 70 * 1_024, new MachineUsage(15_000, 1_000));
    }

    private static SizeResult size(double offMillis, double onMillis, long handledOn) {
        Map<ServerCase, CaseResult> cases = new EnumMap<>(ServerCase.class);
        cases.put(ServerCase.BASELINE, result(4, 1_000));
        cases.put(ServerCase.FLEET_OFF, result(offMillis, 1_000));
        cases.put(ServerCase.FLEET_ON, result(onMillis, handledOn));
        return new SizeResult(new RevisionSize(4, 100), cases);
    }

    private static String[] lines(BenchReport report, boolean json) {
        StringWriter text = new StringWriter();
        report.print(new PrintWriter(text), json);
        return text.toString().split(System.lineSeparator());
    }

    @Test
    void nothingIsOverWhereAllIsWithinBudget() {
        BenchReport report = new BenchReport(183, List.of(size(5, 5.1, 1_000)));
        assertEquals(0, report.overBudget());
        assertTrue(report.lastLine().startsWith("fleet bench: rate 183, added p50 1.1"), report.lastLine());
        assertTrue(report.lastLine().endsWith("over budget 0"), report.lastLine());
    }

    @Test
    void addedTimeOverItsBudgetCounts() {
        assertEquals(2, new BenchReport(183, List.of(size(6.4, 6.4, 1_000))).overBudget()); // on and off
    }

    @Test
    void aSlowFleetPartCountsForItsTimeAndItsRatio() {
        BenchReport report = new BenchReport(600, List.of(size(5, 6.5, 1_000)));
        assertEquals(2, report.overBudget());
        assertTrue(report.lastLine().contains("on/off 0.76"), report.lastLine());
    }

    @Test
    void queriesThatTheFleetPartLosesCount() {
        assertEquals(1, new BenchReport(600, List.of(size(5, 5, 960))).overBudget());
    }

    @Test
    void theWorstOfAllSizesIsInTheLastLine() {
        BenchReport report = new BenchReport(600, List.of(size(5, 5, 1_000), size(5, 9, 1_000)));
        assertTrue(report.lastLine().contains("p99 5.0"), report.lastLine());
    }

    @Test
    void theLastLineKeepsItsShape() {
        BenchReport report = new BenchReport(183, List.of(size(5, 5.1, 1_000)));
        for (boolean json : new boolean[] {false, true}) {
            String[] lines = lines(report, json);
            assertTrue(lines[lines.length - 1].matches(LAST_LINE), lines[lines.length - 1]);
        }
    }

    @Test
    void eachCaseIsPrintedBesideItsBaseline() throws Exception {
        String[] lines = lines(new BenchReport(183, List.of(size(5, 5.1, 1_000))), true);
        assertEquals(ServerCase.values().length + 2, lines.length);
        JsonNode baseline = new ObjectMapper().readTree(lines[0]);
        JsonNode fleet = new ObjectMapper().readTree(lines[2]);
        assertEquals("stand-ins alone", baseline.get("case").textValue());
        assertEquals(0, baseline.get("added_p99_ms").doubleValue(), 1e-9);
        assertEquals(1.1, fleet.get("added_p99_ms").doubleValue(), 0.01);
        assertEquals(50, fleet.get("cpu_ms_per_s").doubleValue(), 1e-9);
        assertEquals(1.5, fleet.get("machine_busy_cores").doubleValue(), 1e-9);
        assertEquals(0.1, fleet.get("machine_stolen_cores").doubleValue(), 1e-9);
        assertEquals(500, fleet.get("cpu_us_per_query").doubleValue(), 1e-9);
    }
}
