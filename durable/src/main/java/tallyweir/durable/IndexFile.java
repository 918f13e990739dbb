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
 * @param lastPlace the offset of that frame in its segment
 * @param lastSum the checksum of that frame
 * @param segments the state of each segment that was part of the store, by number
 * @param leaves the leaves of the index in key order
 */
record IndexFile(
        long nextFrame,
        long lastStamp,
        int lastSegment,
        long lastPlace,
        int lastSum,
        Map<Integer, Of> segments,
        List<byte[]> leaves) {
    /** The state of one segment up to the last frame covered. */
    record Of(long endFrame, long end, long puts, long tombstones, long lastTombstone) {}

    private static final int MAGIC = 0x54574931;
    private static final int PIECE = 1 << 20;
    private static final String FORM = "index-[0-9]{19}\\.idx";

    private static String name(long nextFrame) {
        return String.format("index-%019d.idx", nextFrame);
    }

    private static List<String> names(Disk disk) throws IOException {
        return disk.names().stream()
                .filter(n -> n.matches(FORM))
                .sorted(Comparator.reverseOrder())
                .toList();
    }

    /** Writes and forces the snapshot, then deletes older ones; returns the bytes written. */
    long write(Disk disk, long storeId) throws IOException {
        String name = name(nextFrame);
        long size = 0;
        try (Disk.Handle file = disk.create(name)) {
            CRC32C crc = new CRC32C();
            ByteArrayOutputStream piece = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(piece);
            out.writeInt(MAGIC);
            out.writeInt(Format.VERSION);
            out.writeLong(storeId);
            out.writeLong(nextFrame);
            out.writeLong(lastStamp);
            out.writeInt(lastSegment);
            out.writeLong(lastPlace);
            out.writeInt(lastSum);
            out.writeInt(segments.size());
            for (Map.Entry<Integer, Of> s : segments.entrySet()) {
                out.writeInt(s.getKey());
                out.writeLong(s.getValue().endFrame);
                out.writeLong(s.getValue().end);
                out.writeLong(s.getValue().puts);
                out.writeLong(s.getValue().tombstones);
                out.writeLong(s.getValue().lastTombstone);
            }
            out.writeInt(leaves.size());
            for (byte[] leaf : leaves) {
                out.writeShort(leaf.length);
                out.write(leaf);
                if (piece.size() >= PIECE) {
                    size += flush(file, size, piece, crc);
                }
            }
            size += flush(file, size, piece, crc);
            out.writeInt((int) crc.getValue());
            size += flush(file, size, piece, crc);
            file.force();
        }
        disk.forceNames();
        for (String older : names(disk)) {
            if (!older.equals(name)) {
                disk.delete(older);
            }
        }
        return size;
    }

    private static long flush(Disk.Handle file, long at, ByteArrayOutputStream piece, CRC32C crc) throws IOException {
        byte[] b = piece.toByteArray();
        piece.reset();
        crc.update(b);
        file.writeFully(at, ByteBuffer.wrap(b));
        return b.length;
    }

    /**
     * Reads the newest snapshot that is valid by itself, null if there is none; whether it matches the log is checked by
     * {@link #fits}.
     *
     * @param distrust whether to check checksum and store id; false in drills only
     */
    static IndexFile newest(Disk disk, long storeId, boolean distrust, Figures figures) {
        try {
            for (String name : names(disk)) {
                IndexFile f = read(disk, name, storeId, distrust);
                if (f != null) {
                    return f;
                }
                figures.add(Figures.Of.SNAPSHOTS_DISTRUSTED);
            }
        } catch (IOException e) {
            figures.add(Figures.Of.SNAPSHOTS_DISTRUSTED);
        }
        return null;
    }

    private static IndexFile read(Disk disk, String name, long storeId, boolean distrust) {
        try (Disk.Handle file = disk.open(name)) {
            if (file.size() > Integer.MAX_VALUE - 64 || file.size() < 8) {
                return null;
            }
            byte[] b = new byte[(int) file.size()];
            if (file.readFully(0, ByteBuffer.wrap(b)) < b.length
                    || distrust
                            && Format.checksum(b, 0, b.length - 4)
                                    != ByteBuffer.wrap(b).getInt(b.length - 4)) {
                return null;
            }
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(b));
            if (in.readInt() != MAGIC || in.readInt() != Format.VERSION || in.readLong() != storeId && distrust) {
                return null;
            }
            long nextFrame = in.readLong();
            long lastStamp = in.readLong();
            int lastSegment = in.readInt();
            long lastPlace = in.readLong();
            int lastSum = in.readInt();
            Map<Integer, Of> segments = new HashMap<>();
            for (int n = in.readInt(); n > 0; n--) {
                segments.put(
                        in.readInt(),
                        new Of(in.readLong(), in.readLong(), in.readLong(), in.readLong(), in.readLong()));
            }
            List<byte[]> leaves = new ArrayList<>();
            for (int n = in.readInt(); n > 0; n--) {
                byte[] leaf = new byte[in.readUnsignedShort()];
                in.readFully(leaf);
                leaves.add(leaf);
            }
            return new IndexFile(nextFrame, lastStamp, lastSegment, lastPlace, lastSum, segments, leaves);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    /** Whether the log contains the last frame covered, unchanged. Also true if its segment has been dropped since. */
    boolean fits(Log log) {
        Segment s = log.segment(lastSegment);
        if (s == null) {
            return true;
        }
        for (int c = 0; c < log.copies(); c++) {
            Window w = new Window(s.copies[c]);
            int at = w.frame(lastPlace, nextFrame - 1, log.storeId(), s.number, log.has(Defence.CHECKSUM));
            if (at >= 0 && ByteBuffer.wrap(w.buffer()).getInt(at + 12) == lastSum) {
                return true;
            }
        }
        return false;
    }
}
