package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads the frames of one segment in order, beginning with the head, each from a copy in which it is intact, and rewrites
 * frames that are damaged in the other copy. If a frame is intact in neither copy, it searches sector by sector for a later
 * one. Not thread-safe.
 */
final class Walk {
    private final Log log;
    private final Segment segment;
    private final long limit;
    private final boolean compares;
    private final Window[] windows;
    private final boolean[] rewritten = new boolean[2];
    private final boolean[] beyondRepair = new boolean[2];
    private long next;
    private long nextFrame;
    private long lost;
    private int of = -1;
    private int at;

    /**
     * @param place the offset at which a frame begins, 0 for the head
     * @param frame the number of the frame there (for the head, the number of the first frame after it)
     * @param limit the number of the first frame that is not read
     * @param compares whether the second copy is read and checked even if the frame is intact in the first
     */
    Walk(Log log, Segment segment, long place, long frame, long limit, boolean compares) {
        this.compares = compares;
        this.log = log;
        this.segment = segment;
        this.limit = limit;
        next = place;
        nextFrame = frame;
        windows = new Window[] {new Window(segment.copies[0]), new Window(log.copies() > 1 ? segment.copies[1] : null)};
    }

    /** Moves to the next frame before the limit; false at the end. Throws only if neither copy can be read at all. */
    boolean next() throws IOException {
        if (next > 0 && nextFrame >= limit) {
            return false;
        }
        if (!found(next, nextFrame)) {
            return next == 0 && resume(log.sector()) || next > 0 && resume(next);
        }
        step();
        return true;
    }

    /** Searches for the next intact frame at or after an offset. */
    private boolean resume(long from) throws IOException {
        long size = Math.max(size(0), size(1));
        for (long place = from; place < size; place += log.sector()) {
            if (found(place, -1)) {
                long number = Format.number(windows[of].buffer(), at);
                if (number >= nextFrame && number < limit) {
                    lost += number - nextFrame;
                    next = place;
                    nextFrame = number;
                    step();
                    return true;
                }
            }
        }
        return false;
    }

    private long size(int copy) throws IOException {
        return segment.copies[copy] == null ? 0 : segment.copies[copy].size();
    }

    private boolean found(long place, long number) throws IOException {
        boolean checked = log.has(Defence.CHECKSUM);
        int[] index = new int[2];
        index[1] = -1;
        for (int c = 0; c < 2 && (c == 0 || compares || index[0] < 0); c++) {
            index[c] = windows[c].frame(place, number, log.storeId(), segment.number, checked);
        }
        of = index[0] >= 0 ? 0 : index[1] >= 0 ? 1 : -1;
        if (of < 0) {
            if (windows[0].failed != null && (windows[1].failed != null || log.copies() < 2)) {
                throw windows[0].failed;
            }
            return false;
        }
        at = index[of];
        if (index[1 - of] < 0 && log.copies() > 1 && (compares || of == 1)) {
            repair(1 - of, place);
        }
        return true;
    }

    private void step() {
        nextFrame = next == 0 ? nextFrame : nextFrame + 1;
        next = Format.align(next + Format.FRAME + contentLength(), log.sector());
    }

    private void repair(int copy, long place) {
        if (beyondRepair[copy]) {
            log.figures().add(Figures.Of.UNREPAIRED);
            return;
        }
        int length = (int) Format.align(Format.FRAME + contentLength(), log.sector());
        byte[] whole = new byte[length];
        System.arraycopy(windows[of].buffer(), at, whole, 0, Format.FRAME + contentLength());
        try {
            if (segment.copies[copy] == null) {
                throw new IOException("the file could not be recreated");
            }
            segment.copies[copy].writeFully(place, ByteBuffer.wrap(whole));
            rewritten[copy] = true;
            windows[copy].forget();
            log.figures().add(Figures.Of.BYTES_WRITTEN, length);
            log.figures().add(Figures.Of.REPAIRED);
        } catch (IOException e) {
            beyondRepair[copy] = true;
            log.figures().add(Figures.Of.UNREPAIRED);
        }
    }

    /** Forces the repairs; must be called at the end of each walk. */
    void finish() {
        for (int c = 0; c < 2; c++) {
            if (rewritten[c]) {
                try {
                    log.force(segment.copies[c]);
                } catch (IOException e) {
                    log.figures().add(Figures.Of.UNREPAIRED);
                }
            }
        }
    }

    /** The number of frames skipped so far because they are intact in neither copy. */
    long lost() {
        return lost;
    }

    /** Whether damage was found that could not be repaired. */
    boolean leftDamage() {
        return beyondRepair[0] || beyondRepair[1];
    }

    int contentLength() {
        return Format.contentLength(windows[of].buffer(), at, windows[of].buffer()[at + 4]);
    }

    byte[] buffer() {
        return windows[of].buffer();
    }

    /** The index in the buffer at which the content begins. */
    int content() {
        return at + Format.FRAME;
    }

    /** The offset in the file at which the content begins; valid only after a frame was found. */
    long contentPlace() {
        return start() + Format.FRAME;
    }

    /** The offset in the file at which the frame begins; valid only after a frame was found. */
    long start() {
        return next - Format.align(Format.FRAME + contentLength(), log.sector());
    }

    /** The checksum in the frame's header. */
    int sum() {
        return ByteBuffer.wrap(windows[of].buffer()).getInt(at + 12);
    }

    /** The number of the frame after the last one found. */
    long nextFrame() {
        return nextFrame;
    }

    /** The offset at which the frame after the last one found begins. */
    long nextPlace() {
        return next;
    }
}
