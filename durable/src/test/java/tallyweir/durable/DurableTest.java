package tallyweir.durable;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.durable.StoreRefusedException.Cause;

/** Tests of the store through its public interface. */
class DurableTest {
    private static final List<Namespace> SPACES = List.of(
            new Namespace("a", 1L << 30, false), new Namespace("few", 400, false), new Namespace("ring", 400, true));

    private SimDisk.Power power = new SimDisk.Power(1);
    private SimDisk first = new SimDisk(power, 512, "first");
    private SimDisk second = new SimDisk(power, 512, "second");
    private long clock = 17_000_000_000_000L;

    private Durable open(int segmentBytes) throws IOException {
        return new Durable(
                first,
                second,
                CopyExecutor.SEQUENTIAL,
                segmentBytes,
                512,
                0.5,
                0,
                SPACES,
                1,
                () -> clock,
                Runnable::run,
                Set.of());
    }

    private Durable open() throws IOException {
        return open(1 << 16);
    }

    private static byte[] b(String text) {
        return text.getBytes();
    }

    private static String text(StoredRecord f) {
        return f == null ? null : new String(f.value());
    }

    private static Cause refusal(Durable d, Batch b) {
        return assertThrows(StoreRefusedException.class, () -> d.commit(b)).reason();
    }

    private static List<String> keys(Iterator<StoredRecord> in) {
        List<String> keys = new ArrayList<>();
        in.forEachRemaining(f -> keys.add(new String(f.key())));
        return keys;
    }

    /** Runs all due upkeep, which must come to an end. */
    private static void runUpkeep(Durable d) throws IOException {
        for (int steps = 0; d.upkeep(1 << 16); steps++) {
            assertTrue(steps < 2_000, "upkeep does not terminate");
        }
    }

    @Test
    void acceptsEmptyAndMaximumSizes() throws IOException {
        byte[] longest = new byte[Format.MAX_KEY_BYTES];
        byte[] largest = new byte[Format.MAX_VALUE_BYTES];
        largest[largest.length - 1] = 7;
        try (Durable d = open()) {
            d.commit(new Batch().put("a", new byte[0], new byte[0]).put("a", longest, largest));
            assertEquals(Cause.TOO_LONG, refusal(d, new Batch().put("a", new byte[Format.MAX_KEY_BYTES + 1], b(""))));
            assertEquals(
                    Cause.TOO_LONG, refusal(d, new Batch().put("a", b("k"), new byte[Format.MAX_VALUE_BYTES + 1])));
            assertEquals(
                    Cause.TOO_LONG,
                    refusal(d, new Batch().put("a", b("k"), largest).put("a", b("l"), largest)));
            assertEquals(Cause.TOO_LONG, refusal(d, new Batch().put("other", b("k"), b("v"))));
            d.commit(new Batch());
        }
        try (Durable d = open()) {
            assertArrayEquals(new byte[0], d.get("a", new byte[0]).value());
            assertArrayEquals(largest, d.get("a", longest).value());
            assertNull(d.get("a", b("k")));
            assertNull(d.get("other", b("k")));
        }
    }

    @Test
    void namespaceAtItsBoundRefusesOrDropsItsOldest() throws IOException {
        try (Durable d = open()) {
            for (int i = 0; i < 4; i++) {
                d.commit(new Batch().put("few", b("k" + i), new byte[60]).put("ring", b("k" + i), new byte[60]));
            }
            assertEquals(
                    Cause.AT_BOUND,
                    refusal(d, new Batch().put("a", b("x"), b("y")).put("few", b("k4"), new byte[60])));
            assertNull(d.get("a", b("x")), "a refused batch was partly written");
            d.commit(new Batch().put("few", b("k0"), new byte[50]));
            d.commit(new Batch().put("ring", b("k0"), new byte[60]));
            d.commit(new Batch().put("ring", b("k4"), new byte[60]));
            assertEquals(
                    List.of("k0", "k2", "k3", "k4"),
                    keys(d.view().range("ring", new byte[0], null)),
                    "k1 is the oldest, because k0 was rewritten");
            d.commit(new Batch().delete("few", b("k1")));
            d.commit(new Batch().put("few", b("k4"), new byte[60]));
            assertEquals(Cause.AT_BOUND, refusal(d, new Batch().put("ring", b("big"), new byte[400])));
            assertEquals(2, d.figures().refusals(Cause.AT_BOUND));
        }
        try (Durable d = open()) {
            assertEquals(List.of("k0", "k2", "k3", "k4"), keys(d.view().range("ring", new byte[0], null)));
            d.commit(new Batch().put("ring", b("k5"), new byte[60]));
            assertEquals(List.of("k0", "k3", "k4", "k5"), keys(d.view().range("ring", new byte[0], null)));
        }
    }

    @Test
    void expiredRecordsFreeSpace() throws IOException {
        try (Durable d = open()) {
            d.commit(new Batch().put("few", b("k"), new byte[300], clock + 100));
            assertEquals(Cause.AT_BOUND, refusal(d, new Batch().put("few", b("l"), new byte[300])));
            clock += 20_000;
            assertNull(d.get("few", b("k")));
            d.commit(new Batch().put("few", b("l"), new byte[300]));
        }
    }

    @Test
    void clockMayStepBack() throws IOException {
        try (Durable d = open()) {
            d.commit(new Batch().put("a", b("k"), b("v"), clock + 1_000));
            d.commit(new Batch().put("a", b("l"), b("v")));
            long then = clock;
            clock += 5_000;
            d.commit(new Batch().put("a", b("m"), b("v")));
            assertNull(d.get("a", b("k")));
            clock -= 50_000;
            assertNull(d.get("a", b("k")), "an expired record is found again");
            d.commit(new Batch().put("a", b("n"), b("v")));
            assertEquals(
                    List.of("l", "m", "n"),
                    keys(d.view().writtenBetween("a", 0, 1L << 45)),
                    "not in the order of writing");
            assertEquals(List.of("m", "n"), keys(d.view().writtenBetween("a", then + 1, then + 50_000)));
        }
        try (Durable d = open()) {
            assertNull(d.get("a", b("k")), "an expired record is found again after opening");
        }
    }

    /**
     * Guards against a removed record that counts as lost: after the clock had stepped back, a reader expected a record
     * that had expired and been removed. The long drill found it in one round of a thousand.
     */
    @Test
    void removedRecordsStayExpiredWhenTheClockStepsBack() throws IOException {
        for (boolean swept : new boolean[] {true, false}) {
            first = new SimDisk(power, 512, "first");
            second = new SimDisk(power, 512, "second");
            long over = clock + 1_000;
            Durable d = open(4_096);
            d.commit(new Batch().put("a", b("k"), b("v"), over));
            d.commit(new Batch().put("a", b("l"), b("v")));
            clock = over + 700_000;
            if (swept) {
                runUpkeep(d);
            } else {
                d.compactAll();
            }
            clock = over - 500;
            assertNull(d.get("a", b("k")));
            assertTrue(d.now() >= over, "the store's time went back behind the expiry of a removed record");
            if (!swept) {
                d.abandon();
                first = first.afterCut(power, new SplittableRandom(3));
                second = second.afterCut(power, new SplittableRandom(4));
                try (Durable again = open(4_096)) {
                    assertNull(again.get("a", b("k")));
                    assertTrue(again.now() >= over, "the time of the removal was lost in a power cut");
                }
            }
        }
    }

    @Test
    void viewIsUnchangedByCompaction() throws IOException {
        try (Durable d = open(4_096)) {
            for (int i = 0; i < 40; i++) {
                d.commit(new Batch().put("a", b("k" + i), b("old" + i)));
            }
            View view = d.view();
            for (int i = 0; i < 40; i++) {
                d.commit(new Batch().put("a", b("k" + i), b("new" + i)));
            }
            d.compactAll();
            int files = first.fileNames().size();
            for (int i = 0; i < 40; i++) {
                assertEquals("old" + i, text(view.get("a", b("k" + i))));
                assertEquals("new" + i, text(d.get("a", b("k" + i))));
            }
            view.close();
            runUpkeep(d);
            assertTrue(first.fileNames().size() < files, "the files of old segments were not deleted");
        }
    }

    @Test
    void compactionFreesDeadBytes() throws IOException {
        try (Durable d = open(4_096)) {
            for (int i = 0; i < 600; i++) {
                d.commit(new Batch().put("a", b("k" + i % 7), new byte[100]));
                d.upkeep(2_048);
            }
            runUpkeep(d);
            assertTrue(first.fileNames().size() < 12, first.fileNames().size() + " files for seven keys");
            for (int i = 0; i < 7; i++) {
                assertNotNull(d.get("a", b("k" + i)));
            }
        }
    }

    /** Tombstones and segments must not accumulate when short-lived keys are written next to long-lived ones. */
    @Test
    void shortLivedKeysDoNotAccumulate() throws IOException {
        try (Durable d = open(4_096)) {
            for (int i = 0; i < 20; i++) {
                d.commit(new Batch().put("a", b("stays" + i), new byte[300]));
            }
            for (int i = 0; i < 3_000; i++) {
                d.commit(new Batch().put("a", b("goes" + i), new byte[30], i % 2 == 0 ? clock + 500 : 0));
                if (i % 2 == 1) {
                    d.commit(new Batch().delete("a", b("goes" + i)));
                }
                clock += 200;
                d.upkeep(4_096);
            }
            clock += 700_000;
            runUpkeep(d);
            assertEquals(20, d.keyCount());
            long size = (Long) d.info().get("bytes_of_each_copy");
            assertTrue(size < 80_000, size + " bytes for 20 keys");
        }
    }

    @Test
    void secondOpeningIsRefused(@TempDir Path dir) throws IOException {
        try (Durable d = open()) {
            assertEquals(
                    Cause.IN_USE,
                    assertThrows(StoreRefusedException.class, this::open).reason());
            d.commit(new Batch().put("a", b("k"), b("v")));
        }
        open().close();
        FileDisk one = new FileDisk(dir.resolve("one"));
        FileDisk other = new FileDisk(dir.resolve("other"));
        try (Durable d = new Durable(
                one,
                other,
                CopyExecutor.SEQUENTIAL,
                4_096,
                512,
                0.5,
                0,
                SPACES,
                1,
                () -> clock,
                Runnable::run,
                Set.of())) {
            assertEquals(
                    Cause.IN_USE,
                    assertThrows(
                                    StoreRefusedException.class,
                                    () -> new Durable(
                                            one,
                                            other,
                                            CopyExecutor.SEQUENTIAL,
                                            4_096,
                                            512,
                                            0.5,
                                            0,
                                            SPACES,
                                            1,
                                            () -> clock,
                                            Runnable::run,
                                            Set.of()))
                            .reason());
            d.commit(new Batch().put("a", b("k"), b("v")));
        }
    }

    @Test
    void newerFormatIsRefusedAndNotModified() throws IOException {
        try (Durable d = open()) {
            d.commit(new Batch().put("a", b("k"), b("v")));
        }
        String name = Format.segmentFileName(1);
        byte[] file = first.content(name);
        byte[] newer = file.clone();
        ByteBuffer.wrap(newer).putInt(Format.FRAME_HEADER_BYTES, Format.VERSION + 1);
        int length = ByteBuffer.wrap(newer).getInt(8);
        Format.writeFrameHeader(newer, 0, Format.HEAD_FRAME, length, Format.frameNumber(newer, 0), 0, 1, 0);
        first.addDurable(name, newer);
        second.addDurable(name, newer);
        StoreRefusedException r = assertThrows(StoreRefusedException.class, this::open);
        assertEquals(Cause.NEWER_FORMAT, r.reason());
        assertTrue(r.getMessage().contains("format " + (Format.VERSION + 1)), r.getMessage());
        assertArrayEquals(newer, first.content(name));
        first.addDurable(name, file);
        second.addDurable(name, file);
        try (Durable d = open()) {
            assertEquals("v", text(d.get("a", b("k"))));
        }
    }

    @Test
    void oneDirectoryMayBeLost() throws IOException {
        try (Durable d = open(4_096)) {
            for (int i = 0; i < 50; i++) {
                d.commit(new Batch().put("a", b("k" + i), new byte[200]));
            }
        }
        first.fileNames().forEach(first::removeDurable);
        try (Durable d = open(4_096)) {
            assertTrue(d.figures().get(StoreCounters.Counter.FILES_REMADE) > 3);
            assertEquals(50, keys(d.view().range("a", new byte[0], null)).size());
        }
        second.fileNames().forEach(second::removeDurable);
        try (Durable d = open(4_096)) {
            assertEquals(50, keys(d.view().range("a", new byte[0], null)).size());
        }
    }

    private void damage(SimDisk disk, String name, int at, int length) {
        byte[] file = disk.content(name);
        for (int i = at; i < at + length; i++) {
            file[i] ^= 0x55;
        }
        disk.addDurable(name, file);
    }

    /** Damage at the same place in both copies cannot be repaired: the loss is reported and the rest stays readable. */
    @Test
    void damageInBothCopiesIsReportedAndTheRestIsReadable() throws IOException {
        try (Durable d = open()) {
            for (int i = 0; i < 10; i++) {
                d.commit(new Batch().put("a", b("k" + i), new byte[100]));
            }
            d.abandon();
        }
        damage(first, Format.segmentFileName(1), 512 * 4 + 60, 3);
        damage(second, Format.segmentFileName(1), 512 * 4 + 90, 3);
        try (Durable d = open()) {
            assertEquals(1, d.figures().get(StoreCounters.Counter.LOST_FRAMES));
            assertEquals(9, keys(d.view().range("a", new byte[0], null)).size());
            d.commit(new Batch().put("a", b("new"), b("v")));
        }
    }

    @Test
    void damagedReadUsesTheSecondCopyAndIsRepaired(@TempDir Path dir) throws IOException {
        try (Durable d = open()) {
            for (int i = 0; i < 10; i++) {
                d.commit(new Batch().put("a", b("k" + i), b("v" + i)));
            }
        }
        try (Durable d = open()) {
            damage(first, Format.segmentFileName(1), 512 * 4 + 30, 3);
            d.abandon();
        }
        try (Durable d = open()) { // opened from the snapshot, so the damage is not noticed yet
            assertTrue(d.openedFromSnapshot());
            assertEquals(0, d.figures().get(StoreCounters.Counter.REPAIRED));
            for (int i = 0; i < 10; i++) {
                assertEquals("v" + i, text(d.get("a", b("k" + i))));
            }
            assertEquals(1, d.figures().get(StoreCounters.Counter.SECOND_READS));
            assertTrue(d.upkeep(1 << 16));
            assertEquals(1, d.figures().get(StoreCounters.Counter.REPAIRED));
            assertArrayEquals(second.content(Format.segmentFileName(1)), first.content(Format.segmentFileName(1)));
        }
    }

    @Test
    void scrubRepairsUnreadRecords() throws IOException {
        try (Durable d = open(4_096)) {
            for (int i = 0; i < 60; i++) {
                d.commit(new Batch().put("a", b("k" + i), new byte[420]));
            }
        }
        damage(second, Format.segmentFileName(2), 512 * 3 + 30, 40);
        damage(first, Format.segmentFileName(3), 10, 4);
        try (Durable d = new Durable(
                first,
                second,
                CopyExecutor.SEQUENTIAL,
                4_096,
                512,
                0.5,
                1_000,
                SPACES,
                1,
                () -> clock,
                Runnable::run,
                Set.of())) {
            clock += 2_000;
            while (d.figures().get(StoreCounters.Counter.SCRUBS) == 0) {
                assertTrue(d.upkeep(1_024), "the scrub ended early");
            }
            assertEquals(2, d.figures().get(StoreCounters.Counter.REPAIRED));
            assertArrayEquals(second.content(Format.segmentFileName(2)), first.content(Format.segmentFileName(2)));
            assertArrayEquals(second.content(Format.segmentFileName(3)), first.content(Format.segmentFileName(3)));
        }
    }

    @Test
    void fullDiskRefusesWritesAllowsReadsAndRecovers() throws IOException {
        try (Durable d = open(4_096)) {
            d.commit(new Batch().put("a", b("k"), b("v")));
            for (long room = 0; room < 4_000; room += 130) {
                power.setRemainingBytes(room);
                assertEquals(
                        Cause.NO_ROOM,
                        refusal(
                                d,
                                new Batch()
                                        .put("a", b("refused"), new byte[900])
                                        .put("a", b("k"), new byte[900])),
                        "with room for " + room);
                assertEquals("v", text(d.get("a", b("k"))));
            }
            d.abandon();
        }
        power.setRemainingBytes(Long.MAX_VALUE);
        try (Durable d = open(4_096)) {
            assertEquals("v", text(d.get("a", b("k"))), "a refused batch was found after opening");
            d.commit(new Batch().put("a", b("k"), b("w")));
        }
        try (Durable d = open(4_096)) {
            assertEquals("w", text(d.get("a", b("k"))));
        }
    }

    @Test
    void readOnlyDirectoryCanBeRead() throws IOException {
        try (Durable d = open()) {
            d.commit(new Batch().put("a", b("k"), b("v")));
        }
        power.setReadOnly(true);
        try (Durable d = open()) {
            assertEquals("v", text(d.get("a", b("k"))));
            assertEquals(Cause.NO_ROOM, refusal(d, new Batch().put("a", b("k"), b("w"))));
            power.setReadOnly(false);
            d.commit(new Batch().put("a", b("k"), b("w")));
            assertEquals("w", text(d.get("a", b("k"))));
        }
    }

    @Test
    void fencedHolderReadsButDoesNotWrite() throws IOException {
        try (Durable old = open()) {
            old.commit(new Batch().put("a", b("k"), b("v")));
            first.breakLock();
            second.breakLock();
            try (Durable d = open()) {
                assertEquals("v", text(d.get("a", b("k"))));
                assertEquals(Cause.FENCED, refusal(old, new Batch().put("a", b("k"), b("late"))));
                assertTrue(old.isFenced());
                assertFalse(old.upkeep(1 << 16), "upkeep runs on a store that was taken over");
                assertEquals("v", text(old.get("a", b("k"))));
                d.commit(new Batch().put("a", b("k"), b("w")));
                assertFalse(d.isFenced());
                assertEquals(2L, d.info().get("turn"));
            }
        }
    }

    /** A store opened while the disk was read-only may write only if no other process has written since. */
    @Test
    void fenceIsRaisedLateOnlyIfNobodyElseWrote() throws IOException {
        try (Durable old = open()) {
            old.commit(new Batch().put("a", b("k"), b("v")));
            power.setReadOnly(true);
            first.breakLock();
            second.breakLock();
            try (Durable d = open()) {
                assertEquals(1, d.figures().get(StoreCounters.Counter.TURNS_NOT_TAKEN));
                power.setReadOnly(false);
                old.commit(new Batch().put("a", b("l"), b("x")));
                assertEquals(Cause.FENCED, refusal(d, new Batch().put("a", b("k"), b("w"))));
                assertEquals(
                        Cause.FENCED,
                        refusal(d, new Batch().put("a", b("k"), b("w"))),
                        "accepted at the second attempt");
            }
        }
        try (Durable d = open()) {
            assertEquals("v", text(d.get("a", b("k"))));
            assertEquals("x", text(d.get("a", b("l"))));
        }
    }

    /** The disk reports a failed force once, and success afterwards. */
    @Test
    void failedForceIsNeverTrustedLater() throws IOException {
        try (Durable d = open()) {
            d.commit(new Batch().put("a", b("k"), b("v")));
            power.failForce(1);
            assertEquals(Cause.UNKNOWN, refusal(d, new Batch().put("a", b("k"), b("w"))));
            assertEquals("v", text(d.get("a", b("k"))));
            d.commit(new Batch().put("a", b("l"), b("x")));
            assertEquals(1, d.figures().get(StoreCounters.Counter.ABANDONED));
            d.abandon();
        }
        try (Durable d = open()) {
            assertEquals("v", text(d.get("a", b("k"))), "an unconfirmed write is found after opening");
            assertEquals("x", text(d.get("a", b("l"))));
        }
    }

    @Test
    void outdatedOrForeignSnapshotIsHarmless() throws IOException {
        try (Durable d = open(4_096)) {
            d.commit(new Batch().put("a", b("k"), b("old")));
        }
        String old = first.fileNames().stream()
                .filter(n -> n.endsWith(".idx"))
                .findFirst()
                .orElseThrow();
        byte[] oldBytes = first.content(old);
        try (Durable d = open(4_096)) {
            for (int i = 0; i < 60; i++) {
                d.commit(new Batch().put("a", b("k"), b("new" + i)).put("a", b("l" + i), b("x")));
            }
            d.compactAll();
            d.abandon();
        }
        first.fileNames().stream().filter(n -> n.endsWith(".idx")).forEach(first::removeDurable);
        first.addDurable(old, oldBytes);
        try (Durable d = open(4_096)) {
            assertEquals("new59", text(d.get("a", b("k"))));
            assertEquals(61, keys(d.view().range("a", new byte[0], null)).size());
            d.abandon();
        }
        SimDisk mine = first;
        SimDisk mineToo = second;
        first = new SimDisk(power, 512, "first");
        second = new SimDisk(power, 512, "second");
        try (Durable d = new Durable(
                first,
                second,
                CopyExecutor.SEQUENTIAL,
                4_096,
                512,
                0.5,
                0,
                SPACES,
                99,
                () -> clock,
                Runnable::run,
                Set.of())) {
            for (int i = 0; i < 300; i++) {
                d.commit(new Batch().put("a", b("k"), b("foreign")));
            }
        }
        String foreign = first.fileNames().stream()
                .filter(n -> n.endsWith(".idx"))
                .findFirst()
                .orElseThrow();
        mine.addDurable(foreign, first.content(foreign));
        first = mine;
        second = mineToo;
        try (Durable d = open(4_096)) {
            assertEquals("new59", text(d.get("a", b("k"))));
            assertFalse(d.figures().get(StoreCounters.Counter.SNAPSHOTS_DISTRUSTED) == 0);
        }
    }

    @Test
    void backupIsAStoreWithTheSameRecords(@TempDir Path dir) throws IOException {
        try (Durable d = open(4_096)) {
            for (int i = 0; i < 200; i++) {
                d.commit(new Batch()
                        .put("a", b("k" + i), b("v" + i), i % 3 == 0 ? clock + 100_000 : 0)
                        .put("ring", b("r" + i), b("v")));
                clock += 10;
            }
            List<Namespace> free = SPACES.stream()
                    .map(n -> new Namespace(n.name(), 1L << 40, false))
                    .toList();
            try (View view = d.view();
                    Durable copy = new Durable(
                            new FileDisk(dir.resolve("first")),
                            new FileDisk(dir.resolve("second")),
                            CopyExecutor.SEQUENTIAL,
                            1 << 16,
                            512,
                            0.5,
                            0,
                            free,
                            5,
                            () -> clock,
                            Runnable::run,
                            Set.of())) {
                d.commit(new Batch().put("a", b("later"), b("v")));
                long[] told = new long[1];
                long copied = Backup.copy(view, copy, n -> told[0] = n);
                assertEquals(copied, told[0]);
                assertNull(copy.get("a", b("later")), "the backup contains a later write");
                try (View there = copy.view()) {
                    for (String space : List.of("a", "ring")) {
                        Iterator<StoredRecord> is = there.writtenBetween(space, 0, 1L << 45);
                        for (Iterator<StoredRecord> was = view.writtenBetween(space, 0, 1L << 45); was.hasNext(); ) {
                            StoredRecord f = was.next();
                            StoredRecord g = is.next();
                            assertArrayEquals(f.key(), g.key());
                            assertArrayEquals(f.value(), g.value());
                            assertEquals(f.stamp(), g.stamp());
                            assertEquals(f.expiresAt(), g.expiresAt());
                        }
                        assertFalse(is.hasNext());
                    }
                }
                assertThrows(StoreRefusedException.class, () -> Backup.copy(view, copy, n -> {}));
            }
        }
    }

    @Test
    void closedStoreRefuses() throws IOException {
        Durable d = open();
        d.commit(new Batch().put("a", b("k"), b("v")));
        d.close();
        assertEquals(Cause.CLOSED, refusal(d, new Batch().put("a", b("k"), b("w"))));
        d.close();
    }
}
