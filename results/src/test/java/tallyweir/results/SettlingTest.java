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
import tallyweir.durable.Committer;
import tallyweir.durable.CopyExecutor;
import tallyweir.durable.Durable;
import tallyweir.durable.Namespace;
import tallyweir.durable.SimDisk;
import tallyweir.durable.StoredRecord;
import tallyweir.durable.View;
import tallyweir.ids.JobId;

/** Changes by operators, and their audit trail. */
@Timeout(30)
class SettlingTest {
    private static final IdempotencyKey KEY = DurableResultStore.idempotencyKey("reset", "m1");

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
                CopyExecutor.SEQUENTIAL,
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

    private void store(Known known, String result) throws IOException {
        tallyweir.durable.Batch b = new tallyweir.durable.Batch();
        DurableResultStore.put(b, KEY, new JobId("j"), 42, known, result == null ? null : result.getBytes(), until);
        committer.write(b);
    }

    private ResultStore.StoredResult storedRecord() {
        ResultStore.StoredResult[] stored = new ResultStore.StoredResult[1];
        resultStore.read(KEY, k -> stored[0] = k);
        return stored[0];
    }

    private String refusal(Settling.As as, String operator, String reason) {
        return assertThrows(IOException.class, () -> Settling.settle(store, committer, KEY, as, null, operator, reason))
                .getMessage();
    }

    private List<Settling.Change> audit() throws IOException {
        List<Settling.Change> all = new ArrayList<>();
        try (View v = store.view()) {
            v.range(Settling.AUDIT, new byte[0], null)
                    .forEachRemaining((StoredRecord f) -> all.add(Settling.change(f)));
        }
        return all;
    }

    @Test
    void runSettledAsRanGetsResultAndKeepsBodyAndWindow() throws IOException {
        store(Known.UNKNOWN, null);
        Settling.settle(store, committer, KEY, Settling.As.RAN, "slot 7".getBytes(), "amal", "seen in the slot book");
        assertEquals(Known.GOOD, storedRecord().known());
        assertArrayEquals("slot 7".getBytes(), storedRecord().result());
        assertEquals(42, storedRecord().body());
        assertEquals(until, storedRecord().expiresAt());
        assertEquals(List.of(new Settling.Change(clock, KEY, "RAN", "amal", "seen in the slot book")), audit());
        assertTrue(refusal(Settling.As.RAN_BADLY, "amal", "twice").contains("known"), "settled twice");
    }

    @Test
    void failedRunNeverRepeatsAndUnstartedRunMayStart() throws IOException {
        store(Known.UNKNOWN, null);
        Settling.settle(store, committer, KEY, Settling.As.RAN_BADLY, null, "amal", "half done");
        assertEquals(Known.BAD, storedRecord().known());
        store(Known.UNKNOWN, null);
        Settling.settle(store, committer, KEY, Settling.As.NEVER_RAN, null, "amal", "the kernel's log has no such run");
        assertNull(storedRecord());
        assertEquals(false, resultStore.contains(KEY));
        assertEquals(2, audit().size());
    }

    @Test
    void openOrKnownRunOrMissingOperatorIsRefused() throws IOException {
        assertTrue(refusal(Settling.As.NEVER_RAN, "amal", "x").contains("no record"));
        resultStore.recordIntent(KEY, new JobId("j"), 42, until, good -> {});
        while (!resultStore.contains(KEY)) {
            Thread.onSpinWait();
        }
        for (Settling.As as : Settling.As.values()) {
            assertTrue(refusal(as, "amal", "x").contains("still open"), as + " deleted an open intent");
        }
        store(Known.GOOD, "r");
        assertTrue(refusal(Settling.As.NEVER_RAN, "amal", "x").contains("known"));
        store(Known.UNKNOWN, null);
        assertTrue(refusal(Settling.As.NEVER_RAN, " ", "x").contains("an operator and a reason are required"));
        assertTrue(refusal(Settling.As.NEVER_RAN, "amal", "").contains("an operator and a reason are required"));
        assertTrue(refusal(Settling.As.NEVER_RAN, "amal", "x".repeat(2_001))
                .contains("an operator and a reason are required"));
        assertEquals(List.of(), audit());
        assertEquals(Known.UNKNOWN, storedRecord().known());
    }

    @Test
    void knownResultMayBeForgottenWithAuditRecord() throws IOException {
        store(Known.GOOD, "r");
        Settling.settle(store, committer, KEY, Settling.As.FORGOTTEN, null, "amal", "asked for by the baker");
        assertNull(storedRecord());
        assertEquals("FORGOTTEN", audit().get(0).as());
    }

    @Test
    void adminSocketSettlesAndRefusesMalformedCommands() throws IOException {
        AdminSocket.Command settle = Settling.commands(store, committer).get("settle");
        List<String> lines = new ArrayList<>();
        store(Known.UNKNOWN, null);
        settle.execute(List.of("reset", "m1", "RAN", "7269", "amal", "seen"), lines::add, n -> {});
        assertEquals(List.of("settled\tRAN"), lines);
        assertArrayEquals("ri".getBytes(), storedRecord().result());
        for (List<String> bad : List.of(
                List.of("reset"),
                List.of("reset", "m1", "MAYBE", "-", "a", "b"),
                List.of("reset", "m1", "RAN", "7", "a", "b"))) {
            assertThrows(IOException.class, () -> settle.execute(bad, lines::add, n -> {}));
        }
        assertEquals(Map.of("settle", 1), Map.of("settle", audit().size()));
    }
}
