package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import tallyweir.durable.Refused.Cause;

/**
 * The log's segments. Frames are appended to both copies of the newest segment and read from either. A file in which a
 * write or a force failed is never written again: the next frame goes to a new segment, whose head records where the old
 * one ends. One thread writes; any thread may read records.
 */
final class Log {
    private final Disk[] disks;
    private final Both both;
    private final int segmentBytes;
    private final int sector;
    private final Set<Defence> without;
    private final Figures figures;
    private final ConcurrentSkipListMap<Integer, Segment> segments = new ConcurrentSkipListMap<>();
    private final List<Segment> retired = new ArrayList<>();
    private Segment active;
    private int lastSegment;
    private long nextFrame = 1;
    private long storeId;
    private long opening = 1;
    private long lastStamp;
    private List<String> names = new ArrayList<>();
    private Last last = new Last(0, 0, 0);
    private Fence fence;
    private boolean othersWrote;

    Log(Disk first, Disk second, Both both, int segmentBytes, int sector, Set<Defence> without, Figures figures) {
        this.disks = new Disk[] {first, second};
        this.both = both;
        this.segmentBytes = segmentBytes;
        this.sector = sector;
        this.without = without;
        this.figures = figures;
    }

    /** Location and checksum of the last frame; segment 0 if there is none. */
    record Last(int segment, long place, int sum) {}

    boolean has(Defence d) {
        return !without.contains(d);
    }

    int copies() {
        return has(Defence.SECOND_COPY) ? 2 : 1;
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

    Figures figures() {
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
            Last last) {
        this.storeId = storeId;
        this.opening = opening;
        this.names = names;
        this.lastSegment = lastSegment;
        this.nextFrame = nextFrame;
        this.lastStamp = lastStamp;
        this.last = last;
    }

    Last last() {
        return last;
    }

    void fence(Fence f) {
        fence = f;
    }

    /** Whether another process has taken the store over. */
    boolean fenced() {
        return has(Defence.FENCE) && fence != null && (othersWrote || fence.raised() && fence.passed());
    }

    /** The fencing number of this opening (its turn), 0 if nothing can be written. */
    long turn() {
        return fence == null ? 0 : fence.own();
    }

    /**
     * Raises the fence before the first write if that failed at opening. Succeeds only if no other process has written
     * since the log was read.
     */
    private void raiseLate() throws Refused {
        if (!has(Defence.FENCE) || fence == null || fence.raised()) {
            return;
        }
        try {
            noteOthers(); // if another process writes, leave the fence to it
            fence.raise();
            noteOthers(); // nor did another process write while the fence was raised
        } catch (Refused r) {
            othersWrote = true;
            throw figures.count(r);
        } catch (IOException e) {
            throw figures.count(new Refused(Cause.NO_ROOM, "the store's turn cannot be written: " + e.getMessage(), e));
        }
    }

    private void noteOthers() throws IOException {
        Segment newest = segments.isEmpty() ? null : segments.lastEntry().getValue();
        for (int c = 0; c < copies(); c++) {
            othersWrote |= disks[c].names().stream().anyMatch(n -> Format.segment(n) > lastSegment)
                    || newest != null
                            && new Window(newest.copies[c]).frame(newest.end, nextFrame, storeId, newest.number, true)
                                    >= 0;
        }
        if (othersWrote) {
            throw new Refused(Cause.FENCED, "another process has written since: open the store again");
        }
    }

    private void stillOurs() throws Refused {
        if (fenced()) {
            active = null;
            throw figures.count(new Refused(Cause.FENCED, "another process has taken the store over"));
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
    Segment room(long bytes) throws Refused {
        if (active != null && active.endFrame > active.firstFrame && active.end + bytes > segmentBytes) {
            active = null;
        }
        if (active == null) {
            active = start();
        }
        return active;
    }

    private Segment start() throws Refused {
        stillOurs();
        raiseLate();
        int number = ++lastSegment;
        List<Head.Older> older = new ArrayList<>();
        segments.values().forEach(s -> older.add(new Head.Older(s.number, s.firstFrame, s.created, s.endFrame, s.end)));
        byte[] head = new Head(storeId, number, nextFrame, lastStamp, opening, names, older).bytes();
        byte[] b = new byte[(int) Format.align(Format.FRAME + head.length, sector)];
        System.arraycopy(head, 0, b, Format.FRAME, head.length);
        Format.seal(b, 0, Format.HEAD, head.length, nextFrame, storeId, number, 0);
        Disk.Handle[] files = new Disk.Handle[2];
        try {
            both.run(() -> begin(0, number, files, b), () -> begin(1, number, files, b));
        } catch (IOException e) {
            for (int c = 0; c < copies(); c++) {
                if (files[c] != null) {
                    close(files[c]);
                    takeAway(c, number);
                }
            }
            throw figures.count(new Refused(Cause.NO_ROOM, "no new segment can be started: " + e.getMessage(), e));
        }
        Segment s = new Segment(number, nextFrame, lastStamp, files[0], files[1]);
        s.endFrame = nextFrame;
        s.end = b.length;
        segments.put(number, s);
        figures.add(Figures.Of.SEGMENTS);
        return s;
    }

    private void begin(int copy, int number, Disk.Handle[] files, byte[] head) throws IOException {
        if (copy < copies()) {
            files[copy] = disks[copy].createNew(Format.name(number));
            put(files[copy], 0, head, head.length);
            if (has(Defence.FORCE_ORDER)) {
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
        figures.add(Figures.Of.FORCES);
        file.force();
    }

    void forceNames(int copy) throws IOException {
        figures.add(Figures.Of.FORCES);
        try {
            disks[copy].forceNames();
        } catch (IOException e) {
            throw new ForceFailed(e);
        }
    }

    private void put(Disk.Handle file, long at, byte[] b, int length) throws IOException {
        file.writeFully(at, ByteBuffer.wrap(b, 0, length));
        figures.add(Figures.Of.BYTES_WRITTEN, length);
        if (!has(Defence.FORCE_ORDER)) {
            return;
        }
        try {
            force(file);
        } catch (IOException e) {
            if (has(Defence.VOID_AFTER_FAILURE)) {
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
    void append(byte[] b, int contentLength, Runnable meanwhile) throws Refused {
        Segment s = active;
        int length = (int) Format.align(Format.FRAME + contentLength, sector);
        Arrays.fill(b, Format.FRAME + contentLength, length, (byte) 0);
        Format.seal(b, 0, Format.DATA, contentLength, nextFrame, storeId, s.number, s.end);
        try {
            both.run(
                    () -> put(s.copies[0], s.end, b, length),
                    () -> {
                        if (copies() > 1) {
                            put(s.copies[1], s.end, b, length);
                        }
                    },
                    meanwhile);
        } catch (IOException e) {
            if (has(Defence.VOID_AFTER_FAILURE)) {
                active = null;
                figures.add(Figures.Of.ABANDONED);
            }
            throw figures.count(
                    e instanceof ForceFailed || !wiped(s)
                            ? new Refused(Cause.UNKNOWN, "the disk did not confirm the records: " + e.getMessage(), e)
                            : new Refused(Cause.NO_ROOM, "the records cannot be written: " + e.getMessage(), e));
        }
        stillOurs();
        last = new Last(s.number, s.end, ByteBuffer.wrap(b).getInt(12));
        s.end += length;
        nextFrame++;
        s.endFrame = nextFrame;
    }

    /** Overwrites a partially written frame so that recovery cannot find it. Returns false if that is not certain. */
    private boolean wiped(Segment s) {
        try {
            for (int c = 0; c < copies(); c++) {
                if (s.copies[c].size() > s.end) {
                    s.copies[c].writeFully(s.end, ByteBuffer.allocate((int)
                            Math.min(sector, s.copies[c].size() - s.end)));
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
    Format.Rec read(Segment s, Index.Entry e) {
        for (int c = 0; c < copies(); c++) {
            byte[] b = new byte[e.length()];
            try {
                if (s.copies[c] != null
                        && s.copies[c].readFully(e.offset(), ByteBuffer.wrap(b)) == b.length
                        && (has(Defence.CHECKSUM) ? isOf(b, e) : new Format.Rec(b, 0).whole(b.length, false))) {
                    if (c > 0) {
                        figures.add(Figures.Of.SECOND_READS);
                    }
                    return new Format.Rec(b, 0);
                }
            } catch (IOException unreadable) {
                continue;
            }
        }
        figures.add(Figures.Of.DAMAGED_READS);
        return null;
    }

    private static boolean isOf(byte[] b, Index.Entry e) {
        Format.Rec r = new Format.Rec(b, 0);
        return r.whole(b.length, true)
                && r.type() == Format.PUT
                && r.stamp() == e.stamp()
                && r.namespace() == e.namespace()
                && Arrays.equals(b, Format.RECORD, Format.RECORD + r.keyLength(), e.key(), 2, e.key().length);
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
            if (s.goneIfUnpinned()) {
                retired.remove(s);
                any = true;
                close(s.copies[0]);
                close(s.copies[1]);
                takeAway(0, s.number);
                takeAway(1, s.number);
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

    private void takeAway(int copy, int number) {
        try {
            if (copy < copies()) {
                disks[copy].delete(Format.name(number));
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
