package tallyweir.tool.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.tool.Main;

/** The command on small fleets: what it prints, what it refuses, and that a seed gives the same messages. */
class ScaleCommandTest {
    private static final String NUMBER = "-?[0-9]+(\\.[0-9]+)?";

    private static final String SHORT_SECONDS = "4";
    private static final String LONG_SECONDS = "20";

    private static Run plain; // without faults

    @BeforeAll
    static void runOnce() {
        plain = small(SHORT_SECONDS);
    }

    private record Run(int code, String output) {
        List<String> lines(String beginning) {
            return output.lines().filter(line -> line.startsWith(beginning)).toList();
        }
    }

    private static Run scale(String... arguments) {
        List<String> all = new ArrayList<>(List.of("fleet", "scale"));
        all.addAll(List.of(arguments));
        StringWriter output = new StringWriter();
        PrintWriter out = new PrintWriter(output, true);
        int code = Main.run(out, out, all.toArray(new String[0]));
        return new Run(code, output.toString());
    }

    private static Run small(String seconds, String... more) {
        List<String> all = new ArrayList<>(
                List.of("--servers", "20", "--tenants", "100", "--routes", "5", "--no-slopes", "--seconds", seconds));
        all.addAll(List.of(more));
        return scale(all.toArray(new String[0]));
    }

    private static String digest(Run run) {
        List<String> lines = run.lines("messages-digest ");
        assertEquals(1, lines.size(), run.output());
        return lines.get(0);
    }

    @Test
    void sameSeedGivesSameMessages() {
        String first = digest(small(SHORT_SECONDS, "--seed", "7", "--faults", "built-in"));
        assertEquals(first, digest(small(SHORT_SECONDS, "--seed", "7", "--faults", "built-in")));
        assertNotEquals(first, digest(small(SHORT_SECONDS, "--seed", "8", "--faults", "built-in")));
    }

    @Test
    void lastLineAndExitCodeTellWhatIsOverBudget() {
        Run run = plain;
        String last = run.output().lines().reduce((a, b) -> b).orElseThrow();
        assertTrue(
                last.matches("fleet scale: servers 20, tenants 100, changes [0-9]+, in force p50 " + NUMBER + " s p99 "
                        + NUMBER + " s, server bytes/s [0-9]+, server cpu " + NUMBER + "%, server memory " + NUMBER
                        + " MB, over budget [0-9]+"),
                last);
        long over = run.lines("budget ").stream()
                .filter(line -> line.endsWith(" over"))
                .count();
        assertTrue(last.endsWith("over budget " + over), run.output());
        assertEquals(over == 0 ? 0 : 1, run.code(), run.output());
    }

    @Test
    void everyRoleHasItsFigures() {
        Run run = plain;
        for (String role : List.of(Roles.LEADER, Roles.FOLLOWER, Roles.SERVER)) {
            List<String> lines = run.lines("role " + role + " ");
            assertEquals(1, lines.size(), run.output());
            assertTrue(
                    lines.get(0)
                            .matches("role [a-z-]+ messages/s " + NUMBER + " bytes/s " + NUMBER + " processor " + NUMBER
                                    + "% memory-MB (-|" + NUMBER + ") \\(.+\\)"),
                    lines.get(0));
        }
    }

    @Test
    void slopesAreProgramReadable() {
        Run run = scale(
                "--servers",
                "20",
                "--tenants",
                "100",
                "--routes",
                "5",
                "--no-run",
                "--sizes",
                "2x10,20x100",
                "--warm-up-s",
                "0.1");
        for (Operation operation : Operation.values()) {
            List<String> lines = run.lines("slope " + operation.label() + " ");
            assertEquals(2, lines.size(), run.output());
            lines.forEach(line -> assertTrue(
                    line.matches("slope [a-z-]+ [0-9]+ [0-9]+ (" + NUMBER + " [0-9]+|skipped " + NUMBER + ")"), line));
            assertEquals(
                    1,
                    run.lines("fit " + operation.label() + " exponent-servers ").size(),
                    run.output());
        }
    }

    @Test
    void jsonIsOneDocument() throws IOException {
        Run run = small(SHORT_SECONDS, "--json");
        JsonNode document = new ObjectMapper().readTree(run.output());
        assertEquals(20, document.get("servers").intValue());
        assertEquals(3, document.get("roles").size());
        assertEquals(1, run.output().lines().count());
    }

    @Test
    void noCapIsPassedUnderFaults() {
        Run run = small(LONG_SECONDS, "--faults", "built-in", "--seed", "3");
        for (PlannedFault.Kind kind : PlannedFault.Kind.values()) {
            assertTrue(!run.lines("fault " + kind.label() + " ").isEmpty(), run.output());
            assertEquals(1, run.lines("fault-compression " + kind.label() + " ").size(), run.output());
        }
        assertEquals(
                1,
                run.lines("stood back needlessly 0, caps passed 0, fullest cap 1.00")
                        .size(),
                run.output());
        assertTrue(run.lines("finding not-recovered").isEmpty(), run.output());
    }

    @Test
    void faultsComeFromFile(@TempDir Path dir) throws IOException {
        Path file = dir.resolve("faults.json");
        Files.writeString(file, "[{\"at_s\":1,\"kind\":\"rack\",\"for_s\":2}]");
        Run run = small(SHORT_SECONDS, "--faults", file.toString());
        assertEquals(
                1,
                run.lines("fault rack at 1.0 for 2.0 servers 20 recovered-s ").size(),
                run.output());
        Files.writeString(file, "[{\"at_s\":1,\"kind\":\"meteor\",\"for_s\":2}]");
        assertRefused(small(SHORT_SECONDS, "--faults", file.toString()), "the kind 'meteor' is unknown");
    }

    @Test
    void tooLargeRunsAreRefusedWithReason() {
        assertRefused(scale("--servers", "6000", "--tenants", "4000000"), "GB of heap");
        assertRefused(scale("--servers", "0"), "--servers takes 1 to");
        assertRefused(scale("--tenants", "-1"), "--tenants takes 1 to");
        assertRefused(scale("--seconds", "0"), "--seconds takes more than 0");
        assertRefused(scale("--changes-per-day", "0"), "--changes-per-day takes more than 0");
        assertRefused(
                scale("--live", "--servers", "1000", "--tenants", "10", "--routes", "0", "--servers-each", "1"),
                "the limit is 200");
        assertRefused(scale("--sizes", "12", "--no-run"), "--sizes takes SERVERSxTENANTS");
    }

    private static void assertRefused(Run run, String reason) {
        assertEquals(2, run.code(), run.output());
        assertTrue(run.output().contains(reason), run.output());
    }
}
