package tallyweir.fleet.table;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;

/** Transfers between tables: completeness, the number of chunks requested, and rejection of damaged chunks. */
class TableTransferTest {
    private static final int LARGE_TABLE_ENTRIES = 20_000;
    private static final Table LARGE_TABLE = Table.EMPTY.apply(TestTables.capChanges(0, LARGE_TABLE_ENTRIES, 7));

    @Test
    void transfersACompleteTable() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        int chunks = complete(transfer, LARGE_TABLE);
        assertEquals(LARGE_TABLE, transfer.table());
        assertEquals(TestTables.entriesOf(LARGE_TABLE), TestTables.entriesOf(transfer.table()));
        assertEquals(1 + 16, chunks);
    }

    @Test
    void requestsNothingIfTheReceiverHasTheTable() {
        TableTransfer transfer = new TableTransfer(LARGE_TABLE, LARGE_TABLE.root());
        assertEquals(Optional.empty(), transfer.nextPath());
        assertSame(LARGE_TABLE, transfer.table());
        assertEquals(Optional.empty(), new TableTransfer(Table.EMPTY, Table.EMPTY.root()).nextPath());
    }

    @Test
    void requestsOnlyDifferingSubtrees() {
        Table target = LARGE_TABLE.apply(TestTables.capChanges(77, 78, 8));
        TableTransfer transfer = new TableTransfer(LARGE_TABLE, target.root());
        assertEquals(2, complete(transfer, target));
        assertEquals(target, transfer.table());
        assertSharesAllButOneChild(transfer.table(), LARGE_TABLE);
    }

    @Property(tries = 60, seed = "31")
    void chunkCountIsBoundedByTheDifference(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int changes) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Change> differing = new ArrayList<>();
        for (int i = 0; i < changes; i++) {
            int tenant = random.nextInt(2 * LARGE_TABLE_ENTRIES);
            boolean removes = random.nextBoolean();
            differing.add(
                    removes
                            ? TestTables.remove(TestTables.capKey(tenant))
                            : TestTables.capChanges(tenant, tenant + 1, 9).get(0));
        }
        Table target = LARGE_TABLE.apply(differing);
        TableTransfer transfer = new TableTransfer(LARGE_TABLE, target.root());
        int chunks = complete(transfer, target);
        assertTrue(chunks <= 1 + changes, "chunks: " + chunks);
        assertEquals(target, transfer.table());
    }

    /** Interrupted transfers, changes of the target and various base tables must not lose entries that were already received. */
    @Property(tries = 60, seed = "32")
    void interruptionsAndNewTargetsLoseNothing(@ForAll long seed, @ForAll @IntRange(min = 0, max = 3) int baseCase) {
        SplittableRandom random = new SplittableRandom(seed);
        Table target = LARGE_TABLE;
        Table base = switch (baseCase) {
            case 0 -> Table.EMPTY;
            case 1 -> Table.EMPTY.apply(TestTables.capChanges(0, LARGE_TABLE_ENTRIES / 2, 7));
            case 2 -> Table.EMPTY.apply(TestTables.capChanges(0, 40, 7));
            default -> LARGE_TABLE.apply(TestTables.randomChanges(random, 500, 300));
        };
        TableTransfer transfer = new TableTransfer(base, target.root());
        for (int retarget = 0; retarget < 4; retarget++) {
            for (int chunks = random.nextInt(12);
                    chunks > 0 && transfer.nextPath().isPresent();
                    chunks--) {
                Path path = transfer.nextPath().get();
                transfer.accept(path, target.chunk(path));
            }
            target = target.apply(TestTables.randomChanges(random, 1 + random.nextInt(30), 300));
            transfer = transfer.retarget(target.root());
        }
        complete(transfer, target);
        assertEquals(target, transfer.table());
        assertEquals(TestTables.entriesOf(target), TestTables.entriesOf(transfer.table()));
    }

    @Test
    void retargetingRequestsOnlyNewSubtrees() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        Set<Path> received = new HashSet<>();
        for (int i = 0; i < 9; i++) {
            Path path = transfer.nextPath().orElseThrow();
            transfer.accept(path, LARGE_TABLE.chunk(path));
            received.add(path);
        }
        Table newer = LARGE_TABLE.apply(TestTables.capChanges(77, 78, 8));
        TableTransfer retargeted =
                transfer.retarget(newer.root()).retarget(LARGE_TABLE.root()).retarget(newer.root());
        List<Path> requested = new ArrayList<>();
        complete(retargeted, newer, requested);
        requested.removeAll(Set.of(Path.ROOT));
        long repeated = requested.stream().filter(received::contains).count();
        assertTrue(repeated <= 1, "requested again: " + repeated);
        assertEquals(newer, retargeted.table());
    }

    @Test
    void returningToTheFirstTargetRequestsNothing() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        complete(transfer, LARGE_TABLE);
        Table newer = LARGE_TABLE.apply(TestTables.capChanges(77, 78, 8));
        TableTransfer returned = transfer.retarget(newer.root()).retarget(LARGE_TABLE.root());
        assertEquals(Optional.empty(), returned.nextPath());
        assertEquals(LARGE_TABLE, returned.table());
    }

    @Test
    void anyDamagedByteIsRejectedWithoutEffect() {
        Table small = Table.EMPTY.apply(TestTables.randomChanges(new SplittableRandom(5), 60, 40));
        assertEveryDamageIsRejected(new TableTransfer(Table.EMPTY, small.root()), small);
        assertEveryDamageIsRejected(new TableTransfer(Table.EMPTY, LARGE_TABLE.root()), LARGE_TABLE);
    }

    @Test
    void chunksOfOtherPathsOrTablesAreRejected() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        Table other = LARGE_TABLE.apply(TestTables.capChanges(0, 100, 8));
        assertMismatch(transfer, Path.ROOT, other.chunk(Path.ROOT));
        transfer.accept(Path.ROOT, LARGE_TABLE.chunk(Path.ROOT));
        assertMismatch(transfer, new Path("0"), LARGE_TABLE.chunk(new Path("1")));
        assertMismatch(transfer, new Path("0"), LARGE_TABLE.chunk(new Path("00")));
        assertMismatch(transfer, new Path("0"), LARGE_TABLE.chunk(Path.ROOT));
        complete(transfer, LARGE_TABLE);
        assertEquals(LARGE_TABLE, transfer.table());
    }

    @Test
    void unrequestedChunksAreIgnored() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        transfer.accept(new Path("0"), new byte[] {1, 2, 3});
        assertEquals(Optional.of(Path.ROOT), transfer.nextPath());
        assertThrows(IllegalStateException.class, transfer::table);
    }

    @Test
    void transfersTablesWithCollidingHashes() {
        for (KeyHashing hashing : List.of(TestTables.collidingAfter(0), TestTables.differingInLastDigit())) {
            Table empty = Table.empty(hashing);
            Table target = empty.apply(TestTables.capChanges(0, TableChunk.MAX_ENTRIES + 500, 7));
            TableTransfer transfer = new TableTransfer(empty, target.root());
            complete(transfer, target);
            assertEquals(target, transfer.table());
        }
    }

    @Test
    void invalidRootDigestsAreRejected() {
        for (String root : List.of("", "mixed", "g".repeat(64))) {
            FleetException thrown =
                    assertThrows(FleetException.class, () -> new TableTransfer(Table.EMPTY, new Digest(root)));
            assertEquals(new Fault.UnknownRoot(root), thrown.fault());
        }
    }

    @Test
    void pathsAreAtMostAsLongAsAHash() {
        assertEquals(64, new Path("0".repeat(64)).depth());
        for (String digits : List.of("g", "A", " ", "0".repeat(65))) {
            FleetException thrown = assertThrows(FleetException.class, () -> new Path(digits));
            assertTrue(thrown.fault() instanceof Fault.EntryFaulty);
        }
    }

    @Test
    void theChunkOfAPathWithoutEntriesIsEmpty() {
        byte[] emptyChunk = Table.EMPTY.chunk(Path.ROOT);
        assertArrayEquals(emptyChunk, LARGE_TABLE.chunk(new Path("0".repeat(64))));
    }

    private static void assertEveryDamageIsRejected(TableTransfer transfer, Table target) {
        Path path = transfer.nextPath().orElseThrow();
        byte[] chunk = target.chunk(path);
        for (int i = 0; i < chunk.length; i++) {
            for (int flipped : new int[] {1, 0x80, 0xFF}) {
                byte[] damaged = chunk.clone();
                damaged[i] ^= (byte) flipped;
                assertMismatch(transfer, path, damaged);
            }
            assertMismatch(transfer, path, Arrays.copyOf(chunk, i));
        }
        assertMismatch(transfer, path, Arrays.copyOf(chunk, chunk.length + 1));
        assertEquals(Optional.of(path), transfer.nextPath());
        complete(transfer, target);
        assertEquals(target, transfer.table());
    }

    private static void assertMismatch(TableTransfer transfer, Path path, byte[] chunk) {
        FleetException thrown = assertThrows(FleetException.class, () -> transfer.accept(path, chunk));
        assertTrue(
                thrown.fault() instanceof Fault.DigestMismatch, thrown.fault().toString());
        assertTrue(transfer.nextPath().isPresent());
    }

    private static void assertSharesAllButOneChild(Table one, Table other) {
        Branch left = (Branch) one.rootNode();
        Branch right = (Branch) other.rootNode();
        int differing = 0;
        for (int digit = 0; digit < Branch.FAN_OUT; digit++) {
            differing += left.child(digit) == right.child(digit) ? 0 : 1;
        }
        assertEquals(1, differing);
    }

    private static int complete(TableTransfer transfer, Table target) {
        List<Path> requested = new ArrayList<>();
        complete(transfer, target, requested);
        return requested.size();
    }

    /** Requests and accepts chunks until the transfer is complete; adds the paths requested. */
    private static void complete(TableTransfer transfer, Table target, List<Path> requested) {
        while (transfer.nextPath().isPresent()) {
            Path path = transfer.nextPath().get();
            assertFalse(requested.contains(path), "requested twice: " + path);
            requested.add(path);
            transfer.accept(path, target.chunk(path));
        }
    }
}
