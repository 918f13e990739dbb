package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A read buffer over one file, for reading frames sequentially. Not thread-safe. */
final class FrameBuffer {
    private static final int MIN_BUFFER_BYTES = 1 << 18;

    private final Disk.Handle file;
    private byte[] buffer = new byte[MIN_BUFFER_BYTES];
    private long bufferOffset;
    private int filledBytes;
    /** The failure of the last read from the file, null if it succeeded. */
    IOException failure;

    /** @param file the file, or null for a missing copy, which is treated as an empty file */
    FrameBuffer(Disk.Handle file) {
        this.file = file;
    }

    byte[] buffer() {
        return buffer;
    }

    /** The index in the buffer of the bytes at an offset, or -1 if the file has fewer bytes there or cannot be read. */
    int load(long offset, int length) {
        if (offset >= bufferOffset && offset + length <= bufferOffset + filledBytes) {
            return (int) (offset - bufferOffset);
        }
        if (file == null) {
            return -1;
        }
        try {
            failure = null;
            if (length > buffer.length) {
                buffer = new byte[(int) Format.align(length, MIN_BUFFER_BYTES)];
            }
            filledBytes = 0;
            bufferOffset = offset;
            filledBytes = file.readFully(offset, ByteBuffer.wrap(buffer));
            return filledBytes < length ? -1 : 0;
        } catch (IOException e) {
            failure = e;
            return -1;
        }
    }

    /** Discards the buffer, because the file has changed. */
    void invalidate() {
        filledBytes = 0;
    }

    /**
     * The index in the buffer of an intact frame that was written at this offset of the segment, or -1 if there is none.
     *
     * @param number the frame's number, or a negative number to accept any
     * @param verifyChecksum whether to verify the checksum; false in drills only
     */
    int loadFrame(long offset, long number, long storeId, int segment, boolean verifyChecksum) {
        byte kind = offset == 0 ? Format.HEAD_FRAME : Format.DATA_FRAME;
        int at = load(offset, Format.FRAME_HEADER_BYTES);
        int content = at < 0 ? -1 : Format.contentLength(buffer, at, kind);
        if (content < 0 || number >= 0 && Format.frameNumber(buffer, at) != number) {
            return -1;
        }
        at = load(offset, Format.FRAME_HEADER_BYTES + content);
        return at >= 0 && (!verifyChecksum || Format.checksumMatches(buffer, at, storeId, segment, offset)) ? at : -1;
    }
}
