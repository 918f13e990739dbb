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
    static final byte HEAD = 1;
    static final byte DATA = 2;
    static final int FRAME = 24;
    static final byte PUT = 1;
    static final byte DELETE = 2;
    /** Record type that drops the segment whose number is the key. */
    static final byte DROPPED = 3;

    static final int RECORD = 29;
    static final int KEY_MOST = 1_024;
    static final int VALUE_MOST = 16 << 20;
    static final int BATCH_MOST = 24 << 20;
    static final int GROUP_MOST = 1 << 20;
    static final int FRAME_MOST = BATCH_MOST + GROUP_MOST + (1 << 20);
    static final String SUFFIX = ".seg";

    private Format() {}

    static String name(int segment) {
        return String.format("%010d%s", segment, SUFFIX);
    }

    /** The number of the segment with a file name, or -1 if the name is not that of a segment. */
    static int segment(String name) {
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
    private static int frameChecksum(long storeId, int segment, long place, byte[] b, int at, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(20)
                .putLong(storeId)
                .putInt(segment)
                .putLong(place)
                .flip());
        crc.update(b, at, 12);
        crc.update(b, at + 16, 8 + length);
        return (int) crc.getValue();
    }

    /** Writes the header for a content of the given length. The checksum of a head does not cover the store id. */
    static void seal(byte[] b, int at, byte kind, int length, long number, long storeId, int segment, long place) {
        ByteBuffer.wrap(b, at, FRAME)
                .putInt(MAGIC)
                .putInt(kind << 24)
                .putInt(length)
                .putInt(0)
                .putLong(number);
        int sum = frameChecksum(kind == HEAD ? 0 : storeId, segment, place, b, at, length);
        ByteBuffer.wrap(b).putInt(at + 12, sum);
    }

    /** The content length in the header at an index, or -1 if there is no header of that kind. */
    static int contentLength(byte[] b, int at, byte kind) {
        ByteBuffer in = ByteBuffer.wrap(b);
        int length = in.getInt(at + 8);
        return in.getInt(at) == MAGIC && in.getInt(at + 4) == kind << 24 && length <= FRAME_MOST ? length : -1;
    }

    /** Whether the checksum in the header at an index matches this frame at this offset of the segment. */
    static boolean matches(byte[] b, int at, long storeId, int segment, long place) {
        ByteBuffer in = ByteBuffer.wrap(b);
        boolean head = b[at + 4] == HEAD;
        return in.getInt(at + 12) == frameChecksum(head ? 0 : storeId, segment, place, b, at, in.getInt(at + 8));
    }

    static long number(byte[] b, int at) {
        return ByteBuffer.wrap(b).getLong(at + 16);
    }

    /** Writes a record at an index and returns the index after it. */
    static int record(byte[] b, int at, byte type, int namespace, long stamp, long expires, byte[] key, byte[] value) {
        int length = value == null ? 0 : value.length;
        ByteBuffer out = ByteBuffer.wrap(b);
        out.position(at + 4);
        out.put(type)
                .putShort((short) namespace)
                .putShort((short) key.length)
                .putInt(length)
                .putLong(stamp)
                .putLong(expires)
                .put(key);
        if (length > 0) {
            out.put(value);
        }
        int end = out.position();
        out.putInt(at, checksum(b, at + 4, end - at - 4));
        return end;
    }

    /** A view of one record within a buffer; key and value are copied only when requested. */
    record Rec(byte[] in, int at) {
        byte type() {
            return in[at + 4];
        }

        int namespace() {
            return ByteBuffer.wrap(in).getShort(at + 5) & 0xffff;
        }

        int keyLength() {
            return ByteBuffer.wrap(in).getShort(at + 7) & 0xffff;
        }

        int valueLength() {
            return ByteBuffer.wrap(in).getInt(at + 9);
        }

        long stamp() {
            return ByteBuffer.wrap(in).getLong(at + 13);
        }

        long expires() {
            return ByteBuffer.wrap(in).getLong(at + 21);
        }

        byte[] key() {
            return Arrays.copyOfRange(in, at + RECORD, at + RECORD + keyLength());
        }

        byte[] value() {
            int from = at + RECORD + keyLength();
            return Arrays.copyOfRange(in, from, from + valueLength());
        }

        int length() {
            return RECORD + keyLength() + valueLength();
        }

        /** Whether a complete record begins here and ends at or before an index, and (if checked) its checksum matches. */
        boolean whole(int end, boolean checked) {
            return end - at >= RECORD
                    && valueLength() >= 0
                    && keyLength() <= end - at - RECORD
                    && valueLength() <= end - at - RECORD - keyLength()
                    && (!checked || ByteBuffer.wrap(in).getInt(at) == checksum(in, at + 4, length() - 4));
        }
    }
}
