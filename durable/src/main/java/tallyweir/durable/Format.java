package tallyweir.durable;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The bytes of the log. A segment file is a row of frames, each at a multiple of the sector so that no two writes
 * share one: a header of 24 bytes (magic, kind, length, checksum, number), then the content. The checksum (CRC-32C)
 * also covers the store's id, the segment and the place, so that a frame of another store, file or place is none.
 * The first frame of a file is its head; every other is one group of commits, a row of records of 29 bytes, key and
 * value, each with a checksum of its own for reading it alone. All numbers are big-endian.
 */
final class Format {
    /** Of the files; a greater one is refused, a smaller one read. */
    static final int VERSION = 1;

    static final int MAGIC = 0x54574431;
    static final byte HEAD = 1;
    static final byte DATA = 2;
    static final int FRAME = 24;
    static final byte PUT = 1;
    static final byte DELETE = 2;
    /** The segment whose number is the key is gone. */
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

    /** The segment that a file name stands for, -1 for any other name. */
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

    /** Of a frame whose bytes begin at an index; the field of the checksum itself is left out. */
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

    /** Fills in the header before a content of so many bytes; a head's checksum knows no store id. */
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

    /** The length of the content that the header at an index tells, -1 where it is no header of the kind. */
    static int contentLength(byte[] b, int at, byte kind) {
        ByteBuffer in = ByteBuffer.wrap(b);
        int length = in.getInt(at + 8);
        return in.getInt(at) == MAGIC && in.getInt(at + 4) == kind << 24 && length <= FRAME_MOST ? length : -1;
    }

    /** Whether the checksum in the header at an index is that of this frame, written for this place. */
    static boolean matches(byte[] b, int at, long storeId, int segment, long place) {
        ByteBuffer in = ByteBuffer.wrap(b);
        boolean head = b[at + 4] == HEAD;
        return in.getInt(at + 12) == frameChecksum(head ? 0 : storeId, segment, place, b, at, in.getInt(at + 8));
    }

    static long number(byte[] b, int at) {
        return ByteBuffer.wrap(b).getLong(at + 16);
    }

    /** Writes a record and returns the index after it. */
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

    /** One record as it stands in bytes that were read; nothing is copied until asked for. */
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

        /** Whether a whole record stands here that ends by an index, and its checksum matches. */
        boolean whole(int end, boolean checked) {
            return end - at >= RECORD
                    && valueLength() >= 0
                    && keyLength() <= end - at - RECORD
                    && valueLength() <= end - at - RECORD - keyLength()
                    && (!checked || ByteBuffer.wrap(in).getInt(at) == checksum(in, at + 4, length() - 4));
        }
    }
}
