package tallyweir.fastcgi;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Bytes that are put together up to a limit; past it they are passed over. */
final class Bytes {
    private static final byte[] NONE = {};
    private final int most;
    private byte[] bytes = NONE;
    private int length;

    Bytes(int most) {
        this.most = most;
    }

    /** Takes so many bytes off the buffer; false if they do not fit. */
    boolean add(ByteBuffer in, int take) {
        if (length + take > most) {
            in.position(in.position() + take);
            return false;
        }
        if (length + take > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(most, Math.max(length + take, 2 * bytes.length)));
        }
        in.get(bytes, length, take);
        length += take;
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
