package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Optional;
import tallyweir.fleet.Digest;

/** A SHA-256 value as four words, the first one the most significant. */
record Hash256(long first, long second, long third, long fourth) implements Comparable<Hash256> {
    static final int BYTES = 32;
    static final int DIGITS = 2 * BYTES;

    private static final int BITS_PER_DIGIT = 4;
    private static final int DIGITS_PER_WORD = Long.SIZE / BITS_PER_DIGIT;
    private static final int DIGIT_MASK = (1 << BITS_PER_DIGIT) - 1;

    /** Reads the next 32 bytes. */
    static Hash256 read(ByteBuffer from) {
        return new Hash256(from.getLong(), from.getLong(), from.getLong(), from.getLong());
    }

    /** Writes 32 bytes. */
    void write(ByteBuffer to) {
        to.putLong(first).putLong(second).putLong(third).putLong(fourth);
    }

    /** Reads a hexadecimal digest, if it is one. */
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

    /** The same in hexadecimal. */
    Digest toDigest() {
        HexFormat hex = HexFormat.of();
        return new Digest(
                hex.toHexDigits(first) + hex.toHexDigits(second) + hex.toHexDigits(third) + hex.toHexDigits(fourth));
    }

    /** The hexadecimal digit at an index, 0 being the most significant one. */
    int digit(int index) {
        int shift = Long.SIZE - BITS_PER_DIGIT * (index % DIGITS_PER_WORD + 1);
        return (int) (word(index / DIGITS_PER_WORD) >>> shift) & DIGIT_MASK;
    }

    @Override
    public int compareTo(Hash256 other) {
        for (int i = 0; i < BYTES / Long.BYTES; i++) {
            int order = Long.compareUnsigned(word(i), other.word(i));
            if (order != 0) {
                return order;
            }
        }
        return 0;
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
