package tallyweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The queue between MINA's threads and the deciding one. */
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

    /** One queue for all held up the kernel and the store while callers flooded it. */
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

    /** A reply without end, taken more slowly than it came, would have filled the memory. */
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

    /** Answers that do not go out and pieces that are not taken each keep a caller from being read. */
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

    /** What is taken and has not had its turn, and what has left the socket and is not here yet, is unread too. */
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
            put(inbox("x"), "piece");
        }
        assertEquals(Arrivals.TURNS_MOST, taken().size());
        arrivals.put(() -> log.add("kernel"));
        assertEquals("kernel", taken().get(0));
    }
}
