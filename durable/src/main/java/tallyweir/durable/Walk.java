package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Goes through the frames of one segment, the head first, taking each from whichever copy has it whole. What the other
 * copy lacks is written to it again. Where neither has a frame, the next sector that holds a later one is looked for.
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
     * @param place where a frame begins, 0 for the head
     * @param frame the number of the frame there (of the head: of the first after it)
     * @param limit the number of the first frame that counts no longer
     * @param compares whether the second copy is read, too, where the first is whole
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

    /** Moves to the next frame that counts; false at the end. Fails only where neither copy can be read at all. */
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

    /** Looks for the next whole frame from a place on. */
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
                throw new IOException("the file could not be made anew");
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

    /** Forces what was written again; to be called at the end of each walk. */
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

    /** Frames passed over so far, of which neither copy is good. */
    long lost() {
        return lost;
    }

    /** Whether what this walk found damaged could not be written again. */
    boolean leftDamage() {
        return beyondRepair[0] || beyondRepair[1];
    }

    int contentLength() {
        return Format.contentLength(windows[of].buffer(), at, windows[of].buffer()[at + 4]);
    }

    byte[] buffer() {
        return windows[of].buffer();
    }

    /** Where the content begins in the buffer. */
    int content() {
        return at + Format.FRAME;
    }

    /** Where the content begins in the file, once a frame was found. */
    long contentPlace() {
        return start() + Format.FRAME;
    }

    /** Where the frame begins in the file. */
    long start() {
        return next - Format.align(Format.FRAME + contentLength(), log.sector());
    }

    /** The checksum in the frame's header. */
    int sum() {
        return ByteBuffer.wrap(windows[of].buffer()).getInt(at + 12);
    }

    /** The number after the last frame found. */
    long nextFrame() {
        return nextFrame;
    }

    /** Where the frame after the last one found begins. */
    long nextPlace() {
        return next;
    }
}
