package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import tallyweir.fleet.Fault;

/** Bounds of keys and values. The checks throw {@link Fault.EntryFaulty} for whatever is out of bounds. */
final class Limits {
    static final int MIN_WEIGHT = 1;
    static final int MAX_WEIGHT = 1000;
    static final int MIN_PORT = 1;
    static final int MAX_PORT = 65_535;
    static final int MAX_CONNECTIONS = 1 << 24;
    static final int MAX_HOST_BYTES = 255;

    private static final int FIRST_NON_ASCII = 0x80;

    private Limits() {}

    /** Checks that a number is within bounds, both inclusive. */
    static void checkRange(String field, int value, int min, int max) {
        if (value < min || value > max) {
            throw entryFault("of " + field + " " + value, "a " + field + " must be from " + min + " to " + max);
        }
    }

    /** Checks that a text can be encoded in UTF-8 and that its encoding is at most so many bytes long. */
    static void checkText(String field, String text, int maxBytes) {
        if (text.length() > maxBytes || encodedLength(field, text) > maxBytes) {
            throw entryFault("of " + field + " " + text, "a " + field + " must have at most " + maxBytes + " bytes");
        }
    }

    /** Checks that the type of a value matches the kind of its key. */
    static void checkValueType(Key key, Value value) {
        if (!key.kind().valueType().isInstance(value)) {
            throw entryFault(
                    key.toString(),
                    value + " is not a " + key.kind().valueType().getSimpleName());
        }
    }

    /** The exception to throw for an invalid entry. */
    static RuntimeException entryFault(String key, String reason) {
        return new Fault.EntryFaulty(key, reason).toException();
    }

    private static int encodedLength(String field, String text) {
        if (isAscii(text)) {
            return text.length();
        }
        try {
            ByteBuffer encoded = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            return encoded.remaining();
        } catch (CharacterCodingException e) {
            throw entryFault("of " + field + " " + text, "it cannot be encoded in UTF-8");
        }
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= FIRST_NON_ASCII) {
                return false;
            }
        }
        return true;
    }
}
