package tallyweir.tool.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tallyweir.tool.Main;

/** Options out of their range are refused by name before anything is started. */
class BenchOptionsTest {
    private static String run(int code, String... arguments) {
        StringWriter said = new StringWriter();
        PrintWriter out = new PrintWriter(said, true);
        assertEquals(code, Main.run(out, out, arguments), said.toString());
        return said.toString();
    }

    @ParameterizedTest
    @CsvSource({
        "bench, --rate, 0",
        "bench, --rate, 20001",
        "bench, --rate, many",
        "bench, --seconds, 0",
        "bench, --seconds, 601",
        "bench, --routes, -1",
        "bench, --routes, 1",
        "bench, --tenants, 0",
        "bench, --seed, x",
        "connections, --callers, 0",
        "connections, --servers, 0",
        "connections, --services, 6001",
        "connections, --subset, 0",
        "connections, --idle-s, 0",
        "connections, --sockets, 24"
    })
    void anOptionOutOfRangeIsRefusedByName(String command, String option, String value) {
        assertTrue(run(2, "fleet", command, option + "=" + value).contains(option));
    }

    @Test
    void bothCommandsHaveHelp() {
        assertTrue(run(0, "fleet", "bench", "--help").contains("open-loop"));
        assertTrue(run(0, "fleet", "connections", "--help").contains("--measure"));
    }
}
