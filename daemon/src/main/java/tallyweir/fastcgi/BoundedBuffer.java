package tallyweir.fastcgi;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A growing buffer with a maximum size; bytes that would exceed it are skipped. */
final class BoundedBuffer {
    private static final byte[] NONE = {};
    private final int maxBytes;
    private byte[] bytes = NONE;
    private int length;

    BoundedBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Consumes the given number of bytes of the input.
     *
     * @return false if they do not fit; they are skipped then and nothing is appended
     */
    boolean append(ByteBuffer in, int count) {
        if (length + count > maxBytes) {
            in.position(in.position() + count);
            return false;
        }
        if (length + count > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(maxBytes, Math.max(length + count, 2 * bytes.length)));
        }
        in.get(bytes, length, count);
        length += count;
        return true;
    }

    byte[] copy() {
        return Arrays.copyOf(bytes, length);
    }

    void clear() {
        bytes = NONE;
        length = 0;
    }
}
