package tallyweir.results;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;

/** Compresses results for the disk with Zstandard (RFC 8878), where it saves enough. */
final class ResultCompression {
    private static final int ZSTD_LEVEL = 3;
    private static final int MIN_BYTES = 128; // a shorter result saves less than the frame header costs
    private static final double MIN_SAVED_SHARE = 0.125; // otherwise the result is stored uncompressed
    private static final int MAX_VALUE_BYTES = 16 << 20; // the longest value that the store accepts

    private ResultCompression() {}

    /** Returns the compressed bytes; null if that saves too little. */
    static byte[] compress(byte[] bytes) {
        if (bytes.length < MIN_BYTES) {
            return null;
        }
        byte[] compressed = Zstd.compress(bytes, ZSTD_LEVEL);
        return compressed.length <= bytes.length * (1 - MIN_SAVED_SHARE) ? compressed : null;
    }

    /** Returns the original bytes; null if the length is wrong or the input is not a Zstandard frame. */
    static byte[] decompress(byte[] compressed, int length) {
        if (length < 0 || length > MAX_VALUE_BYTES) {
            return null;
        }
        byte[] bytes = new byte[length];
        try {
            long decompressed = Zstd.decompressByteArray(bytes, 0, length, compressed, 0, compressed.length);
            return decompressed == length ? bytes : null;
        } catch (ZstdException e) {
            return null;
        }
    }
}
