package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A small drill whose deck is gone through once; a query under two revisions is seen when its guard is off. */
class FleetDrillTest {
    private static String drill(int code, String... args) {
        StringWriter said = new StringWriter();
        assertEquals(code, Main.run(new PrintWriter(said, true), new PrintWriter(said, true), args), said.toString());
        return said.toString();
    }

    @Test
    void nothingGoesWrongThroughOneDeckOfFaults(@TempDir Path dir) {
        assertTrue(
                drill(0, "fleet", "drill", "--seed", "3", "--servers", "4", "--seconds", "1", "--dir", dir.toString())
                        .contains("mixed 0, lost 0, unaccounted 0, over cap 0, ran twice 0, unanswered 0"));
    }
}
