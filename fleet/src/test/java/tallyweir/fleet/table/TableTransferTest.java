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
    private static final int LARGE = 20_000;
    private static final Table LARGE_TABLE = Table.EMPTY.apply(TestTables.caps(0, LARGE, 7));

    @Test
    void aWholeTableComesOver() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        int chunks = complete(transfer, LARGE_TABLE);
        assertEquals(LARGE_TABLE, transfer.table());
        assertEquals(TestTables.entriesOf(LARGE_TABLE), TestTables.entriesOf(transfer.table()));
        assertEquals(1 + 16, chunks);
    }

    @Test
    void nothingIsAskedForByWhoHasTheTable() {
        TableTransfer transfer = new TableTransfer(LARGE_TABLE, LARGE_TABLE.root());
        assertEquals(Optional.empty(), transfer.next());
        assertSame(LARGE_TABLE, transfer.table());
        assertEquals(Optional.empty(), new TableTransfer(Table.EMPTY, Table.EMPTY.root()).next());
    }

    @Test
    void onlyWhatDiffersIsAskedFor() {
        Table target = LARGE_TABLE.apply(TestTables.caps(77, 78, 8));
        TableTransfer transfer = new TableTransfer(LARGE_TABLE, target.root());
        assertEquals(2, complete(transfer, target));
        assertEquals(target, transfer.table());
        assertSharesAllButOneChild(transfer.table(), LARGE_TABLE);
    }

    @Property(tries = 60, seed = "31")
    void piecesGrowWithWhatDiffers(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int changes) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Change> differing = new ArrayList<>();
        for (int i = 0; i < changes; i++) {
            int tenant = random.nextInt(2 * LARGE);
            boolean removes = random.nextBoolean();
            differing.add(
                    removes
                            ? TestTables.remove(TestTables.cap(tenant))
                            : TestTables.caps(tenant, tenant + 1, 9).get(0));
        }
        Table target = LARGE_TABLE.apply(differing);
        TableTransfer transfer = new TableTransfer(LARGE_TABLE, target.root());
        int chunks = complete(transfer, target);
        assertTrue(chunks <= 1 + changes, "chunks: " + chunks);
        assertEquals(target, transfer.table());
    }

    /** Interrupted transfers, changes of the target and various base tables must not lose entries that were already received. */
    @Property(tries = 60, seed = "32")
    void breaksAndOtherTargetsLoseNothing(@ForAll long seed, @ForAll @IntRange(min = 0, max = 3) int baseCase) {
        SplittableRandom random = new SplittableRandom(seed);
        Table target = LARGE_TABLE;
        Table base = switch (baseCase) {
            case 0 -> Table.EMPTY;
            case 1 -> Table.EMPTY.apply(TestTables.caps(0, LARGE / 2, 7));
            case 2 -> Table.EMPTY.apply(TestTables.caps(0, 40, 7));
            default -> LARGE_TABLE.apply(TestTables.randomChanges(random, 500, 300));
        };
        TableTransfer transfer = new TableTransfer(base, target.root());
        for (int retarget = 0; retarget < 4; retarget++) {
            for (int chunks = random.nextInt(12); chunks > 0 && transfer.next().isPresent(); chunks--) {
                Path path = transfer.next().get();
                transfer.take(path, target.piece(path));
            }
            target = target.apply(TestTables.randomChanges(random, 1 + random.nextInt(30), 300));
            transfer = transfer.towards(target.root());
        }
        complete(transfer, target);
        assertEquals(target, transfer.table());
        assertEquals(TestTables.entriesOf(target), TestTables.entriesOf(transfer.table()));
    }

    @Test
    void aTransferTowardsANewerTableAsksOnlyForWhatIsNew() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        Set<Path> received = new HashSet<>();
        for (int i = 0; i < 9; i++) {
            Path path = transfer.next().orElseThrow();
            transfer.take(path, LARGE_TABLE.piece(path));
            received.add(path);
        }
        Table newer = LARGE_TABLE.apply(TestTables.caps(77, 78, 8));
        TableTransfer retargeted =
                transfer.towards(newer.root()).towards(LARGE_TABLE.root()).towards(newer.root());
        List<Path> requested = new ArrayList<>();
        complete(retargeted, newer, requested);
        requested.removeAll(Set.of(Path.ROOT));
        long repeated = requested.stream().filter(received::contains).count();
        assertTrue(repeated <= 1, "requested again: " + repeated);
        assertEquals(newer, retargeted.table());
    }

    @Test
    void aTransferThatIsBackAtItsFirstTargetAsksForNothingTwice() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        complete(transfer, LARGE_TABLE);
        Table newer = LARGE_TABLE.apply(TestTables.caps(77, 78, 8));
        TableTransfer returned = transfer.towards(newer.root()).towards(LARGE_TABLE.root());
        assertEquals(Optional.empty(), returned.next());
        assertEquals(LARGE_TABLE, returned.table());
    }

    @Test
    void aWrongByteAnywhereIsFoundAndChangesNothing() {
        Table small = Table.EMPTY.apply(TestTables.randomChanges(new SplittableRandom(5), 60, 40));
        assertEveryDamageIsFound(new TableTransfer(Table.EMPTY, small.root()), small);
        assertEveryDamageIsFound(new TableTransfer(Table.EMPTY, LARGE_TABLE.root()), LARGE_TABLE);
    }

    @Test
    void aPieceOfAnotherPathOrTableIsFound() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        Table other = LARGE_TABLE.apply(TestTables.caps(0, 100, 8));
        assertMismatch(transfer, Path.ROOT, other.piece(Path.ROOT));
        transfer.take(Path.ROOT, LARGE_TABLE.piece(Path.ROOT));
        assertMismatch(transfer, new Path("0"), LARGE_TABLE.piece(new Path("1")));
        assertMismatch(transfer, new Path("0"), LARGE_TABLE.piece(new Path("00")));
        assertMismatch(transfer, new Path("0"), LARGE_TABLE.piece(Path.ROOT));
        complete(transfer, LARGE_TABLE);
        assertEquals(LARGE_TABLE, transfer.table());
    }

    @Test
    void aPieceThatIsNotAskedForIsLeftAside() {
        TableTransfer transfer = new TableTransfer(Table.EMPTY, LARGE_TABLE.root());
        transfer.take(new Path("0"), new byte[] {1, 2, 3});
        assertEquals(Optional.of(Path.ROOT), transfer.next());
        assertThrows(IllegalStateException.class, transfer::table);
    }

    @Test
    void collidingHashesComeOver() {
        for (KeyHashing hashing : List.of(TestTables.collidingAfter(0), TestTables.differingInLastDigit())) {
            Table empty = Table.empty(hashing);
            Table target = empty.apply(TestTables.caps(0, Piece.ENTRIES_MOST + 500, 7));
            TableTransfer transfer = new TableTransfer(empty, target.root());
            complete(transfer, target);
            assertEquals(target, transfer.table());
        }
    }

    @Test
    void aRootThatCannotBeOneIsUnknown() {
        for (String root : List.of("", "mixed", "g".repeat(64))) {
            FleetException thrown =
                    assertThrows(FleetException.class, () -> new TableTransfer(Table.EMPTY, new Digest(root)));
            assertEquals(new Fault.UnknownRoot(root), thrown.fault());
        }
    }

    @Test
    void aPathIsMadeOfAtMostAsManyDigitsAsAHashHas() {
        assertEquals(64, new Path("0".repeat(64)).depth());
        for (String digits : List.of("g", "A", " ", "0".repeat(65))) {
            FleetException thrown = assertThrows(FleetException.class, () -> new Path(digits));
            assertTrue(thrown.fault() instanceof Fault.EntryFaulty);
        }
    }

    @Test
    void aPieceOfAPathWithoutEntriesIsEmpty() {
        byte[] emptyChunk = Table.EMPTY.piece(Path.ROOT);
        assertArrayEquals(emptyChunk, LARGE_TABLE.piece(new Path("0".repeat(64))));
    }

    private static void assertEveryDamageIsFound(TableTransfer transfer, Table target) {
        Path path = transfer.next().orElseThrow();
        byte[] chunk = target.piece(path);
        for (int i = 0; i < chunk.length; i++) {
            for (int flipped : new int[] {1, 0x80, 0xFF}) {
                byte[] damaged = chunk.clone();
                damaged[i] ^= (byte) flipped;
                assertMismatch(transfer, path, damaged);
            }
            assertMismatch(transfer, path, Arrays.copyOf(chunk, i));
        }
        assertMismatch(transfer, path, Arrays.copyOf(chunk, chunk.length + 1));
        assertEquals(Optional.of(path), transfer.next());
        complete(transfer, target);
        assertEquals(target, transfer.table());
    }

    private static void assertMismatch(TableTransfer transfer, Path path, byte[] chunk) {
        FleetException thrown = assertThrows(FleetException.class, () -> transfer.take(path, chunk));
        assertTrue(
                thrown.fault() instanceof Fault.DigestMismatch, thrown.fault().toString());
        assertTrue(transfer.next().isPresent());
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
        while (transfer.next().isPresent()) {
            Path path = transfer.next().get();
            assertFalse(requested.contains(path), "requested twice: " + path);
            requested.add(path);
            transfer.take(path, target.piece(path));
        }
    }
}
