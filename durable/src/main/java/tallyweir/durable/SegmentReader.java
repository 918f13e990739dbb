package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads the frames of one segment in order, beginning with the head, each from a copy in which it is intact, and rewrites
 * frames that are damaged in the other copy. If a frame is intact in neither copy, it searches sector by sector for a later
 * one. Not thread-safe.
 */
final class SegmentReader {
    private final Log log;
    private final Segment segment;
    private final long limitFrame;
    private final boolean comparesCopies;
    private final FrameBuffer[] buffers;
    private final boolean[] rewritten = new boolean[2];
    private final boolean[] repairFailed = new boolean[2];
    private long nextOffset;
    private long nextFrame;
    private long lostFrames;
    private int sourceCopy = -1;
    private int frameIndex;

    /**
     * @param offset the offset at which a frame begins, 0 for the head
     * @param frame the number of the frame there (for the head, the number of the first frame after it)
     * @param limitFrame the number of the first frame that is not read
     * @param compares whether the second copy is read and checked even if the frame is intact in the first
     */
    SegmentReader(Log log, Segment segment, long offset, long frame, long limitFrame, boolean compares) {
        this.comparesCopies = compares;
        this.log = log;
        this.segment = segment;
        this.limitFrame = limitFrame;
        nextOffset = offset;
        nextFrame = frame;
        buffers = new FrameBuffer[] {
            new FrameBuffer(segment.copies[0]), new FrameBuffer(log.copies() > 1 ? segment.copies[1] : null)
        };
    }

    /** Moves to the next frame before the limit; false at the end. Throws only if neither copy can be read at all. */
    boolean next() throws IOException {
        if (nextOffset > 0 && nextFrame >= limitFrame) {
            return false;
        }
        if (!readFrame(nextOffset, nextFrame)) {
            return nextOffset == 0 && resync(log.sector()) || nextOffset > 0 && resync(nextOffset);
        }
        advance();
        return true;
    }

    /** Searches for the next intact frame at or after an offset. */
    private boolean resync(long from) throws IOException {
        long size = Math.max(size(0), size(1));
        for (long offset = from; offset < size; offset += log.sector()) {
            if (readFrame(offset, -1)) {
                long number = Format.frameNumber(buffers[sourceCopy].buffer(), frameIndex);
                if (number >= nextFrame && number < limitFrame) {
                    lostFrames += number - nextFrame;
                    nextOffset = offset;
                    nextFrame = number;
                    advance();
                    return true;
                }
            }
        }
        return false;
    }

    private long size(int copy) throws IOException {
        return segment.copies[copy] == null ? 0 : segment.copies[copy].size();
    }

    private boolean readFrame(long offset, long number) throws IOException {
        boolean verifyChecksum = log.isEnabled(Defence.CHECKSUM);
        int[] index = new int[2];
        index[1] = -1;
        for (int c = 0; c < 2 && (c == 0 || comparesCopies || index[0] < 0); c++) {
            index[c] = buffers[c].loadFrame(offset, number, log.storeId(), segment.number, verifyChecksum);
        }
        sourceCopy = index[0] >= 0 ? 0 : index[1] >= 0 ? 1 : -1;
        if (sourceCopy < 0) {
            if (buffers[0].failure != null && (buffers[1].failure != null || log.copies() < 2)) {
                throw buffers[0].failure;
            }
            return false;
        }
        frameIndex = index[sourceCopy];
        if (index[1 - sourceCopy] < 0 && log.copies() > 1 && (comparesCopies || sourceCopy == 1)) {
            repair(1 - sourceCopy, offset);
        }
        return true;
    }

    private void advance() {
        nextFrame = nextOffset == 0 ? nextFrame : nextFrame + 1;
        nextOffset = Format.align(nextOffset + Format.FRAME_HEADER_BYTES + contentLength(), log.sector());
    }

    private void repair(int copy, long offset) {
        if (repairFailed[copy]) {
            log.figures().add(StoreCounters.Counter.UNREPAIRED);
            return;
        }
        int length = (int) Format.align(Format.FRAME_HEADER_BYTES + contentLength(), log.sector());
        byte[] frame = new byte[length];
        System.arraycopy(
                buffers[sourceCopy].buffer(), frameIndex, frame, 0, Format.FRAME_HEADER_BYTES + contentLength());
        try {
            if (segment.copies[copy] == null) {
                throw new IOException("the file could not be recreated");
            }
            segment.copies[copy].writeFully(offset, ByteBuffer.wrap(frame));
            rewritten[copy] = true;
            buffers[copy].invalidate();
            log.figures().add(StoreCounters.Counter.BYTES_WRITTEN, length);
            log.figures().add(StoreCounters.Counter.REPAIRED);
        } catch (IOException e) {
            repairFailed[copy] = true;
            log.figures().add(StoreCounters.Counter.UNREPAIRED);
        }
    }

    /** Forces the repairs; must be called at the end of each walk. */
    void forceRepairs() {
        for (int c = 0; c < 2; c++) {
            if (rewritten[c]) {
                try {
                    log.force(segment.copies[c]);
                } catch (IOException e) {
                    log.figures().add(StoreCounters.Counter.UNREPAIRED);
                }
            }
        }
    }

    /** The number of frames skipped so far because they are intact in neither copy. */
    long lostFrames() {
        return lostFrames;
    }

    /** Whether damage was found that could not be repaired. */
    boolean hasUnrepairedDamage() {
        return repairFailed[0] || repairFailed[1];
    }

    int contentLength() {
        return Format.contentLength(
                buffers[sourceCopy].buffer(), frameIndex, buffers[sourceCopy].buffer()[frameIndex + 4]);
    }

    byte[] buffer() {
        return buffers[sourceCopy].buffer();
    }

    /** The index in the buffer at which the content begins. */
    int contentIndex() {
        return frameIndex + Format.FRAME_HEADER_BYTES;
    }

    /** The offset in the file at which the content begins; valid only after a frame was found. */
    long contentOffset() {
        return frameOffset() + Format.FRAME_HEADER_BYTES;
    }

    /** The offset in the file at which the frame begins; valid only after a frame was found. */
    long frameOffset() {
        return nextOffset - Format.align(Format.FRAME_HEADER_BYTES + contentLength(), log.sector());
    }

    /** The checksum in the frame's header. */
    int checksum() {
        return ByteBuffer.wrap(buffers[sourceCopy].buffer()).getInt(frameIndex + 12);
    }

    /** The number of the frame after the last one found. */
    long nextFrame() {
        return nextFrame;
    }

    /** The offset at which the frame after the last one found begins. */
    long nextOffset() {
        return nextOffset;
    }
}
