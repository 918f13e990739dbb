package tallyweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The queue between MINA's threads and the decision thread. */
class ArrivalsTest {
    private final Arrivals arrivals = new Arrivals();
    private final List<String> log = new ArrayList<>();

    private Arrivals.Inbox inbox(String name) {
        return new Arrivals.Inbox(() -> log.add(name + " suspended"), () -> log.add(name + " resumed"));
    }

    private void put(Arrivals.Inbox from, String text) {
        arrivals.put(from, () -> log.add(text));
    }

    private List<String> taken() throws InterruptedException {
        List<Runnable> taken = new ArrayList<>();
        arrivals.take(taken, 0);
        taken.forEach(Runnable::run);
        List<String> all = List.copyOf(log);
        log.clear();
        return all;
    }

    /** With a single queue for all connections a flood of callers delayed the kernel and the store. */
    @Test
    void peersComeFirstAndCallersInTurn() throws InterruptedException {
        Arrivals.Inbox a = inbox("a");
        Arrivals.Inbox b = inbox("b");
        put(a, "a1");
        put(a, "a2");
        put(a, "a3");
        put(b, "b1");
        arrivals.put(() -> log.add("kernel"));
        assertEquals(List.of("a suspended", "kernel", "a1", "b1"), taken());
        assertEquals(List.of("a resumed", "a2"), taken());
        assertEquals(List.of("a3"), taken());
        assertEquals(List.of(), taken());
    }

    /** An endless reply that is processed more slowly than it arrives must not fill the memory. */
    @Test
    void aPeerIsNotReadWhileMuchOfItLiesHere() throws InterruptedException {
        Arrivals.Inbox peer = inbox("store");
        for (int i = 0; i < Arrivals.PEER_PIECES_MOST; i++) {
            arrivals.putFirst(peer, () -> {});
        }
        assertEquals(List.of("store suspended"), log);
        assertEquals(Arrivals.PEER_PIECES_MOST, arrivals.peerPieces());
        assertEquals(List.of("store suspended", "store resumed"), taken());
        assertEquals(0, arrivals.peerPieces());
    }

    /** A caller is not read while chunks of it are queued, nor while its output cannot be sent. */
    @Test
    void aCallerIsReadAgainOnceBothAreOver() throws InterruptedException {
        Arrivals.Inbox a = inbox("a");
        arrivals.stands(a, true);
        put(a, "a1");
        put(a, "a2");
        assertEquals(List.of("a suspended", "a1"), taken());
        assertEquals(List.of("a2"), taken());
        arrivals.stands(a, false);
        assertEquals(List.of("a resumed"), taken());
    }

    /**
     * Chunks that are taken and not processed yet, and bytes read from the socket and not queued yet, count as
     * unprocessed too.
     */
    @Test
    void nothingUnreadOfACallerIsOverlooked() throws InterruptedException {
        Arrivals.Inbox a = inbox("a");
        Arrivals.reading(a, true);
        assertFalse(Arrivals.isEmpty(a));
        put(a, "a1");
        Arrivals.reading(a, false);
        assertFalse(Arrivals.isEmpty(a));
        List<Runnable> batch = new ArrayList<>();
        arrivals.take(batch, 0);
        assertFalse(Arrivals.isEmpty(a));
        batch.forEach(Runnable::run);
        assertTrue(Arrivals.isEmpty(a));
    }

    @Test
    void aFloodOfCallersWaitsForTheNextRound() throws InterruptedException {
        for (int i = 0; i < 3 * Arrivals.TURNS_MOST; i++) {
            put(inbox("x"), "chunk");
        }
        assertEquals(Arrivals.TURNS_MOST, taken().size());
        arrivals.put(() -> log.add("kernel"));
        assertEquals("kernel", taken().get(0));
    }
}
