package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Optional;
import tallyweir.fleet.Digest;

/** A SHA-256 value as four 64-bit words, the most significant first. */
record Hash256(long first, long second, long third, long fourth) implements Comparable<Hash256> {
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
        to.putLong(first).putLong(second).putLong(third).putLong(fourth);
    }

    /** Parses a digest of 64 hexadecimal digits; empty if it is not one. */
    static Optional<Hash256> of(Digest digest) {
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
                hex.toHexDigits(first) + hex.toHexDigits(second) + hex.toHexDigits(third) + hex.toHexDigits(fourth));
    }

    /** Returns the hexadecimal digit at an index from 0, the most significant, to 63. */
    int digit(int index) {
        int shift = Long.SIZE - BITS_PER_DIGIT * (index % DIGITS_PER_WORD + 1);
        return (int) (word(index / DIGITS_PER_WORD) >>> shift) & DIGIT_MASK;
    }

    @Override
    public int compareTo(Hash256 other) {
        if (first != other.first) {
            return Long.compareUnsigned(first, other.first);
        }
        if (second != other.second) {
            return Long.compareUnsigned(second, other.second);
        }
        if (third != other.third) {
            return Long.compareUnsigned(third, other.third);
        }
        return Long.compareUnsigned(fourth, other.fourth);
    }

    private long word(int index) {
        return switch (index) {
            case 0 -> first;
            case 1 -> second;
            case 2 -> third;
            default -> fourth;
        };
    }
}
