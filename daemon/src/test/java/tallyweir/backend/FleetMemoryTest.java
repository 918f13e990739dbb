package tallyweir.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits the heap use of a large revision, measured in a process with the heap size and collector of a server. */
class FleetMemoryTest {
    private static final long MAX_HEAP_BYTES = 16 << 20;

    @Test
    void thirtyOneThousandRoutesAndFourHundredThousandCapsStayUnderTheLimit() throws IOException, InterruptedException {
        Process probe = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx40m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        FleetMemoryProbe.class.getName()))
                .redirectErrorStream(true)
                .start();
        List<String> output = probe.inputReader().lines().toList();
        assertEquals(0, probe.waitFor(), output.toString());
        String[] figures = output.get(output.size() - 1).split(" ");
        assertEquals("true", figures[0]);
        long inUse = Long.parseLong(figures[1]);
        long withNext = Long.parseLong(figures[2]);
        System.out.println("heap of the fleet parts: " + inUse + " bytes, with the next revision " + withNext);
        assertTrue(inUse < MAX_HEAP_BYTES, "in use: " + inUse);
        assertTrue(withNext < MAX_HEAP_BYTES, "with the next revision: " + withNext);
    }
}
