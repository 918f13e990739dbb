package tallyweir.fleet.ratis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.server.protocol.TermIndex;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.FleetSettings;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.SnapshotPart;
import tallyweir.fleet.State;
import tallyweir.fleet.table.Change;

/** Snapshots on disk: saving and loading a state, and fallback from damaged files. */
class SnapshotStoreTest {
    private static final FleetSettings SETTINGS =
            new FleetSettings(1, 20_000, 5_000, 100_000, 50_000, 0.01, 0.5, 0.25, 8, 0.5, 0, 2, 0.5);
    private static final TermIndex EARLIER = TermIndex.valueOf(1, 9);
    private static final TermIndex LATER = TermIndex.valueOf(2, 10);
    private static final int CAPS_IN_COMMAND = 50_000;
    private static final int TENANT_STEP = 17; // between two changed tenants

    // Larger ones are measured with -Dsnapshot.caps=400000 -Dsnapshot.changes=25000.
    private static final int CAPS = Integer.getInteger("snapshot.caps", 20_000);
    private static final int CHANGES = Integer.getInteger("snapshot.changes", 500);

    @TempDir
    private Path dir;

    private static State state(int caps, int changes) {
        State state = new State();
        state.clock(1, 1);
        state.apply(new Command.CreateFleet("f", SETTINGS));
        List<Change> all = VoterCluster.caps(caps, -1, 1);
        long revision = 0;
        for (int from = 0; from < caps; from += CAPS_IN_COMMAND) {
            List<Change> some = all.subList(from, Math.min(caps, from + CAPS_IN_COMMAND));
            assertDone(
                    ++revision,
                    state.apply(new Command.Publish(
                            new OperatorCommandId("base" + from),
                            new RevisionId(revision - 1),
                            some,
                            "ann",
                            "first",
                            false)));
        }
        int[] current = new int[caps];
        Arrays.fill(current, 1);
        for (int i = 0; i < changes; i++) {
            int tenant = i * TENANT_STEP % caps;
            List<Change> one = List.of(VoterCluster.cap("tenant" + tenant, current[tenant], ++current[tenant]));
            assertDone(
                    ++revision,
                    state.apply(new Command.ChangeEntries(
                            new OperatorCommandId("change" + i), one, "bob", "tenant asked for it", false)));
        }
        state.apply(new Command.Join("f", new ServerId("s"), "127.0.0.1:1", 1));
        return state;
    }

    private static void assertDone(long revision, Answer answer) {
        assertEquals(new Answer.Done(new RevisionId(revision)), answer);
    }

    private static List<SnapshotPart> parts(State state) {
        List<SnapshotPart> parts = new ArrayList<>();
        state.save(parts::add);
        return parts;
    }

    @Test
    void aSavedStateIsLoadedUnchanged() throws IOException {
        SnapshotStore store = new SnapshotStore(dir);
        assertEquals(Optional.empty(), store.loadNewestUndamaged());
        State state = state(2_500, 100);
        store.save(state, LATER);
        SnapshotStore.Loaded loaded = store.loadNewestUndamaged().orElseThrow();
        assertEquals(LATER, loaded.lastEntry());
        assertEquals(parts(state), parts(loaded.state()));
        assertEquals(state.table(state.inForce()), loaded.state().table(state.inForce()));
        assertEquals(parts(state), parts(store.loadNewest().orElseThrow().state()));
    }

    /** Truncates a snapshot to many lengths and flips a bit at many positions: always detected, and the previous snapshot is used. */
    @Test
    void damageIsDetectedAndThePreviousSnapshotIsUsed() throws IOException {
        SnapshotStore store = new SnapshotStore(dir);
        State before = state(30, 1);
        store.save(before, EARLIER);
        store.save(state(30, 3), LATER);
        Path newest = dir.resolve("snapshot.2_10");
        byte[] complete = Files.readAllBytes(newest);
        for (int at = 0; at < complete.length; at += 1 + at / 50) {
            Files.write(newest, Arrays.copyOf(complete, at));
            assertEarlier(store, before);
            byte[] changed = complete.clone();
            changed[at] ^= 4;
            Files.write(newest, changed);
            assertThrows(SnapshotDamagedException.class, store::loadNewest);
            assertEarlier(store, before);
        }
        Files.write(newest, Arrays.copyOf(complete, complete.length + 1));
        assertEarlier(store, before);
        Files.write(newest, complete);
        assertEquals(LATER, store.loadNewestUndamaged().orElseThrow().lastEntry(), "undamaged again");
    }

    private static void assertEarlier(SnapshotStore store, State before) throws IOException {
        SnapshotStore.Loaded loaded = store.loadNewestUndamaged().orElseThrow();
        assertEquals(EARLIER, loaded.lastEntry());
        assertEquals(before.inForce(), loaded.state().inForce());
    }

    @Test
    void loadingFailsIfEverySnapshotIsDamaged() throws IOException {
        SnapshotStore store = new SnapshotStore(dir);
        store.save(state(30, 1), LATER);
        Path newest = dir.resolve("snapshot.2_10");
        Files.write(newest, new byte[] {1, 2, 3});
        assertInstanceOf(SnapshotDamagedException.class, assertThrows(IOException.class, store::loadNewestUndamaged));
        assertTrue(Files.exists(dir.resolve("damaged.snapshot.2_10")), "kept for diagnosis");
    }

    /** A process killed while it writes a snapshot leaves a file that is not taken for one. */
    @Test
    void anUnfinishedFileIsNotASnapshot() throws IOException {
        SnapshotStore store = new SnapshotStore(dir);
        State state = state(30, 1);
        store.save(state, EARLIER);
        Files.write(dir.resolve("unfinished.snapshot.2_10"), new byte[100]);
        assertEquals(EARLIER, store.loadNewestUndamaged().orElseThrow().lastEntry());
    }

    /** Measures size and time of a snapshot with one-entry changes over many caps; each change adds a size independent of the table's. */
    @Test
    void theSizeOfASnapshotGrowsWithTheChangesOnly() throws IOException {
        SnapshotStore store = new SnapshotStore(dir);
        State without = state(CAPS, 0);
        store.save(without, EARLIER);
        State state = state(CAPS, CHANGES);
        long startedAt = System.nanoTime();
        store.save(state, LATER);
        long savedAt = System.nanoTime();
        SnapshotStore.Loaded loaded = store.loadNewest().orElseThrow();
        long endedAt = System.nanoTime();
        long base = Files.size(dir.resolve("snapshot.1_9"));
        long bytes = Files.size(dir.resolve("snapshot.2_10"));
        System.out.printf(
                "%d caps, %d changes: %d bytes, of them %d without the changes; saved in %d ms, loaded in %d ms%n",
                CAPS,
                CHANGES,
                bytes,
                base,
                TimeUnit.NANOSECONDS.toMillis(savedAt - startedAt),
                TimeUnit.NANOSECONDS.toMillis(endedAt - savedAt));
        assertEquals(
                state.table(state.inForce()),
                loaded.state().table(loaded.state().inForce()));
        assertTrue(base < 30L * CAPS, () -> base + " bytes");
        assertTrue(bytes - base < 400L * CHANGES, () -> (bytes - base) + " bytes for the changes");
    }
}
