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
import tallyweir.durable.Both;
import tallyweir.durable.Committer;
import tallyweir.durable.Durable;
import tallyweir.durable.Namespace;
import tallyweir.durable.SimDisk;
import tallyweir.ids.JobId;

/** Records in the store, across restarts and up to the end of their windows. */
@Timeout(30)
class DurableResultStoreTest {
    private static final Mark MARK = DurableResultStore.mark("reset", "m1");
    private static final Mark OTHER = DurableResultStore.mark("reset", "m2");

    private final SimDisk.Power power = new SimDisk.Power(1);
    private final SimDisk first = new SimDisk(power, 512, "first");
    private final SimDisk second = new SimDisk(power, 512, "second");
    private long clock = 17_000_000_000_000L;

    private interface With {
        void resultStore(DurableResultStore resultStore) throws Exception;
    }

    private void open(With with) throws Exception {
        try (Durable d = new Durable(
                        first,
                        second,
                        Both.IN_TURN,
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
            with.resultStore(new DurableResultStore(d, c, Runnable::run, Runnable::run, Set.of()));
        }
    }

    private static boolean done(java.util.function.Consumer<java.util.function.Consumer<Boolean>> write)
            throws Exception {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        write.accept(done::complete);
        return done.get(10, TimeUnit.SECONDS);
    }

    private static ResultStore.Kept look(DurableResultStore s, Mark mark) {
        ResultStore.Kept[] stored = new ResultStore.Kept[1];
        s.look(mark, k -> stored[0] = k);
        return stored[0];
    }

    @Test
    void aMarkIsKeptToTheVeryEndOfItsWindowThroughRestarts() throws Exception {
        long until = clock + 10_000;
        open(s -> assertTrue(done(d -> s.record(MARK, new JobId("j"), 42, Known.GOOD, new byte[] {7}, until, d))));
        clock = until - 1;
        open(s -> {
            assertTrue(s.knows(MARK), "forgotten within its window");
            assertArrayEquals(new byte[] {7}, look(s, MARK).result());
        });
        open(s -> {
            assertTrue(s.knows(MARK));
            clock = until; // between the two calls
            assertNull(look(s, MARK), "a result is returned after its window");
            assertFalse(s.knows(MARK));
        });
        clock = until - 5_000; // the clock steps back during the restart
        open(s -> assertEquals(s.knows(MARK), look(s, MARK) != null));
    }

    @Test
    void anIntentOutlastsRestartsUntilItsOutcomeTakesItsPlace() throws Exception {
        long until = clock + 10_000;
        open(s -> {
            assertTrue(done(d -> s.intend(MARK, new JobId("j1"), 42, until, d)));
            assertTrue(done(d -> s.intend(OTHER, new JobId("j2"), 43, until, d)));
        });
        open(s -> {
            assertEquals(
                    Set.of("j1", "j2"),
                    Set.copyOf(s.intents().stream().map(k -> k.job().value()).toList()));
            assertTrue(done(d -> s.record(MARK, new JobId("j1"), 42, Known.UNKNOWN, null, until, d)));
            assertTrue(done(d -> s.withdraw(OTHER, d)));
        });
        open(s -> {
            assertEquals(List.of(), s.intents());
            assertEquals(Known.UNKNOWN, look(s, MARK).known());
            assertFalse(s.knows(OTHER));
        });
        clock = until;
        open(s -> assertEquals(List.of(), s.intents()));
    }

    @Test
    void roomEndsBeforeTheBoundAndComesBackWithTheWindows() throws Exception {
        long until = clock + 10_000;
        open(s -> {
            int n = 0;
            for (; s.hasRoom(0); n++) {
                Mark m = DurableResultStore.mark("reset", "x" + n);
                byte[] noise = new byte[1_000];
                new java.util.SplittableRandom(n).nextBytes(noise);
                assertTrue(
                        done(d -> s.record(m, new JobId("j"), 1, Known.GOOD, noise, until, d)),
                        "refused although there was room");
            }
            assertTrue(n > 40, "records that fit: " + n);
            assertFalse(s.hasRoom(0));
            assertTrue(s.knows(DurableResultStore.mark("reset", "x0")), "dropped within its window to make room");
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
    void aDiskThatRefusesIsToldAsRefused() throws Exception {
        open(s -> {
            power.readOnly(true);
            assertFalse(done(d -> s.intend(MARK, new JobId("j"), 42, clock + 10_000, d)));
            assertFalse(s.knows(MARK));
            power.readOnly(false);
            assertTrue(done(d -> s.intend(MARK, new JobId("j"), 42, clock + 10_000, d)));
        });
    }
}
