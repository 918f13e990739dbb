package tallyweir.tool.bench;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The drawn numbers of connections agree with what can be worked out, and hang on the seed alone. */
class ConnectionModelTest {
    private static final int CALLERS = 82_000;
    private static final int SERVERS = 6_000;

    private static ConnectionModel model(int services, int subset) {
        return new ConnectionModel(CALLERS, SERVERS, services, subset, 183, 30);
    }

    @Test
    void oneSeedGivesOneDraw() {
        assertArrayEquals(model(1, 12).draw(false, 5), model(1, 12).draw(false, 5));
    }

    @Test
    void inOnePoolTheMeanIsCallersTimesSubsetOverServers() {
        assertEquals(164, ConnectionModel.mean(model(1, 12).draw(false, 1)), 0.1);
        assertEquals(328, ConnectionModel.mean(model(1, 24).draw(false, 1)), 0.1);
    }

    @Test
    void inOnePoolTheTailIsThatOfABinomialCount() {
        int[] connections = model(1, 24).draw(false, 1);
        double deviation = Math.sqrt(328 * (1 - 24.0 / SERVERS));
        assertEquals(328 + 3.09 * deviation, ConnectionModel.percentile(connections, 99.9), 8);
    }

    @Test
    void aSubsetAsLargeAsTheServiceReachesAllItsServers() {
        int[] connections = model(2_500, 24).draw(false, 1);
        // Of 2,500 services 1,000 have three servers and 1,500 two; each has 32.8 callers.
        assertEquals(32.8, ConnectionModel.mean(connections), 0.3);
    }

    @Test
    void callersThatSeldomAskHaveNoConnectionMostOfTheTime() {
        int[] uneven = model(1, 24).draw(true, 1);
        assertTrue(
                ConnectionModel.mean(uneven) < ConnectionModel.mean(model(1, 24).draw(false, 1)));
    }

    @Test
    void aPercentileIsTheLeastValueThatTheShareDoesNotExceed() {
        int[] sorted = new int[1_000];
        Arrays.setAll(sorted, i -> i + 1);
        assertEquals(999, ConnectionModel.percentile(sorted, 99.9));
        assertEquals(500, ConnectionModel.percentile(sorted, 50));
        assertEquals(1_000, ConnectionModel.percentile(sorted, 100));
    }

    @Test
    void threeQuartersOfTheSocketsAreForCallers() {
        assertEquals(763, ConnectionBench.places(1_024));
        assertEquals(273, ConnectionBench.places(384));
    }
}
