package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Decodes what {@link EntryWriter} encodes. Each value has exactly one valid encoding; all methods throw
 * {@link tallyweir.fleet.Fault.EntryFaulty} for any other bytes.
 */
final class EntryReader {
    private static final int VARINT_BITS = 7;
    private static final int VARINT_CONTINUATION = 1 << VARINT_BITS;
    private static final int MAX_VARINT_SHIFT = 28;
    private static final int MAX_LAST_VARINT_BYTE = 7;

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
        return new Key(kind, text(Key.MAX_NAME_BYTES));
    }

    Value value(Kind kind) {
        return switch (kind) {
            case STORE -> new Value.Weight(varint());
            case CAP -> new Value.Cap(varint());
            case ANNOUNCE, KERNEL -> new Value.Address(text(Limits.MAX_HOST_BYTES), varint());
            case STAND_BACK -> new Value.Present();
        };
    }

    Entry entry() {
        Key key = key();
        return new Entry(key, value(key.kind()));
    }

    Change change() {
        Key key = key();
        int presence = readByte();
        if (presence > (EntryWriter.HAS_BEFORE | EntryWriter.HAS_AFTER)) {
            throw entryFault("its change has unknown presence flags");
        }
        Optional<Value> before = value(key, (presence & EntryWriter.HAS_BEFORE) != 0);
        Optional<Value> after = value(key, (presence & EntryWriter.HAS_AFTER) != 0);
        return new Change(key, before, after);
    }

    /** Reads the number of items that follow. Each item takes at least one byte, which bounds a corrupt count. */
    int count() {
        int count = varint();
        if (count > remaining()) {
            throw entryFault("its item count exceeds the remaining bytes");
        }
        return count;
    }

    /** Skips bytes. */
    void skip(int length) {
        requireRemaining(length);
        position += length;
    }

    /** Skips a key and returns its kind. */
    Kind skipKey() {
        Kind kind = kind();
        skipText();
        return kind;
    }

    /** Skips a value of a kind. */
    void skipValue(Kind kind) {
        switch (kind) {
            case STORE, CAP -> varint();
            case ANNOUNCE, KERNEL -> {
                skipText();
                varint();
            }
            case STAND_BACK -> {
                // its value is encoded in no bytes
            }
        }
    }

    /** Checks that all bytes have been read. */
    void requireEnd() {
        if (!atEnd()) {
            throw entryFault(remaining() + " bytes follow its end");
        }
    }

    private Optional<Value> value(Key key, boolean present) {
        return present ? Optional.of(value(key.kind())) : Optional.empty();
    }

    private Kind kind() {
        int code = readByte();
        return Kind.of(code).orElseThrow(() -> entryFault("its kind " + code + " is unknown"));
    }

    private int varint() {
        int number = 0;
        int shift = 0;
        int read = readByte();
        while (read >= VARINT_CONTINUATION) {
            number |= (read - VARINT_CONTINUATION) << shift;
            shift += VARINT_BITS;
            read = readByte();
            boolean tooLarge = shift == MAX_VARINT_SHIFT && read > MAX_LAST_VARINT_BYTE;
            if (read == 0 || tooLarge) {
                throw entryFault("a number in it has an invalid varint encoding");
            }
        }
        return number | read << shift;
    }

    private void skipText() {
        skip(varint());
    }

    private String text(int maxBytes) {
        int length = varint();
        if (length > maxBytes) {
            throw entryFault("a text in it has " + length + " bytes, at most " + maxBytes + " are allowed");
        }
        int from = position;
        skip(length);
        return isAscii(from, length)
                ? new String(bytes, from, length, StandardCharsets.US_ASCII)
                : decodeUtf8(from, length);
    }

    private boolean isAscii(int from, int length) {
        for (int i = from; i < from + length; i++) {
            if (bytes[i] < 0) {
                return false;
            }
        }
        return true;
    }

    private String decodeUtf8(int from, int length) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes, from, length))
                    .toString();
        } catch (CharacterCodingException e) {
            throw entryFault("a text in it is not valid UTF-8");
        }
    }

    private int readByte() {
        requireRemaining(1);
        int read = Byte.toUnsignedInt(bytes[position]);
        position++;
        return read;
    }

    private void requireRemaining(int length) {
        if (length > remaining()) {
            throw entryFault("it is truncated");
        }
    }

    private RuntimeException entryFault(String reason) {
        return Limits.entryFault("before byte " + position, reason);
    }
}
