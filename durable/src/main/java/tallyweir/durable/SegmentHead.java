package tallyweir.durable;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The first frame of a segment: the state of the store from there on. It lists every older segment that is still part of the
 * store, with its end; data after that end is void, and segments that are not listed have been dropped.
 *
 * @param storeId chosen at random when the store was created; part of every checksum
 * @param segment the number of this segment
 * @param firstFrame the number of the first frame after the head
 * @param lastStamp the last stamp given before the head
 * @param openingNumber how often the store had been opened for writing, this opening included
 * @param namespaceNames the names of the namespaces, indexed by their numbers
 * @param olderSegments the older segments that are part of the store
 */
record SegmentHead(
        long storeId,
        int segment,
        long firstFrame,
        long lastStamp,
        long openingNumber,
        List<String> namespaceNames,
        List<OlderSegment> olderSegments) {
    /** An older segment that is part of the store, up to an end offset (exclusive). */
    record OlderSegment(int segment, long firstFrame, long createdStamp, long endFrame, long endOffset) {}

    byte[] toBytes() {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(Format.VERSION);
            out.writeLong(storeId);
            out.writeInt(segment);
            out.writeLong(firstFrame);
            out.writeLong(lastStamp);
            out.writeLong(openingNumber);
            out.writeInt(namespaceNames.size());
            for (String name : namespaceNames) {
                byte[] n = name.getBytes(StandardCharsets.US_ASCII);
                out.writeByte(n.length);
                out.write(n);
            }
            out.writeInt(olderSegments.size());
            for (OlderSegment o : olderSegments) {
                out.writeInt(o.segment);
                out.writeLong(o.firstFrame);
                out.writeLong(o.createdStamp);
                out.writeLong(o.endFrame);
                out.writeLong(o.endOffset);
            }
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses a head; null if the content is too short, which happens only with checksums disabled.
     *
     * @throws StoreRefusedException NEWER_FORMAT if the version is higher than this program supports
     */
    static SegmentHead parse(byte[] content) throws StoreRefusedException {
        try {
            ByteBuffer in = ByteBuffer.wrap(content);
            int version = in.getInt();
            if (version > Format.VERSION) {
                throw new StoreRefusedException(
                        StoreRefusedException.Cause.NEWER_FORMAT,
                        "the store is of format " + version + ", this program knows formats up to " + Format.VERSION
                                + ": use the program that wrote it");
            }
            long id = in.getLong();
            int segment = in.getInt();
            long firstFrame = in.getLong();
            long lastStamp = in.getLong();
            long opening = in.getLong();
            List<String> names = new ArrayList<>();
            for (int n = in.getInt(); n > 0; n--) {
                byte[] name = new byte[in.get() & 0xff];
                in.get(name);
                names.add(new String(name, StandardCharsets.US_ASCII));
            }
            List<OlderSegment> older = new ArrayList<>();
            for (int n = in.getInt(); n > 0; n--) {
                older.add(new OlderSegment(in.getInt(), in.getLong(), in.getLong(), in.getLong(), in.getLong()));
            }
            return new SegmentHead(id, segment, firstFrame, lastStamp, opening, names, older);
        } catch (BufferUnderflowException e) {
            return null;
        }
    }
}
