package tallyweir.fleet.ratis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Backoff delays grow up to a bound, and spread clients that failed at the same moment. */
class BackoffTest {
    private static final long MIN_MS = 100;
    private static final long MAX_MS = 5_000;
    private static final int CLIENTS = 2_000;

    private static List<Backoff> clients() {
        return IntStream.range(0, CLIENTS)
                .mapToObj(seed -> new Backoff(MIN_MS, MAX_MS, new Random(seed)))
                .toList();
    }

    @Test
    void delaysGrowToABoundAndResetAfterASuccess() {
        Backoff backoff = new Backoff(MIN_MS, MAX_MS, new Random(1));
        long first = backoff.nextDelayMs();
        assertTrue(first >= MIN_MS / 2 && first <= 2 * MIN_MS, () -> first + " ms");
        for (int failure = 0; failure < 100; failure++) {
            long delayMs = backoff.nextDelayMs();
            assertTrue(delayMs >= MIN_MS / 2 && delayMs <= 2 * MAX_MS, () -> delayMs + " ms");
        }
        assertTrue(backoff.nextDelayMs() >= MAX_MS / 2);
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= 2 * MIN_MS);
    }

    /** After the same number of failures, no twentieth of the delay range holds more than twice its share of the clients. */
    @Test
    void clientsThatFailTogetherDoNotRetryTogether() {
        List<Backoff> clients = clients();
        for (int failure = 0; failure < 8; failure++) {
            List<Long> delays = clients.stream().map(Backoff::nextDelayMs).toList();
            long baseMs = Math.min(MAX_MS, MIN_MS << failure);
            int[] twentieths = new int[20];
            delays.forEach(delayMs -> twentieths[(int) Math.min(19, (delayMs - baseMs / 2) * 20 / (baseMs + 1))]++);
            IntSummaryStatistics counts = IntStream.of(twentieths).summaryStatistics();
            assertEquals(CLIENTS, counts.getSum());
            assertTrue(
                    counts.getMax() < 2 * CLIENTS / 20, () -> Stream.of(delays).toString());
        }
    }
}
