package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import tallyweir.durable.StoreRefusedException.Cause;

/**
 * The log's segments. Frames are appended to both copies of the newest segment and read from either. A file in which a
 * write or a force failed is never written again: the next frame goes to a new segment, whose head records where the old
 * one ends. One thread writes; any thread may read records.
 */
final class Log {
    private final Disk[] disks;
    private final CopyExecutor both;
    private final int segmentBytes;
    private final int sector;
    private final Set<Defence> disabled;
    private final StoreCounters figures;
    private final ConcurrentSkipListMap<Integer, Segment> segments = new ConcurrentSkipListMap<>();
    private final List<Segment> retired = new ArrayList<>();
    private Segment active;
    private int lastSegment;
    private long nextFrame = 1;
    private long storeId;
    private long opening = 1;
    private long lastStamp;
    private List<String> names = new ArrayList<>();
    private FrameLocation lastFrame = new FrameLocation(0, 0, 0);
    private Fence fence;
    private boolean otherProcessWrote;

    Log(
            Disk first,
            Disk second,
            CopyExecutor both,
            int segmentBytes,
            int sector,
            Set<Defence> disabled,
            StoreCounters figures) {
        this.disks = new Disk[] {first, second};
        this.both = both;
        this.segmentBytes = segmentBytes;
        this.sector = sector;
        this.disabled = disabled;
        this.figures = figures;
    }

    /** Location and checksum of the last frame; segment 0 if there is none. */
    record FrameLocation(int segment, long offset, int checksum) {}

    boolean isEnabled(Defence d) {
        return !disabled.contains(d);
    }

    int copies() {
        return isEnabled(Defence.SECOND_COPY) ? 2 : 1;
    }

    int sector() {
        return sector;
    }

    int segmentBytes() {
        return segmentBytes;
    }

    long storeId() {
        return storeId;
    }

    long opening() {
        return opening;
    }

    List<String> names() {
        return names;
    }

    StoreCounters figures() {
        return figures;
    }

    Disk disk(int copy) {
        return disks[copy];
    }

    /** Sets what recovery found; later frames go to a new segment. */
    void resume(
            long storeId,
            long opening,
            List<String> names,
            int lastSegment,
            long nextFrame,
            long lastStamp,
            FrameLocation lastFrame) {
        this.storeId = storeId;
        this.opening = opening;
        this.names = names;
        this.lastSegment = lastSegment;
        this.nextFrame = nextFrame;
        this.lastStamp = lastStamp;
        this.lastFrame = lastFrame;
    }

    FrameLocation lastFrame() {
        return lastFrame;
    }

    void fence(Fence f) {
        fence = f;
    }

    /** Whether another process has taken the store over. */
    boolean isFenced() {
        return isEnabled(Defence.FENCE)
                && fence != null
                && (otherProcessWrote || fence.isIncremented() && fence.isSuperseded());
    }

    /** The fencing number of this opening (its turn), 0 if nothing can be written. */
    long turn() {
        return fence == null ? 0 : fence.ownNumber();
    }

    /**
     * Raises the fence before the first write if that failed at opening. Succeeds only if no other process has written
     * since the log was read.
     */
    private void raiseFenceBeforeFirstWrite() throws StoreRefusedException {
        if (!isEnabled(Defence.FENCE) || fence == null || fence.isIncremented()) {
            return;
        }
        try {
            checkForOtherWriters(); // if another process writes, leave the fence to it
            fence.increment();
            checkForOtherWriters(); // nor did another process write while the fence was raised
        } catch (StoreRefusedException r) {
            otherProcessWrote = true;
            throw figures.countRefusal(r);
        } catch (IOException e) {
            throw figures.countRefusal(new StoreRefusedException(
                    Cause.NO_ROOM, "the store's turn cannot be written: " + e.getMessage(), e));
        }
    }

    private void checkForOtherWriters() throws IOException {
        Segment newest = segments.isEmpty() ? null : segments.lastEntry().getValue();
        for (int c = 0; c < copies(); c++) {
            otherProcessWrote |= disks[c].fileNames().stream().anyMatch(n -> Format.segmentNumber(n) > lastSegment)
                    || newest != null
                            && new FrameBuffer(newest.copies[c])
                                            .loadFrame(newest.endOffset, nextFrame, storeId, newest.number, true)
                                    >= 0;
        }
        if (otherProcessWrote) {
            throw new StoreRefusedException(Cause.FENCED, "another process has written since: open the store again");
        }
    }

    private void checkNotFenced() throws StoreRefusedException {
        if (isFenced()) {
            active = null;
            throw figures.countRefusal(
                    new StoreRefusedException(Cause.FENCED, "another process has taken the store over"));
        }
    }

    void add(Segment s) {
        segments.put(s.number, s);
    }

    /** Returns a segment, or null if it was retired. */
    Segment segment(int number) {
        return segments.get(number);
    }

    /** A live view of the segments in use, oldest first. */
    Iterable<Segment> segments() {
        return segments.values();
    }

    long nextFrame() {
        return nextFrame;
    }

    long lastStamp() {
        return lastStamp;
    }

    void lastStamp(long stamp) {
        lastStamp = Math.max(lastStamp, stamp);
    }

    Segment active() {
        return active;
    }

    /** Returns the segment for a frame of the given length: the active one, or a new one if it is full. */
    Segment segmentFor(long bytes) throws StoreRefusedException {
        if (active != null && active.endFrame > active.firstFrame && active.endOffset + bytes > segmentBytes) {
            active = null;
        }
        if (active == null) {
            active = createSegment();
        }
        return active;
    }

    private Segment createSegment() throws StoreRefusedException {
        checkNotFenced();
        raiseFenceBeforeFirstWrite();
        int number = ++lastSegment;
        List<SegmentHead.OlderSegment> older = new ArrayList<>();
        segments.values()
                .forEach(s -> older.add(
                        new SegmentHead.OlderSegment(s.number, s.firstFrame, s.createdStamp, s.endFrame, s.endOffset)));
        byte[] head = new SegmentHead(storeId, number, nextFrame, lastStamp, opening, names, older).toBytes();
        byte[] b = new byte[(int) Format.align(Format.FRAME_HEADER_BYTES + head.length, sector)];
        System.arraycopy(head, 0, b, Format.FRAME_HEADER_BYTES, head.length);
        Format.writeFrameHeader(b, 0, Format.HEAD_FRAME, head.length, nextFrame, storeId, number, 0);
        Disk.Handle[] files = new Disk.Handle[2];
        try {
            both.run(() -> createSegmentFile(0, number, files, b), () -> createSegmentFile(1, number, files, b));
        } catch (IOException e) {
            for (int c = 0; c < copies(); c++) {
                if (files[c] != null) {
                    close(files[c]);
                    deleteFile(c, number);
                }
            }
            throw figures.countRefusal(
                    new StoreRefusedException(Cause.NO_ROOM, "no new segment can be started: " + e.getMessage(), e));
        }
        Segment s = new Segment(number, nextFrame, lastStamp, files[0], files[1]);
        s.endFrame = nextFrame;
        s.endOffset = b.length;
        segments.put(number, s);
        figures.add(StoreCounters.Counter.SEGMENTS);
        return s;
    }

    private void createSegmentFile(int copy, int number, Disk.Handle[] files, byte[] head) throws IOException {
        if (copy < copies()) {
            files[copy] = disks[copy].createNew(Format.segmentFileName(number));
            writeAndForce(files[copy], 0, head, head.length);
            if (isEnabled(Defence.FORCE_ORDER)) {
                forceNames(copy);
            }
        }
    }

    /** A failed force, as distinct from a failed write. */
    private static final class ForceFailed extends IOException {
        private static final long serialVersionUID = 1L;

        ForceFailed(IOException cause) {
            super(cause.getMessage(), cause);
        }
    }

    void force(Disk.Handle file) throws IOException {
        figures.add(StoreCounters.Counter.FORCES);
        file.force();
    }

    void forceNames(int copy) throws IOException {
        figures.add(StoreCounters.Counter.FORCES);
        try {
            disks[copy].forceDirectory();
        } catch (IOException e) {
            throw new ForceFailed(e);
        }
    }

    private void writeAndForce(Disk.Handle file, long offset, byte[] b, int length) throws IOException {
        file.writeFully(offset, ByteBuffer.wrap(b, 0, length));
        figures.add(StoreCounters.Counter.BYTES_WRITTEN, length);
        if (!isEnabled(Defence.FORCE_ORDER)) {
            return;
        }
        try {
            force(file);
        } catch (IOException e) {
            if (isEnabled(Defence.VOID_AFTER_FAILURE)) {
                throw new ForceFailed(e);
            }
            force(file);
        }
    }

    /**
     * Appends a frame and returns once it is on the disk in both copies. On failure the segment ends before the frame.
     *
     * @param b space for the frame's header, then the content; reaches to the end of the frame's last sector
     * @param meanwhile run while the disk is writing
     */
    void append(byte[] b, int contentLength, Runnable meanwhile) throws StoreRefusedException {
        Segment s = active;
        int length = (int) Format.align(Format.FRAME_HEADER_BYTES + contentLength, sector);
        Arrays.fill(b, Format.FRAME_HEADER_BYTES + contentLength, length, (byte) 0);
        Format.writeFrameHeader(b, 0, Format.DATA_FRAME, contentLength, nextFrame, storeId, s.number, s.endOffset);
        try {
            both.run(
                    () -> writeAndForce(s.copies[0], s.endOffset, b, length),
                    () -> {
                        if (copies() > 1) {
                            writeAndForce(s.copies[1], s.endOffset, b, length);
                        }
                    },
                    meanwhile);
        } catch (IOException e) {
            if (isEnabled(Defence.VOID_AFTER_FAILURE)) {
                active = null;
                figures.add(StoreCounters.Counter.ABANDONED);
            }
            throw figures.countRefusal(
                    e instanceof ForceFailed || !wipePartialFrame(s)
                            ? new StoreRefusedException(
                                    Cause.UNKNOWN, "the disk did not confirm the records: " + e.getMessage(), e)
                            : new StoreRefusedException(
                                    Cause.NO_ROOM, "the records cannot be written: " + e.getMessage(), e));
        }
        checkNotFenced();
        lastFrame = new FrameLocation(s.number, s.endOffset, ByteBuffer.wrap(b).getInt(12));
        s.endOffset += length;
        nextFrame++;
        s.endFrame = nextFrame;
    }

    /** Overwrites a partially written frame so that recovery cannot find it. Returns false if that is not certain. */
    private boolean wipePartialFrame(Segment s) {
        try {
            for (int c = 0; c < copies(); c++) {
                if (s.copies[c].size() > s.endOffset) {
                    s.copies[c].writeFully(s.endOffset, ByteBuffer.allocate((int)
                            Math.min(sector, s.copies[c].size() - s.endOffset)));
                    force(s.copies[c]);
                }
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Reads a record from whichever copy holds it intact and matching its index entry; null if neither does. The caller
     * has pinned the segment.
     */
    Format.RecordView read(Segment s, Index.Entry e) {
        for (int c = 0; c < copies(); c++) {
            byte[] b = new byte[e.length()];
            try {
                if (s.copies[c] != null
                        && s.copies[c].readFully(e.offset(), ByteBuffer.wrap(b)) == b.length
                        && (isEnabled(Defence.CHECKSUM)
                                ? matches(b, e)
                                : new Format.RecordView(b, 0).isIntact(b.length, false))) {
                    if (c > 0) {
                        figures.add(StoreCounters.Counter.SECOND_READS);
                    }
                    return new Format.RecordView(b, 0);
                }
            } catch (IOException unreadable) {
                continue;
            }
        }
        figures.add(StoreCounters.Counter.DAMAGED_READS);
        return null;
    }

    private static boolean matches(byte[] b, Index.Entry e) {
        Format.RecordView r = new Format.RecordView(b, 0);
        return r.isIntact(b.length, true)
                && r.type() == Format.PUT
                && r.stamp() == e.stamp()
                && r.namespace() == e.namespace()
                && Arrays.equals(
                        b,
                        Format.RECORD_HEADER_BYTES,
                        Format.RECORD_HEADER_BYTES + r.keyLength(),
                        e.key(),
                        2,
                        e.key().length);
    }

    /** Removes a segment from the log; its files are deleted once no reader has it pinned. */
    void retire(Segment s) {
        segments.remove(s.number);
        retired.add(s);
        if (active == s) {
            active = null;
        }
    }

    boolean hasRetired() {
        return retired.stream().anyMatch(s -> !s.isPinned());
    }

    /** Deletes the files of retired segments that are not pinned. */
    void deleteRetired() {
        boolean any = false;
        for (Segment s : List.copyOf(retired)) {
            if (s.markDeletedIfUnpinned()) {
                retired.remove(s);
                any = true;
                close(s.copies[0]);
                close(s.copies[1]);
                deleteFile(0, s.number);
                deleteFile(1, s.number);
            }
        }
        for (int c = 0; any && c < copies(); c++) {
            try {
                forceNames(c);
            } catch (IOException e) {
                continue; // a file that reappears is not listed by the next head
            }
        }
    }

    private void deleteFile(int copy, int number) {
        try {
            if (copy < copies()) {
                disks[copy].delete(Format.segmentFileName(number));
            }
        } catch (IOException e) {
            return; // a file left over is in no head and is deleted at the next opening
        }
    }

    private static void close(Disk.Handle file) {
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            return; // all data that was acknowledged has been forced
        }
    }

    void close() {
        if (fence != null) {
            fence.close();
        }
        segments.values().forEach(s -> Arrays.stream(s.copies).forEach(Log::close));
        retired.forEach(s -> Arrays.stream(s.copies).forEach(Log::close));
    }
}
