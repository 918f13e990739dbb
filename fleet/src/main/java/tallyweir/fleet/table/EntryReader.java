package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Reads what {@link EntryWriter} has written. Each value has one encoding only; whatever is not one throws
 * {@link tallyweir.fleet.Fault.EntryFaulty}.
 */
final class EntryReader {
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MORE = 1 << VARINT_BITS;
    private static final int VARINT_SHIFT_MOST = 28;
    private static final int VARINT_LAST_BYTE_MOST = 7;

    private final byte[] bytes;
    private int position;

    EntryReader(byte[] bytes) {
        this.bytes = bytes;
    }

    int position() {
        return position;
    }

    int remaining() {
        return bytes.length - position;
    }

    boolean atEnd() {
        return position == bytes.length;
    }

    Key key() {
        Kind kind = kind();
        return new Key(kind, text(Key.NAME_BYTES_MOST));
    }

    Value value(Kind kind) {
        return switch (kind) {
            case STORE -> new Value.Weight(varint());
            case CAP -> new Value.Cap(varint());
            case ANNOUNCE, KERNEL -> new Value.Address(text(Limits.HOST_BYTES_MOST), varint());
            case STAND_BACK -> new Value.Present();
        };
    }

    Entry entry() {
        Key key = key();
        return new Entry(key, value(key.kind()));
    }

    Change change() {
        Key key = key();
        int presence = next();
        if (presence > (EntryWriter.HAS_BEFORE | EntryWriter.HAS_AFTER)) {
            throw faulty("its change has unknown parts");
        }
        Optional<Value> before = value(key, (presence & EntryWriter.HAS_BEFORE) != 0);
        Optional<Value> after = value(key, (presence & EntryWriter.HAS_AFTER) != 0);
        return new Change(key, before, after);
    }

    /** How many items follow; each takes at least a byte. */
    int count() {
        int count = varint();
        if (count > remaining()) {
            throw faulty("more are announced than there are bytes");
        }
        return count;
    }

    /** Goes past some bytes. */
    void skip(int length) {
        need(length);
        position += length;
    }

    /** Goes past a key. */
    Kind skipKey() {
        Kind kind = kind();
        skipText();
        return kind;
    }

    /** Goes past a value. */
    void skipValue(Kind kind) {
        switch (kind) {
            case STORE, CAP -> varint();
            case ANNOUNCE, KERNEL -> {
                skipText();
                varint();
            }
            case STAND_BACK -> {
                // it has no bytes
            }
        }
    }

    /** Turns down bytes that are left over. */
    void end() {
        if (!atEnd()) {
            throw faulty(remaining() + " bytes are left over");
        }
    }

    private Optional<Value> value(Key key, boolean present) {
        return present ? Optional.of(value(key.kind())) : Optional.empty();
    }

    private Kind kind() {
        int code = next();
        return Kind.of(code).orElseThrow(() -> faulty("its kind " + code + " is unknown"));
    }

    private int varint() {
        int number = 0;
        int shift = 0;
        int read = next();
        while (read >= VARINT_MORE) {
            number |= (read - VARINT_MORE) << shift;
            shift += VARINT_BITS;
            read = next();
            boolean tooLarge = shift == VARINT_SHIFT_MOST && read > VARINT_LAST_BYTE_MOST;
            if (read == 0 || tooLarge) {
                throw faulty("a number in it is not encoded as it should be");
            }
        }
        return number | read << shift;
    }

    private void skipText() {
        skip(varint());
    }

    private String text(int bytesMost) {
        int length = varint();
        if (length > bytesMost) {
            throw faulty("a text in it has " + length + " bytes, " + bytesMost + " are allowed");
        }
        int from = position;
        skip(length);
        return isAscii(from, length)
                ? new String(bytes, from, length, StandardCharsets.US_ASCII)
                : decoded(from, length);
    }

    private boolean isAscii(int from, int length) {
        for (int i = from; i < from + length; i++) {
            if (bytes[i] < 0) {
                return false;
            }
        }
        return true;
    }

    private String decoded(int from, int length) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes, from, length))
                    .toString();
        } catch (CharacterCodingException e) {
            throw faulty("a text in it is not UTF-8");
        }
    }

    private int next() {
        need(1);
        int read = Byte.toUnsignedInt(bytes[position]);
        position++;
        return read;
    }

    private void need(int length) {
        if (length > remaining()) {
            throw faulty("it is cut short");
        }
    }

    private RuntimeException faulty(String why) {
        return Limits.faulty("before byte " + position, why);
    }
}
