package tallyweir.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tallyweir.durable.StoreRefusedException.Cause;

/** Concurrent writers share one force. */
@Timeout(60)
class CommitterTest {
    private static final int WRITERS = 16;
    private static final int WRITES_PER_WRITER = 400;

    private final SimDisk.Power power = new SimDisk.Power(1);
    private final SimDisk first = new SimDisk(power, 512, "first");
    private final SimDisk second = new SimDisk(power, 512, "second");

    private Durable open(CopyExecutor both) throws IOException {
        return new Durable(
                first,
                second,
                both,
                1 << 14,
                512,
                0.5,
                0,
                List.of(new Namespace("a", 1L << 30, false)),
                1,
                FileStore::currentTime,
                Runnable::run,
                Set.of());
    }

    private static byte[] bytes(long n) {
        return ByteBuffer.allocate(8).putLong(n).array();
    }

    @Test
    void readsSeeAcknowledgedWritesAndNeverOlderOnes() throws Exception {
        AtomicReference<String> wrong = new AtomicReference<>();
        try (SideBySide both = new SideBySide();
                Durable d = open(both);
                Committer c = new Committer(d, 1 << 20, 0, 64 << 20)) {
            List<Thread> threads = new ArrayList<>();
            for (int w = 0; w < WRITERS; w++) {
                byte[] key = bytes(w);
                byte[] other = bytes((w + 1) % WRITERS);
                threads.add(new Thread(() -> {
                    try {
                        long seen = 0;
                        for (long n = 1; n <= WRITES_PER_WRITER; n++) {
                            c.write(new Batch().put("a", key, bytes(n)));
                            if (ByteBuffer.wrap(d.get("a", key).value()).getLong() != n) {
                                wrong.set("a writer did not read its acknowledged value");
                            }
                            StoredRecord f = d.get("a", other);
                            long now =
                                    f == null ? 0 : ByteBuffer.wrap(f.value()).getLong();
                            if (now < seen) {
                                wrong.set("a reader saw an older value: from " + seen + " to " + now);
                            }
                            seen = now;
                        }
                    } catch (IOException | RuntimeException e) {
                        wrong.set(e.toString());
                    }
                }));
            }
            threads.forEach(Thread::start);
            for (Thread t : threads) {
                t.join();
            }
            assertEquals(null, wrong.get());
            assertEquals(WRITERS * WRITES_PER_WRITER, d.figures().get(StoreCounters.Counter.BATCHES));
            assertTrue(
                    d.figures().get(StoreCounters.Counter.GROUPS) < WRITERS * WRITES_PER_WRITER,
                    "no two batches shared a group");
            assertTrue(d.figures().get(StoreCounters.Counter.COMPACTED) > 0, "nothing was compacted during the writes");
        }
    }

    @Test
    void failedForceAcknowledgesNothing() throws Exception {
        try (Durable d = open(CopyExecutor.SEQUENTIAL);
                Committer c = new Committer(d, 1 << 20, 0, 1 << 20)) {
            c.write(new Batch().put("a", bytes(1), bytes(1)));
            power.failForce(1);
            List<CompletableFuture<Void>> group = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                group.add(c.submit(new Batch().put("a", bytes(1), bytes(2 + i))));
            }
            int failed = 0;
            for (CompletableFuture<Void> f : group) {
                try {
                    f.get();
                } catch (ExecutionException e) {
                    assertEquals(Cause.UNKNOWN, ((StoreRefusedException) e.getCause()).reason());
                    failed++;
                }
            }
            assertTrue(failed > 0);
            c.write(new Batch().put("a", bytes(1), bytes(9)));
        }
    }

    @Test
    void fullQueueRefusesAtOnceAndCloseWritesPendingBatches() throws Exception {
        Durable d = open(CopyExecutor.SEQUENTIAL);
        List<CompletableFuture<Void>> all = new ArrayList<>();
        int busy = 0;
        Committer c = new Committer(d, 2_000, 200_000_000, 1 << 20);
        c.write(new Batch().put("a", bytes(0), bytes(0))); // the next group starts only after the minimum interval
        for (int i = 0; i < 50; i++) {
            CompletableFuture<Void> f = c.submit(new Batch().put("a", bytes(i), new byte[100]));
            if (f.isCompletedExceptionally()) {
                StoreRefusedException r = (StoreRefusedException)
                        assertThrows(CompletionException.class, f::join).getCause();
                assertEquals(Cause.BUSY, r.reason());
                busy++;
            } else {
                all.add(f);
            }
        }
        assertTrue(busy > 20, "only " + busy + " were refused");
        c.close();
        for (CompletableFuture<Void> f : all) {
            f.get();
        }
        StoreRefusedException after = (StoreRefusedException) assertThrows(
                        CompletionException.class, c.submit(new Batch().put("a", bytes(1), bytes(1)))::join)
                .getCause();
        assertEquals(Cause.CLOSED, after.reason());
        d.close();
    }
}
