package tallyweir.durable;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * A snapshot of the index up to a frame, so that opening the store need not read the log before that frame. It only speeds up
 * opening and is never relied on as data: there is one copy, in the first directory, and it is used only if its checksum
 * matches, it belongs to this store, and the log contains the last frame that it covers at the recorded offset with the
 * recorded checksum.
 *
 * @param nextFrame the number of the first frame not covered
 * @param lastStamp the last stamp covered
 * @param lastSegment the segment of the last frame covered, 0 if there was none
 * @param lastOffset the offset of that frame in its segment
 * @param lastChecksum the checksum of that frame
 * @param segments the state of each segment that was part of the store, by number
 * @param leaves the leaves of the index in key order
 */
record IndexSnapshot(
        long nextFrame,
        long lastStamp,
        int lastSegment,
        long lastOffset,
        int lastChecksum,
        Map<Integer, SegmentState> segments,
        List<byte[]> leaves) {
    /** The state of one segment up to the last frame covered. */
    record SegmentState(long endFrame, long endOffset, long valueCount, long tombstoneBytes, long lastTombstoneStamp) {}

    private static final int MAGIC = 0x54574931;
    private static final int CHUNK_BYTES = 1 << 20;
    private static final String FILE_NAME_PATTERN = "index-[0-9]{19}\\.idx";

    private static String fileName(long nextFrame) {
        return String.format("index-%019d.idx", nextFrame);
    }

    private static List<String> fileNames(Disk disk) throws IOException {
        return disk.fileNames().stream()
                .filter(n -> n.matches(FILE_NAME_PATTERN))
                .sorted(Comparator.reverseOrder())
                .toList();
    }

    /** Writes and forces the snapshot, then deletes older ones; returns the bytes written. */
    long write(Disk disk, long storeId) throws IOException {
        String name = fileName(nextFrame);
        long size = 0;
        try (Disk.Handle file = disk.create(name)) {
            CRC32C crc = new CRC32C();
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(chunk);
            out.writeInt(MAGIC);
            out.writeInt(Format.VERSION);
            out.writeLong(storeId);
            out.writeLong(nextFrame);
            out.writeLong(lastStamp);
            out.writeInt(lastSegment);
            out.writeLong(lastOffset);
            out.writeInt(lastChecksum);
            out.writeInt(segments.size());
            for (Map.Entry<Integer, SegmentState> s : segments.entrySet()) {
                out.writeInt(s.getKey());
                out.writeLong(s.getValue().endFrame);
                out.writeLong(s.getValue().endOffset);
                out.writeLong(s.getValue().valueCount);
                out.writeLong(s.getValue().tombstoneBytes);
                out.writeLong(s.getValue().lastTombstoneStamp);
            }
            out.writeInt(leaves.size());
            for (byte[] leaf : leaves) {
                out.writeShort(leaf.length);
                out.write(leaf);
                if (chunk.size() >= CHUNK_BYTES) {
                    size += flush(file, size, chunk, crc);
                }
            }
            size += flush(file, size, chunk, crc);
            out.writeInt((int) crc.getValue());
            size += flush(file, size, chunk, crc);
            file.force();
        }
        disk.forceDirectory();
        for (String older : fileNames(disk)) {
            if (!older.equals(name)) {
                disk.delete(older);
            }
        }
        return size;
    }

    private static long flush(Disk.Handle file, long at, ByteArrayOutputStream chunk, CRC32C crc) throws IOException {
        byte[] b = chunk.toByteArray();
        chunk.reset();
        crc.update(b);
        file.writeFully(at, ByteBuffer.wrap(b));
        return b.length;
    }

    /**
     * Reads the newest snapshot that is valid by itself, null if there is none; whether it matches the log is checked by
     * {@link #matchesLog}.
     *
     * @param verify whether to check checksum and store id; false in drills only
     */
    static IndexSnapshot readNewest(Disk disk, long storeId, boolean verify, StoreCounters figures) {
        try {
            for (String name : fileNames(disk)) {
                IndexSnapshot f = read(disk, name, storeId, verify);
                if (f != null) {
                    return f;
                }
                figures.add(StoreCounters.Counter.SNAPSHOTS_DISTRUSTED);
            }
        } catch (IOException e) {
            figures.add(StoreCounters.Counter.SNAPSHOTS_DISTRUSTED);
        }
        return null;
    }

    private static IndexSnapshot read(Disk disk, String name, long storeId, boolean verify) {
        try (Disk.Handle file = disk.open(name)) {
            if (file.size() > Integer.MAX_VALUE - 64 || file.size() < 8) {
                return null;
            }
            byte[] b = new byte[(int) file.size()];
            if (file.readFully(0, ByteBuffer.wrap(b)) < b.length
                    || verify
                            && Format.checksum(b, 0, b.length - 4)
                                    != ByteBuffer.wrap(b).getInt(b.length - 4)) {
                return null;
            }
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(b));
            if (in.readInt() != MAGIC || in.readInt() != Format.VERSION || in.readLong() != storeId && verify) {
                return null;
            }
            long nextFrame = in.readLong();
            long lastStamp = in.readLong();
            int lastSegment = in.readInt();
            long lastPlace = in.readLong();
            int lastSum = in.readInt();
            Map<Integer, SegmentState> segments = new HashMap<>();
            for (int n = in.readInt(); n > 0; n--) {
                segments.put(
                        in.readInt(),
                        new SegmentState(in.readLong(), in.readLong(), in.readLong(), in.readLong(), in.readLong()));
            }
            List<byte[]> leaves = new ArrayList<>();
            for (int n = in.readInt(); n > 0; n--) {
                byte[] leaf = new byte[in.readUnsignedShort()];
                in.readFully(leaf);
                leaves.add(leaf);
            }
            return new IndexSnapshot(nextFrame, lastStamp, lastSegment, lastPlace, lastSum, segments, leaves);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    /** Whether the log contains the last frame covered, unchanged. Also true if its segment has been dropped since. */
    boolean matchesLog(Log log) {
        Segment s = log.segment(lastSegment);
        if (s == null) {
            return true;
        }
        for (int c = 0; c < log.copies(); c++) {
            FrameBuffer w = new FrameBuffer(s.copies[c]);
            int at = w.loadFrame(lastOffset, nextFrame - 1, log.storeId(), s.number, log.isEnabled(Defence.CHECKSUM));
            if (at >= 0 && ByteBuffer.wrap(w.buffer()).getInt(at + 12) == lastChecksum) {
                return true;
            }
        }
        return false;
    }
}
