package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A piece of one file in memory, for reading frames one after the other. */
final class Window {
    private static final int LEAST = 1 << 18;

    private final Disk.Handle file;
    private byte[] buffer = new byte[LEAST];
    private long start;
    private int have;
    /** Why the file could not be read at the last call, null if it could. */
    IOException failed;

    /** @param file null for a copy that is not there: then there are no bytes anywhere */
    Window(Disk.Handle file) {
        this.file = file;
    }

    byte[] buffer() {
        return buffer;
    }

    /** The index in the buffer of the bytes at a place, -1 where the file has fewer or cannot be read. */
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

    /** What was read is no longer what the file holds. */
    void forget() {
        have = 0;
    }

    /** The index of a whole frame that was written for this place under this number, -1 if there is none. */
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
