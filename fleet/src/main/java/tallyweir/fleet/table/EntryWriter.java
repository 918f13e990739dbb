package tallyweir.fleet.table;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Writes keys, values, entries and changes in their compact encoding, which {@link EntryReader} reads. */
final class EntryWriter {
    /** Bits of a change's byte that say which values follow. */
    static final int HAS_BEFORE = 1;

    static final int HAS_AFTER = 2;

    private static final int VARINT_BITS = 7;
    private static final int VARINT_MORE = 1 << VARINT_BITS;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    byte[] toByteArray() {
        return bytes.toByteArray();
    }

    int length() {
        return bytes.size();
    }

    EntryWriter key(Key key) {
        bytes.write(key.kind().code());
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
        bytes.write(presence(change));
        change.before().ifPresent(this::value);
        change.after().ifPresent(this::value);
        return this;
    }

    /** A number that is not negative: seven bits a byte, the lowest first, the eighth bit set if more follow. */
    EntryWriter varint(int number) {
        int rest = number;
        while (rest >= VARINT_MORE) {
            bytes.write(rest | VARINT_MORE);
            rest >>>= VARINT_BITS;
        }
        bytes.write(rest);
        return this;
    }

    private EntryWriter text(String text) {
        byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        varint(encoded.length);
        bytes.writeBytes(encoded);
        return this;
    }

    private static int presence(Change change) {
        return bit(change.before(), HAS_BEFORE) | bit(change.after(), HAS_AFTER);
    }

    private static int bit(Optional<Value> value, int bit) {
        return value.isPresent() ? bit : 0;
    }
}
