package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import tallyweir.fleet.Fault;

/** Checks of what a key or a value may hold. Each throws {@link Fault.EntryFaulty} for what it turns down. */
final class Limits {
    static final int WEIGHT_LEAST = 1;
    static final int WEIGHT_MOST = 1000;
    static final int PORT_LEAST = 1;
    static final int PORT_MOST = 65_535;
    static final int CONNECTIONS_MOST = 1 << 24;
    static final int HOST_BYTES_MOST = 255;

    private static final int ASCII_END = 0x80;

    private Limits() {}

    /** Turns down a number outside a range. */
    static void range(String what, int value, int least, int most) {
        if (value < least || value > most) {
            throw faulty("of " + what + " " + value, "a " + what + " is " + least + " to " + most);
        }
    }

    /** Turns down a text that has no UTF-8 encoding or too long a one. */
    static void text(String what, String text, int bytesMost) {
        if (text.length() > bytesMost || encodedLength(what, text) > bytesMost) {
            throw faulty("of " + what + " " + text, "a " + what + " has at most " + bytesMost + " bytes");
        }
    }

    /** Turns down a value that an entry of this key cannot have. */
    static void valueFits(Key key, Value value) {
        if (!key.kind().valueType().isInstance(value)) {
            throw faulty(
                    key.toString(),
                    value + " is not a " + key.kind().valueType().getSimpleName());
        }
    }

    static RuntimeException faulty(String key, String why) {
        return new Fault.EntryFaulty(key, why).thrown();
    }

    private static int encodedLength(String what, String text) {
        if (isAscii(text)) {
            return text.length();
        }
        try {
            ByteBuffer encoded = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            return encoded.remaining();
        } catch (CharacterCodingException e) {
            throw faulty("of " + what + " " + text, "it has no UTF-8 encoding");
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
