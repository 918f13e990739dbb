package tallyweir.tool.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Latency counts from the intended start, whatever stalls, and every query is accounted for. */
class OpenLoopLoadTest {
    private static final double RATE = 500;
    private static final double SECONDS = 1;
    private static final long STALL_MILLIS = 300;
    private static final ZipfSampler TENANTS = new ZipfSampler(10);

    private static ArrivalSchedule schedule() {
        return new ArrivalSchedule(RATE, SECONDS, TENANTS, 1);
    }

    private static long scheduled() {
        long count = 0;
        for (ArrivalSchedule schedule = schedule(); schedule.hasNext(); schedule.next()) {
            count++;
        }
        return count;
    }

    /** Takes one query only after a stall; each is answered as soon as it is taken. */
    private static final class StallingTarget implements QueryTarget {
        private boolean stalled;

        @Override
        public void send(Arrival arrival, Consumer<QueryOutcome> whenEnded) {
            if (!stalled) {
                stalled = true;
                sleep();
            }
            whenEnded.accept(QueryOutcome.HANDLED);
        }

        private static void sleep() {
            try {
                TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Test
    void aStallShowsInEveryQueryThatWasDueMeanwhile() throws InterruptedException {
        LoadResult result = OpenLoopLoad.run(schedule(), SECONDS, 0, new StallingTarget());
        assertEquals(scheduled(), result.count(QueryOutcome.HANDLED));
        assertTrue(result.percentileMillis(100) >= STALL_MILLIS);
        // Queries due in the first 200 ms of the stall were sent at least 100 ms late: a fifth of all. Counted from
        // when they were sent, all but one would have taken no time.
        long late = result.latencyNanos().getCountBetweenValues(TimeUnit.MILLISECONDS.toNanos(100), Long.MAX_VALUE);
        assertTrue(late >= scheduled() * 0.15, "late: " + late);
    }

    @Test
    void queriesDueInTheWarmupAreSentButNotRecorded() throws InterruptedException {
        LoadResult result = OpenLoopLoad.run(schedule(), SECONDS, 0.5, new StallingTarget());
        assertTrue(result.count(QueryOutcome.HANDLED) < scheduled());
        assertTrue(result.count(QueryOutcome.HANDLED) > scheduled() / 4);
        assertEquals(0.5, result.seconds(), 1e-9);
    }

    @Test
    void outcomesAreToldApartAndWhatIsNeverAnsweredIsCounted() throws InterruptedException {
        int[] sent = {0};
        LoadResult result = OpenLoopLoad.run(schedule(), SECONDS, 0, (arrival, whenEnded) -> {
            sent[0]++;
            if (sent[0] > 3) {
                whenEnded.accept(QueryOutcome.of(sent[0] == 4 ? 503 : sent[0] == 5 ? 500 : sent[0] == 6 ? 0 : 200));
            }
        });
        assertEquals(3, result.unanswered());
        assertEquals(1, result.count(QueryOutcome.REFUSED));
        assertEquals(1, result.count(QueryOutcome.FAILED));
        assertEquals(1, result.count(QueryOutcome.DISCONNECTED));
        assertEquals(scheduled() - 6, result.count(QueryOutcome.HANDLED));
        assertEquals(scheduled() - 6, result.latencyNanos().getTotalCount());
    }
}
