package tallyweir.durable;

import java.io.IOException;

/**
 * Verifies the checksum of every frame in both copies, segment by segment, and rewrites damaged frames from the other copy.
 * Used by one thread only.
 */
final class Scrub {
    private final Log log;
    private int lastSegmentNumber;
    private Segment segment;
    private SegmentReader walk;

    Scrub(Log log) {
        this.log = log;
    }

    /** Continues for about the given number of bytes; returns false when the pass over all segments is complete. */
    boolean step(long bytes) throws IOException {
        long read = 0;
        while (read < bytes) {
            if (walk == null && !startNextSegment()) {
                return false;
            }
            if (walk.next()) {
                read += Format.FRAME_HEADER_BYTES + walk.contentLength();
            } else {
                finishSegment();
            }
        }
        log.figures().add(StoreCounters.Counter.SCRUBBED_BYTES, read);
        return true;
    }

    private boolean startNextSegment() {
        for (Segment s : log.segments()) {
            if (s.number > lastSegmentNumber && s.pin()) {
                segment = s;
                lastSegmentNumber = s.number;
                walk = new SegmentReader(log, s, 0, s.firstFrame, s.endFrame, true);
                return true;
            }
        }
        lastSegmentNumber = 0;
        log.figures().add(StoreCounters.Counter.SCRUBS);
        return false;
    }

    private void finishSegment() {
        walk.forceRepairs();
        log.figures().add(StoreCounters.Counter.LOST_FRAMES, walk.lostFrames());
        segment.unpin();
        walk = null;
    }

    /** Abandons the current segment, for example because it cannot be read at all. */
    void skipSegment() {
        if (walk != null) {
            finishSegment();
        }
    }
}
