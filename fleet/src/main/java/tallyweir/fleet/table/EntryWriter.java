package tallyweir.fleet.table;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/** Encodes keys, values, entries and changes in the compact binary form that {@link EntryReader} decodes. */
final class EntryWriter {
    /** Flag in the presence byte of a change: its old value follows. */
    static final int HAS_BEFORE = 1;

    /** Flag in the presence byte of a change: its new value follows. */
    static final int HAS_AFTER = 2;

    private static final int VARINT_BITS = 7;
    private static final int VARINT_CONTINUATION = 1 << VARINT_BITS;

    private static final int INITIAL_CAPACITY = 32;

    private byte[] bytes = new byte[INITIAL_CAPACITY];
    private int length;

    byte[] toByteArray() {
        return Arrays.copyOf(bytes, length);
    }

    int length() {
        return length;
    }

    EntryWriter key(Key key) {
        putByte(key.kind().code());
        return text(key.name());
    }

    EntryWriter value(Value value) {
        if (value instanceof Value.Weight weight) {
            return varint(weight.weight());
        }
        if (value instanceof Value.Cap cap) {
            return varint(cap.connections());
        }
        if (value instanceof Value.Address address) {
            return text(address.host()).varint(address.port());
        }
        return this;
    }

    EntryWriter entry(Entry entry) {
        return key(entry.key()).value(entry.value());
    }

    EntryWriter change(Change change) {
        key(change.key());
        putByte(presenceFlags(change));
        change.before().ifPresent(this::value);
        change.after().ifPresent(this::value);
        return this;
    }

    /** Writes a non-negative number, seven bits per byte, the lowest bits first; the eighth bit is set if more bytes follow. */
    EntryWriter varint(int number) {
        int remaining = number;
        while (remaining >= VARINT_CONTINUATION) {
            putByte(remaining | VARINT_CONTINUATION);
            remaining >>>= VARINT_BITS;
        }
        putByte(remaining);
        return this;
    }

    private EntryWriter text(String text) {
        byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        varint(encoded.length);
        ensureCapacity(encoded.length);
        System.arraycopy(encoded, 0, bytes, length, encoded.length);
        length += encoded.length;
        return this;
    }

    private void putByte(int value) {
        ensureCapacity(1);
        bytes[length] = (byte) value;
        length++;
    }

    private void ensureCapacity(int additional) {
        if (length + additional > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + additional));
        }
    }

    private static int presenceFlags(Change change) {
        return flagIfPresent(change.before(), HAS_BEFORE) | flagIfPresent(change.after(), HAS_AFTER);
    }

    private static int flagIfPresent(Optional<Value> value, int bit) {
        return value.isPresent() ? bit : 0;
    }
}
