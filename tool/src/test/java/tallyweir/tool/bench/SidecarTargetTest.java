package tallyweir.tool.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The baseline answers every query of a load after the time of a run. */
class SidecarTargetTest {
    private static final double RUN_MILLIS = (1 + StandInPeers.CALLS_PER_RUN) * StandInPeers.RUN_PART_MICROS / 1e3;

    @Test
    void theBaselineAnswersEveryQuery(@TempDir Path directory) throws Exception {
        int port = JavaProcess.freePort();
        List<String> command = JavaProcess.command(32, BareResponder.class.getName(), List.of(Integer.toString(port)));
        ArrivalSchedule schedule = new ArrivalSchedule(100, 1, new ZipfSampler(10), 1);
        try (JavaProcess baseline = JavaProcess.start(command, Map.of(), port, directory.resolve("log"));
                SidecarTarget target = new SidecarTarget(port, 4)) {
            LoadResult result = OpenLoopLoad.run(schedule, 1, 0, target);
            assertEquals(0, result.unanswered());
            assertTrue(result.count(QueryOutcome.HANDLED) > 50);
            assertEquals(result.latencyNanos().getTotalCount(), result.count(QueryOutcome.HANDLED));
            assertEquals(0, result.count(QueryOutcome.FAILED) + result.count(QueryOutcome.DISCONNECTED));
            assertTrue(result.percentileMillis(0) >= RUN_MILLIS);
        }
    }
}
