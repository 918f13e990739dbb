package tallyweir.durable;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The byte format of the log. A segment file is a sequence of frames, each aligned to the sector so that no two writes share
 * a sector. A frame is a header of 24 bytes (magic, kind, length, checksum, number) and its content. The checksum (CRC-32C)
 * also covers the store's id, the segment and the offset, so that a frame of another store, file or offset is not accepted.
 * The first frame of a file is the segment's head; every other is one group of commits: a sequence of records, each a header
 * of 29 bytes, key and value, with a checksum of its own so that it can be read alone. All numbers are big-endian.
 */
final class Format {
    /** Version of the file format. Files of a higher version are refused, those of a lower one are read. */
    static final int VERSION = 1;

    static final int MAGIC = 0x54574431;
    static final byte HEAD_FRAME = 1;
    static final byte DATA_FRAME = 2;
    static final int FRAME_HEADER_BYTES = 24;
    static final byte PUT = 1;
    static final byte DELETE = 2;
    /** Record type that drops the segment whose number is the key. */
    static final byte DROP_SEGMENT = 3;

    static final int RECORD_HEADER_BYTES = 29;
    static final int MAX_KEY_BYTES = 1_024;
    static final int MAX_VALUE_BYTES = 16 << 20;
    static final int MAX_BATCH_BYTES = 24 << 20;
    static final int MAX_GROUP_BYTES = 1 << 20;
    static final int MAX_FRAME_BYTES = MAX_BATCH_BYTES + MAX_GROUP_BYTES + (1 << 20);
    static final String SEGMENT_SUFFIX = ".seg";

    private Format() {}

    static String segmentFileName(int segment) {
        return String.format("%010d%s", segment, SEGMENT_SUFFIX);
    }

    /** The number of the segment with a file name, or -1 if the name is not that of a segment. */
    static int segmentNumber(String name) {
        return name.matches("[0-9]{10}\\.seg")
                ? (int) Math.min(Integer.MAX_VALUE, Long.parseLong(name.substring(0, 10)))
                : -1;
    }

    static long align(long at, int sector) {
        return (at + sector - 1) / sector * sector;
    }

    static int checksum(byte[] from, int at, int length) {
        CRC32C crc = new CRC32C();
        crc.update(from, at, length);
        return (int) crc.getValue();
    }

    /** The checksum of the frame that begins at an index, leaving out the checksum field itself. */
    private static int frameChecksum(long storeId, int segment, long offset, byte[] b, int at, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(20)
                .putLong(storeId)
                .putInt(segment)
                .putLong(offset)
                .flip());
        crc.update(b, at, 12);
        crc.update(b, at + 16, 8 + length);
        return (int) crc.getValue();
    }

    /** Writes the header for a content of the given length. The checksum of a head does not cover the store id. */
    static void writeFrameHeader(
            byte[] b, int at, byte kind, int length, long number, long storeId, int segment, long offset) {
        ByteBuffer.wrap(b, at, FRAME_HEADER_BYTES)
                .putInt(MAGIC)
                .putInt(kind << 24)
                .putInt(length)
                .putInt(0)
                .putLong(number);
        int sum = frameChecksum(kind == HEAD_FRAME ? 0 : storeId, segment, offset, b, at, length);
        ByteBuffer.wrap(b).putInt(at + 12, sum);
    }

    /** The content length in the header at an index, or -1 if there is no header of that kind. */
    static int contentLength(byte[] b, int at, byte kind) {
        ByteBuffer in = ByteBuffer.wrap(b);
        int length = in.getInt(at + 8);
        return in.getInt(at) == MAGIC && in.getInt(at + 4) == kind << 24 && length <= MAX_FRAME_BYTES ? length : -1;
    }

    /** Whether the checksum in the header at an index matches this frame at this offset of the segment. */
    static boolean checksumMatches(byte[] b, int at, long storeId, int segment, long offset) {
        ByteBuffer in = ByteBuffer.wrap(b);
        boolean head = b[at + 4] == HEAD_FRAME;
        return in.getInt(at + 12) == frameChecksum(head ? 0 : storeId, segment, offset, b, at, in.getInt(at + 8));
    }

    static long frameNumber(byte[] b, int at) {
        return ByteBuffer.wrap(b).getLong(at + 16);
    }

    /** Writes a record at an index and returns the index after it. */
    static int writeRecord(
            byte[] b, int at, byte type, int namespace, long stamp, long expiresAt, byte[] key, byte[] value) {
        int length = value == null ? 0 : value.length;
        ByteBuffer out = ByteBuffer.wrap(b);
        out.position(at + 4);
        out.put(type)
                .putShort((short) namespace)
                .putShort((short) key.length)
                .putInt(length)
                .putLong(stamp)
                .putLong(expiresAt)
                .put(key);
        if (length > 0) {
            out.put(value);
        }
        int end = out.position();
        out.putInt(at, checksum(b, at + 4, end - at - 4));
        return end;
    }

    /** A view of one record within a buffer; key and value are copied only when requested. */
    record RecordView(byte[] buffer, int index) {
        byte type() {
            return buffer[index + 4];
        }

        int namespace() {
            return ByteBuffer.wrap(buffer).getShort(index + 5) & 0xffff;
        }

        int keyLength() {
            return ByteBuffer.wrap(buffer).getShort(index + 7) & 0xffff;
        }

        int valueLength() {
            return ByteBuffer.wrap(buffer).getInt(index + 9);
        }

        long stamp() {
            return ByteBuffer.wrap(buffer).getLong(index + 13);
        }

        long expiresAt() {
            return ByteBuffer.wrap(buffer).getLong(index + 21);
        }

        byte[] key() {
            return Arrays.copyOfRange(buffer, index + RECORD_HEADER_BYTES, index + RECORD_HEADER_BYTES + keyLength());
        }

        byte[] value() {
            int from = index + RECORD_HEADER_BYTES + keyLength();
            return Arrays.copyOfRange(buffer, from, from + valueLength());
        }

        int length() {
            return RECORD_HEADER_BYTES + keyLength() + valueLength();
        }

        /** Whether a complete record begins here and ends at or before an index, and (if checked) its checksum matches. */
        boolean isIntact(int end, boolean verifyChecksum) {
            return end - index >= RECORD_HEADER_BYTES
                    && valueLength() >= 0
                    && keyLength() <= end - index - RECORD_HEADER_BYTES
                    && valueLength() <= end - index - RECORD_HEADER_BYTES - keyLength()
                    && (!verifyChecksum
                            || ByteBuffer.wrap(buffer).getInt(index) == checksum(buffer, index + 4, length() - 4));
        }
    }
}
