package tallyweir.fleet.table;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;

/** Round trips of the entry encoding, and rejection of every byte sequence that is not the encoding of a value. */
class EntryCodecTest {
    private static final Key STORE = new Key(Kind.STORE, "10.0.0.1:7000 alpha,beta");
    private static final List<Entry> ENTRIES = List.of(
            new Entry(STORE, new Value.Weight(1)),
            new Entry(new Key(Kind.STORE, "10.0.0.2:7000"), new Value.Weight(1000)),
            new Entry(new Key(Kind.ANNOUNCE, ""), new Value.Address("10.0.0.3", 65_535)),
            new Entry(new Key(Kind.KERNEL, "server-1"), new Value.Address("::1", 1)),
            new Entry(new Key(Kind.CAP, "tenant-\u00e9\u4e2d\ud83d\ude00"), new Value.Cap(0)),
            new Entry(new Key(Kind.CAP, "a".repeat(255)), new Value.Cap(1 << 24)),
            new Entry(new Key(Kind.STAND_BACK, "server-2"), new Value.Present()));

    @Test
    void entriesRoundTrip() {
        assertEquals(ENTRIES, EntryCodec.entries(EntryCodec.entries(ENTRIES)));
        assertEquals(List.of(), EntryCodec.entries(EntryCodec.entries(List.of())));
    }

    @Property(tries = 200, seed = "21")
    void changesRoundTrip(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Change> changes = new ArrayList<>();
        for (int i = random.nextInt(50); i > 0; i--) {
            Key key = TestTables.randomKey(random, 50);
            changes.add(new Change(key, randomOptionalValue(random, key), randomOptionalValue(random, key)));
        }
        assertEquals(changes, EntryCodec.changes(EntryCodec.changes(changes)));
    }

    /** Damaged bytes must either be rejected or be the only valid encoding of what is decoded from them. */
    @Property(tries = 300, seed = "22")
    void damagedBytesAreRejectedOrEncodeAnotherValue(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] entries = EntryCodec.entries(ENTRIES);
        byte[] changes =
                EntryCodec.changes(List.of(changeOfStore(), changeOfStore().inverse()));
        entries[random.nextInt(entries.length)] = (byte) random.nextInt(256);
        changes[random.nextInt(changes.length)] = (byte) random.nextInt(256);
        try {
            assertArrayEquals(entries, EntryCodec.entries(EntryCodec.entries(entries)));
            assertArrayEquals(changes, EntryCodec.changes(EntryCodec.changes(changes)));
        } catch (FleetException e) {
            assertTrue(e.fault() instanceof Fault.EntryFaulty);
        }
    }

    @Test
    void truncatedOrExtendedBytesAreRejected() {
        byte[] entries = EntryCodec.entries(ENTRIES);
        byte[] changes = EntryCodec.changes(List.of(changeOfStore()));
        for (int length = 0; length < entries.length; length++) {
            byte[] truncated = Arrays.copyOf(entries, length);
            assertRejected(() -> EntryCodec.entries(truncated));
        }
        for (int length = 0; length < changes.length; length++) {
            byte[] truncated = Arrays.copyOf(changes, length);
            assertRejected(() -> EntryCodec.changes(truncated));
        }
        assertRejected(() -> EntryCodec.entries(Arrays.copyOf(entries, entries.length + 1)));
        assertRejected(() -> EntryCodec.changes(Arrays.copyOf(changes, changes.length + 1)));
    }

    @Test
    void unknownKindsAreRejected() {
        for (int code : new int[] {0, 6, 127, 255}) {
            assertEntryRejected(code, 1, 'a', 1);
        }
    }

    @Test
    void valuesOutOfRangeAreRejected() {
        assertRejected(() -> new Value.Weight(0));
        assertRejected(() -> new Value.Weight(1001));
        assertRejected(() -> new Value.Cap(-1));
        assertRejected(() -> new Value.Cap((1 << 24) + 1));
        assertRejected(() -> new Value.Address("10.0.0.1", 0));
        assertRejected(() -> new Value.Address("10.0.0.1", 65_536));
        assertRejected(() -> new Value.Address("a".repeat(256), 1));
        assertEntryRejected(Kind.STORE.code(), 1, 'a', 0);
        assertEntryRejected(Kind.STORE.code(), 1, 'a', 0xE9, 0x07);
        assertEntryRejected(Kind.CAP.code(), 1, 'a', 0x81, 0x80, 0x80, 0x08);
        assertEntryRejected(Kind.KERNEL.code(), 1, 'a', 1, 'h', 0);
        assertEntryRejected(Kind.KERNEL.code(), 1, 'a', 1, 'h', 0x80, 0x80, 0x04);
    }

    @Test
    void numbersHaveExactlyOneEncoding() {
        assertEntryRejected(Kind.CAP.code(), 1, 'a', 0x81, 0x00);
        assertEntryRejected(Kind.CAP.code(), 1, 'a', 0xFF, 0xFF, 0xFF, 0xFF, 0x0F);
        assertEntryRejected(Kind.CAP.code(), 1, 'a', 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0x01);
        assertEntryRejected(Kind.CAP.code(), 0xFF, 0xFF, 0xFF, 0xFF, 0x07, 'a', 1);
    }

    @Test
    void namesThatAreTooLongOrNotUtf8AreRejected() {
        assertRejected(() -> new Key(Kind.CAP, "a".repeat(256)));
        assertRejected(() -> new Key(Kind.CAP, "\u00e9".repeat(128)));
        assertRejected(() -> new Key(Kind.CAP, "\ud800"));
        assertEntryRejected(Kind.CAP.code(), 1, 0xFF, 1);
        assertEntryRejected(Kind.CAP.code(), 2, 0xC0, 0x80, 1);
        byte[] oversized = new byte[262];
        Arrays.fill(oversized, (byte) 'a');
        oversized[0] = 1;
        oversized[1] = (byte) Kind.CAP.code();
        oversized[2] = (byte) 0x80;
        oversized[3] = 2;
        assertRejected(() -> EntryCodec.entries(oversized));
    }

    @Test
    void countsAboveTheRemainingBytesAreRejected() {
        assertRejected(() -> EntryCodec.entries(new byte[] {(byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 0x07}));
        assertRejected(() -> EntryCodec.changes(new byte[] {5}));
    }

    @Test
    void unknownPresenceFlagsAreRejected() {
        byte[] changes = EntryCodec.changes(List.of(TestTables.remove(new Key(Kind.CAP, "a"))));
        changes[changes.length - 1] = 4;
        assertRejected(() -> EntryCodec.changes(changes));
    }

    @Test
    void valuesOfAnotherKindAreRejected() {
        assertRejected(() -> new Entry(STORE, new Value.Cap(1)));
        assertRejected(() -> new Change(STORE, Optional.of(new Value.Present()), Optional.empty()));
        assertRejected(() -> new Change(STORE, Optional.empty(), Optional.of(new Value.Address("h", 1))));
    }

    private static Change changeOfStore() {
        return new Change(STORE, Optional.of(new Value.Weight(3)), Optional.empty());
    }

    private static Optional<Value> randomOptionalValue(SplittableRandom random, Key key) {
        return random.nextBoolean() ? Optional.of(TestTables.randomValue(random, key.kind())) : Optional.empty();
    }

    /** Decodes a list of one entry, which the bytes encode up to the one mistake under test. */
    private static void assertEntryRejected(int... bytes) {
        byte[] encoded = new byte[bytes.length + 1];
        encoded[0] = 1;
        for (int i = 0; i < bytes.length; i++) {
            encoded[i + 1] = (byte) bytes[i];
        }
        assertRejected(() -> EntryCodec.entries(encoded));
    }

    private static void assertRejected(Executable code) {
        FleetException thrown = assertThrows(FleetException.class, code);
        assertTrue(thrown.fault() instanceof Fault.EntryFaulty, thrown.fault().toString());
    }
}
