package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Optional;
import tallyweir.fleet.Digest;

/** A SHA-256 value as four 64-bit words, the most significant first. */
record Hash256(long word0, long word1, long word2, long word3) implements Comparable<Hash256> {
    static final int BYTES = 32;
    static final int DIGITS = 2 * BYTES;

    private static final int BITS_PER_DIGIT = 4;
    private static final int DIGITS_PER_WORD = Long.SIZE / BITS_PER_DIGIT;
    private static final int DIGIT_MASK = (1 << BITS_PER_DIGIT) - 1;

    /** Reads 32 bytes from the buffer's position. */
    static Hash256 read(ByteBuffer from) {
        return new Hash256(from.getLong(), from.getLong(), from.getLong(), from.getLong());
    }

    /** Writes 32 bytes at the buffer's position. */
    void write(ByteBuffer to) {
        to.putLong(word0).putLong(word1).putLong(word2).putLong(word3);
    }

    /** Parses a digest of 64 hexadecimal digits; empty if it is not one. */
    static Optional<Hash256> parse(Digest digest) {
        if (digest.value().length() != DIGITS) {
            return Optional.empty();
        }
        try {
            return Optional.of(read(ByteBuffer.wrap(HexFormat.of().parseHex(digest.value()))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns this hash as 64 hexadecimal digits. */
    Digest toDigest() {
        HexFormat hex = HexFormat.of();
        return new Digest(
                hex.toHexDigits(word0) + hex.toHexDigits(word1) + hex.toHexDigits(word2) + hex.toHexDigits(word3));
    }

    /** Returns the hexadecimal digit at an index from 0, the most significant, to 63. */
    int digit(int index) {
        int shift = Long.SIZE - BITS_PER_DIGIT * (index % DIGITS_PER_WORD + 1);
        return (int) (word(index / DIGITS_PER_WORD) >>> shift) & DIGIT_MASK;
    }

    @Override
    public int compareTo(Hash256 other) {
        if (word0 != other.word0) {
            return Long.compareUnsigned(word0, other.word0);
        }
        if (word1 != other.word1) {
            return Long.compareUnsigned(word1, other.word1);
        }
        if (word2 != other.word2) {
            return Long.compareUnsigned(word2, other.word2);
        }
        return Long.compareUnsigned(word3, other.word3);
    }

    private long word(int index) {
        return switch (index) {
            case 0 -> word0;
            case 1 -> word1;
            case 2 -> word2;
            default -> word3;
        };
    }
}
