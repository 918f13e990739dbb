package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A read buffer over one file, for reading frames sequentially. Not thread-safe. */
final class Window {
    private static final int LEAST = 1 << 18;

    private final Disk.Handle file;
    private byte[] buffer = new byte[LEAST];
    private long start;
    private int have;
    /** The failure of the last read from the file, null if it succeeded. */
    IOException failed;

    /** @param file the file, or null for a missing copy, which is treated as an empty file */
    Window(Disk.Handle file) {
        this.file = file;
    }

    byte[] buffer() {
        return buffer;
    }

    /** The index in the buffer of the bytes at an offset, or -1 if the file has fewer bytes there or cannot be read. */
    int bytes(long place, int length) {
        if (place >= start && place + length <= start + have) {
            return (int) (place - start);
        }
        if (file == null) {
            return -1;
        }
        try {
            failed = null;
            if (length > buffer.length) {
                buffer = new byte[(int) Format.align(length, LEAST)];
            }
            have = 0;
            start = place;
            have = file.readFully(place, ByteBuffer.wrap(buffer));
            return have < length ? -1 : 0;
        } catch (IOException e) {
            failed = e;
            return -1;
        }
    }

    /** Discards the buffer, because the file has changed. */
    void forget() {
        have = 0;
    }

    /**
     * The index in the buffer of an intact frame that was written at this offset of the segment, or -1 if there is none.
     *
     * @param number the frame's number, or a negative number to accept any
     * @param checked whether to verify the checksum; false in drills only
     */
    int frame(long place, long number, long storeId, int segment, boolean checked) {
        byte kind = place == 0 ? Format.HEAD : Format.DATA;
        int at = bytes(place, Format.FRAME);
        int content = at < 0 ? -1 : Format.contentLength(buffer, at, kind);
        if (content < 0 || number >= 0 && Format.number(buffer, at) != number) {
            return -1;
        }
        at = bytes(place, Format.FRAME + content);
        return at >= 0 && (!checked || Format.matches(buffer, at, storeId, segment, place)) ? at : -1;
    }
}
