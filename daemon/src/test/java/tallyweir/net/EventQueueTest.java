package tallyweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The queue between MINA's threads and the decision thread. */
class EventQueueTest {
    private final EventQueue queue = new EventQueue();
    private final List<String> log = new ArrayList<>();

    private EventQueue.Inbox inbox(String name) {
        return new EventQueue.Inbox(() -> log.add(name + " suspended"), () -> log.add(name + " resumed"));
    }

    private void put(EventQueue.Inbox from, String text) {
        queue.put(from, () -> log.add(text));
    }

    private List<String> taken() throws InterruptedException {
        List<Runnable> taken = new ArrayList<>();
        queue.take(taken, 0);
        taken.forEach(Runnable::run);
        List<String> all = List.copyOf(log);
        log.clear();
        return all;
    }

    /** With a single queue for all connections a flood of callers delayed the kernel and the store. */
    @Test
    void peersComeFirstAndCallersInTurn() throws InterruptedException {
        EventQueue.Inbox a = inbox("a");
        EventQueue.Inbox b = inbox("b");
        put(a, "a1");
        put(a, "a2");
        put(a, "a3");
        put(b, "b1");
        queue.put(() -> log.add("kernel"));
        assertEquals(List.of("a suspended", "kernel", "a1", "b1"), taken());
        assertEquals(List.of("a resumed", "a2"), taken());
        assertEquals(List.of("a3"), taken());
        assertEquals(List.of(), taken());
    }

    /** An endless reply that is processed more slowly than it arrives must not fill the memory. */
    @Test
    void aPeerIsNotReadWhileItsMaximumOfChunksIsQueued() throws InterruptedException {
        EventQueue.Inbox peer = inbox("store");
        for (int i = 0; i < EventQueue.MAX_PEER_CHUNKS; i++) {
            queue.putPeerChunk(peer, () -> {});
        }
        assertEquals(List.of("store suspended"), log);
        assertEquals(EventQueue.MAX_PEER_CHUNKS, queue.pendingPeerChunks());
        assertEquals(List.of("store suspended", "store resumed"), taken());
        assertEquals(0, queue.pendingPeerChunks());
    }

    /** Hundreds of callers that write large requests at once must not fill the memory with two chunks each. */
    @Test
    void eachCallerMayQueueOneChunkWhileAllTogetherHaveTheirMaximum() throws InterruptedException {
        for (int i = 0; i < EventQueue.MAX_CHUNKS_OF_ALL_CALLERS - 1; i++) {
            put(inbox("x"), "chunk");
        }
        assertEquals(List.of(), log);
        EventQueue.Inbox last = inbox("last");
        put(last, "chunk");
        assertEquals(List.of("last suspended"), log);
        List<String> all = new ArrayList<>();
        for (int i = 0; i <= EventQueue.MAX_CHUNKS_OF_ALL_CALLERS / EventQueue.MAX_CALLERS_PER_BATCH; i++) {
            all.addAll(taken());
        }
        assertTrue(all.contains("last resumed"));
    }

    /** A caller is not read while chunks of it are queued, nor while its output cannot be sent. */
    @Test
    void aCallerIsReadAgainOnceItsChunksAreTakenAndItsOutputIsSent() throws InterruptedException {
        EventQueue.Inbox a = inbox("a");
        queue.setOutputBacklogged(a, true);
        put(a, "a1");
        put(a, "a2");
        assertEquals(List.of("a suspended", "a1"), taken());
        assertEquals(List.of("a2"), taken());
        queue.setOutputBacklogged(a, false);
        assertEquals(List.of("a resumed"), taken());
    }

    /**
     * Chunks that are taken and not processed yet, and bytes read from the socket and not queued yet, count as
     * unprocessed too.
     */
    @Test
    void anInboxIsEmptyOnlyWhenAllItsBytesAreProcessed() throws InterruptedException {
        EventQueue.Inbox a = inbox("a");
        EventQueue.setReadInProgress(a, true);
        assertFalse(EventQueue.isEmpty(a));
        put(a, "a1");
        EventQueue.setReadInProgress(a, false);
        assertFalse(EventQueue.isEmpty(a));
        List<Runnable> batch = new ArrayList<>();
        queue.take(batch, 0);
        assertFalse(EventQueue.isEmpty(a));
        batch.forEach(Runnable::run);
        assertTrue(EventQueue.isEmpty(a));
    }

    @Test
    void aFloodOfCallersWaitsForTheNextBatch() throws InterruptedException {
        for (int i = 0; i < 3 * EventQueue.MAX_CALLERS_PER_BATCH; i++) {
            put(inbox("x"), "chunk");
        }
        assertEquals(EventQueue.MAX_CALLERS_PER_BATCH, taken().size());
        queue.put(() -> log.add("kernel"));
        assertEquals("kernel", taken().get(0));
    }
}
