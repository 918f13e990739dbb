package tallyweir.results;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;

/** Results made smaller for the disk by Zstandard (RFC 8878), where it pays. */
final class ResultCompression {
    private static final int LEVEL = 3;
    private static final int LEAST = 128; // bytes; a shorter result has a frame's head to win back first
    private static final double GAIN = 0.125; // share that must be saved
    private static final int LONGEST = 16 << 20; // the longest value that the store takes

    private ResultCompression() {}

    /** The bytes made smaller; null where that does not pay. */
    static byte[] compress(byte[] bytes) {
        if (bytes.length < LEAST) {
            return null;
        }
        byte[] small = Zstd.compress(bytes, LEVEL);
        return small.length <= bytes.length * (1 - GAIN) ? small : null;
    }

    /** The bytes as they were; null where they cannot have been that many, or are no frame of Zstandard. */
    static byte[] decompress(byte[] small, int length) {
        if (length < 0 || length > LONGEST) {
            return null;
        }
        byte[] whole = new byte[length];
        try {
            long got = Zstd.decompressByteArray(whole, 0, length, small, 0, small.length);
            return got == length ? whole : null;
        } catch (ZstdException e) {
            return null;
        }
    }
}
