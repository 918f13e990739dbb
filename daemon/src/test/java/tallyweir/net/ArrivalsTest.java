package tallyweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
