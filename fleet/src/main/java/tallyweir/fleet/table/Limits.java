package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import tallyweir.fleet.Fault;

/** Bounds of keys and values. The checks throw {@link Fault.EntryFaulty} for whatever is out of bounds. */
final class Limits {
    static final int WEIGHT_LEAST = 1;
    static final int WEIGHT_MOST = 1000;
    static final int PORT_LEAST = 1;
    static final int PORT_MOST = 65_535;
    static final int CONNECTIONS_MOST = 1 << 24;
    static final int HOST_BYTES_MOST = 255;

    private static final int ASCII_END = 0x80;

    private Limits() {}

    /** Checks that a number is within bounds, both inclusive. */
    static void range(String field, int value, int min, int max) {
        if (value < min || value > max) {
            throw faulty("of " + field + " " + value, "a " + field + " must be from " + min + " to " + max);
        }
    }

    /** Checks that a text can be encoded in UTF-8 and that its encoding is at most so many bytes long. */
    static void text(String field, String text, int maxBytes) {
        if (text.length() > maxBytes || encodedLength(field, text) > maxBytes) {
            throw faulty("of " + field + " " + text, "a " + field + " must have at most " + maxBytes + " bytes");
        }
    }

    /** Checks that the type of a value matches the kind of its key. */
    static void valueFits(Key key, Value value) {
        if (!key.kind().valueType().isInstance(value)) {
            throw faulty(
                    key.toString(),
                    value + " is not a " + key.kind().valueType().getSimpleName());
        }
    }

    /** The exception to throw for an invalid entry. */
    static RuntimeException faulty(String key, String reason) {
        return new Fault.EntryFaulty(key, reason).thrown();
    }

    private static int encodedLength(String field, String text) {
        if (isAscii(text)) {
            return text.length();
        }
        try {
            ByteBuffer encoded = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            return encoded.remaining();
        } catch (CharacterCodingException e) {
            throw faulty("of " + field + " " + text, "it cannot be encoded in UTF-8");
        }
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= ASCII_END) {
                return false;
            }
        }
        return true;
    }
}
