package tallyweir.results;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tallyweir.durable.AdminSocket;
import tallyweir.durable.Both;
import tallyweir.durable.Committer;
import tallyweir.durable.Durable;
import tallyweir.durable.Found;
import tallyweir.durable.Namespace;
import tallyweir.durable.SimDisk;
import tallyweir.durable.View;
import tallyweir.ids.JobId;

/** Changes by operators, and their audit trail. */
@Timeout(30)
class SettlingTest {
    private static final Mark MARK = DurableResultStore.mark("reset", "m1");

    private final SimDisk.Power power = new SimDisk.Power(1);
    private final long clock = 17_000_000_000_000L;
    private final long until = clock + 36_000_000;
    private Durable store;
    private Committer committer;
    private DurableResultStore resultStore;

    @BeforeEach
    void open() throws IOException {
        store = new Durable(
                new SimDisk(power, 512, "first"),
                new SimDisk(power, 512, "second"),
                Both.IN_TURN,
                1 << 16,
                512,
                0.5,
                0,
                List.of(
                        new Namespace(DurableResultStore.RESULTS, 1 << 20, false),
                        new Namespace(DurableResultStore.INTENTS, 1 << 20, false),
                        new Namespace(Settling.AUDIT, 1 << 20, false)),
                1,
                () -> clock,
                Runnable::run,
                Set.of());
        committer = new Committer(store, 1 << 20, 0, 1 << 20);
        resultStore = new DurableResultStore(store, committer, Runnable::run, Runnable::run, Set.of());
    }

    @AfterEach
    void close() {
        committer.close();
        store.close();
    }

    private void keep(Known known, String result) throws IOException {
        tallyweir.durable.Batch b = new tallyweir.durable.Batch();
        DurableResultStore.put(b, MARK, new JobId("j"), 42, known, result == null ? null : result.getBytes(), until);
        committer.write(b);
    }

    private ResultStore.Kept kept() {
        ResultStore.Kept[] stored = new ResultStore.Kept[1];
        resultStore.look(MARK, k -> stored[0] = k);
        return stored[0];
    }

    private String refusal(Settling.As as, String operator, String reason) {
        return assertThrows(
                        IOException.class, () -> Settling.settle(store, committer, MARK, as, null, operator, reason))
                .getMessage();
    }

    private List<Settling.Change> audit() throws IOException {
        List<Settling.Change> all = new ArrayList<>();
        try (View v = store.view()) {
            v.range(Settling.AUDIT, new byte[0], null).forEachRemaining((Found f) -> all.add(Settling.change(f)));
        }
        return all;
    }

    @Test
    void whatRanGetsItsResultAndKeepsItsBodyAndWindow() throws IOException {
        keep(Known.UNKNOWN, null);
        Settling.settle(store, committer, MARK, Settling.As.RAN, "slot 7".getBytes(), "amal", "seen in the slot book");
        assertEquals(Known.GOOD, kept().known());
        assertArrayEquals("slot 7".getBytes(), kept().result());
        assertEquals(42, kept().body());
        assertEquals(until, kept().until());
        assertEquals(List.of(new Settling.Change(clock, MARK, "RAN", "amal", "seen in the slot book")), audit());
        assertTrue(refusal(Settling.As.RAN_BADLY, "amal", "twice").contains("known"), "settled twice");
    }

    @Test
    void whatRanBadlyNeverRunsAndWhatNeverRanMay() throws IOException {
        keep(Known.UNKNOWN, null);
        Settling.settle(store, committer, MARK, Settling.As.RAN_BADLY, null, "amal", "half done");
        assertEquals(Known.BAD, kept().known());
        keep(Known.UNKNOWN, null);
        Settling.settle(
                store, committer, MARK, Settling.As.NEVER_RAN, null, "amal", "the kernel's log has no such run");
        assertNull(kept());
        assertEquals(false, resultStore.knows(MARK));
        assertEquals(2, audit().size());
    }

    @Test
    void whatIsOpenOrKnownOrUnsignedIsNotSettled() throws IOException {
        assertTrue(refusal(Settling.As.NEVER_RAN, "amal", "x").contains("no record"));
        resultStore.intend(MARK, new JobId("j"), 42, until, good -> {});
        while (!resultStore.knows(MARK)) {
            Thread.onSpinWait();
        }
        for (Settling.As as : Settling.As.values()) {
            assertTrue(refusal(as, "amal", "x").contains("still open"), as + " deleted an open intent");
        }
        keep(Known.GOOD, "r");
        assertTrue(refusal(Settling.As.NEVER_RAN, "amal", "x").contains("known"));
        keep(Known.UNKNOWN, null);
        assertTrue(refusal(Settling.As.NEVER_RAN, " ", "x").contains("an operator and a reason are required"));
        assertTrue(refusal(Settling.As.NEVER_RAN, "amal", "").contains("an operator and a reason are required"));
        assertTrue(refusal(Settling.As.NEVER_RAN, "amal", "x".repeat(2_001))
                .contains("an operator and a reason are required"));
        assertEquals(List.of(), audit());
        assertEquals(Known.UNKNOWN, kept().known());
    }

    @Test
    void aKnownResultMayBeForgottenAndThatIsOnRecord() throws IOException {
        keep(Known.GOOD, "r");
        Settling.settle(store, committer, MARK, Settling.As.FORGOTTEN, null, "amal", "asked for by the baker");
        assertNull(kept());
        assertEquals("FORGOTTEN", audit().get(0).as());
    }

    @Test
    void theAdminSocketTakesTheSameAndRefusesWhatItCannotRead() throws IOException {
        AdminSocket.Command settle = Settling.commands(store, committer).get("settle");
        List<String> lines = new ArrayList<>();
        keep(Known.UNKNOWN, null);
        settle.answer(List.of("reset", "m1", "RAN", "7269", "amal", "seen"), lines::add, n -> {});
        assertEquals(List.of("settled\tRAN"), lines);
        assertArrayEquals("ri".getBytes(), kept().result());
        for (List<String> bad : List.of(
                List.of("reset"),
                List.of("reset", "m1", "MAYBE", "-", "a", "b"),
                List.of("reset", "m1", "RAN", "7", "a", "b"))) {
            assertThrows(IOException.class, () -> settle.answer(bad, lines::add, n -> {}));
        }
        assertEquals(Map.of("settle", 1), Map.of("settle", audit().size()));
    }
}
