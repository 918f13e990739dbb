package tallyweir.results;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tallyweir.durable.Committer;
import tallyweir.durable.CopyExecutor;
import tallyweir.durable.Durable;
import tallyweir.durable.Namespace;
import tallyweir.durable.SimDisk;
import tallyweir.ids.JobId;

/** Records in the store, across restarts and up to the end of their windows. */
@Timeout(30)
class DurableResultStoreTest {
    private static final IdempotencyKey KEY = DurableResultStore.idempotencyKey("reset", "m1");
    private static final IdempotencyKey OTHER_KEY = DurableResultStore.idempotencyKey("reset", "m2");

    private final SimDisk.Power power = new SimDisk.Power(1);
    private final SimDisk first = new SimDisk(power, 512, "first");
    private final SimDisk second = new SimDisk(power, 512, "second");
    private long clock = 17_000_000_000_000L;

    private interface Check {
        void run(DurableResultStore resultStore) throws Exception;
    }

    private void open(Check check) throws Exception {
        try (Durable d = new Durable(
                        first,
                        second,
                        CopyExecutor.SEQUENTIAL,
                        1 << 14,
                        512,
                        0.5,
                        0,
                        List.of(
                                new Namespace(DurableResultStore.RESULTS, 64 << 10, false),
                                new Namespace(DurableResultStore.INTENTS, 1 << 20, false)),
                        1,
                        () -> clock,
                        Runnable::run,
                        Set.of());
                Committer c = new Committer(d, 1 << 20, 0, 1 << 20)) {
            check.run(new DurableResultStore(d, c, Runnable::run, Runnable::run, Set.of()));
        }
    }

    private static boolean succeeds(java.util.function.Consumer<java.util.function.Consumer<Boolean>> write)
            throws Exception {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        write.accept(done::complete);
        return done.get(10, TimeUnit.SECONDS);
    }

    private static ResultStore.StoredResult read(DurableResultStore s, IdempotencyKey key) {
        ResultStore.StoredResult[] stored = new ResultStore.StoredResult[1];
        s.read(key, k -> stored[0] = k);
        return stored[0];
    }

    @Test
    void recordLastsUntilEndOfWindowAcrossRestarts() throws Exception {
        long until = clock + 10_000;
        open(s -> assertTrue(succeeds(d -> s.record(KEY, new JobId("j"), 42, Known.GOOD, new byte[] {7}, until, d))));
        clock = until - 1;
        open(s -> {
            assertTrue(s.contains(KEY), "forgotten within its window");
            assertArrayEquals(new byte[] {7}, read(s, KEY).result());
        });
        open(s -> {
            assertTrue(s.contains(KEY));
            clock = until; // between the two calls
            assertNull(read(s, KEY), "a result is returned after its window");
            assertFalse(s.contains(KEY));
        });
        clock = until - 5_000; // the clock steps back during the restart
        open(s -> assertEquals(s.contains(KEY), read(s, KEY) != null));
    }

    @Test
    void intentSurvivesRestartsUntilItsOutcomeIsWritten() throws Exception {
        long until = clock + 10_000;
        open(s -> {
            assertTrue(succeeds(d -> s.recordIntent(KEY, new JobId("j1"), 42, until, d)));
            assertTrue(succeeds(d -> s.recordIntent(OTHER_KEY, new JobId("j2"), 43, until, d)));
        });
        open(s -> {
            assertEquals(
                    Set.of("j1", "j2"),
                    Set.copyOf(s.intentsAtStart().stream()
                            .map(k -> k.job().value())
                            .toList()));
            assertTrue(succeeds(d -> s.record(KEY, new JobId("j1"), 42, Known.UNKNOWN, null, until, d)));
            assertTrue(succeeds(d -> s.deleteIntent(OTHER_KEY, d)));
        });
        open(s -> {
            assertEquals(List.of(), s.intentsAtStart());
            assertEquals(Known.UNKNOWN, read(s, KEY).known());
            assertFalse(s.contains(OTHER_KEY));
        });
        clock = until;
        open(s -> assertEquals(List.of(), s.intentsAtStart()));
    }

    @Test
    void roomEndsBeforeSizeLimitAndReturnsAfterWindows() throws Exception {
        long until = clock + 10_000;
        open(s -> {
            int n = 0;
            for (; s.hasRoom(0); n++) {
                IdempotencyKey m = DurableResultStore.idempotencyKey("reset", "x" + n);
                byte[] noise = new byte[1_000];
                new java.util.SplittableRandom(n).nextBytes(noise);
                assertTrue(
                        succeeds(d -> s.record(m, new JobId("j"), 1, Known.GOOD, noise, until, d)),
                        "refused although there was room");
            }
            assertTrue(n > 40, "records that fit: " + n);
            assertFalse(s.hasRoom(0));
            assertTrue(
                    s.contains(DurableResultStore.idempotencyKey("reset", "x0")),
                    "dropped within its window to make room");
        });
        open(s -> {
            clock = until + 700_000; // after the next sweep of expired records, which runs once a minute
            long end = System.nanoTime() + 10_000_000_000L;
            while (!s.hasRoom(0) && System.nanoTime() < end) {
                Thread.sleep(5);
            }
            assertTrue(s.hasRoom(0), "no room after the records expired");
        });
    }

    @Test
    void failedWriteIsReported() throws Exception {
        open(s -> {
            power.setReadOnly(true);
            assertFalse(succeeds(d -> s.recordIntent(KEY, new JobId("j"), 42, clock + 10_000, d)));
            assertFalse(s.contains(KEY));
            power.setReadOnly(false);
            assertTrue(succeeds(d -> s.recordIntent(KEY, new JobId("j"), 42, clock + 10_000, d)));
        });
    }
}
