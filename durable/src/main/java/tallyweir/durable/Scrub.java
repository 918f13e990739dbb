package tallyweir.durable;

import java.io.IOException;

/**
 * Verifies the checksum of every frame in both copies, segment by segment, and rewrites damaged frames from the other copy.
 * Used by one thread only.
 */
final class Scrub {
    private final Log log;
    private int after;
    private Segment segment;
    private Walk walk;

    Scrub(Log log) {
        this.log = log;
    }

    /** Continues for about the given number of bytes; returns false when the pass over all segments is complete. */
    boolean step(long bytes) throws IOException {
        long read = 0;
        while (read < bytes) {
            if (walk == null && !begin()) {
                return false;
            }
            if (walk.next()) {
                read += Format.FRAME + walk.contentLength();
            } else {
                end();
            }
        }
        log.figures().add(Figures.Of.SCRUBBED_BYTES, read);
        return true;
    }

    private boolean begin() {
        for (Segment s : log.segments()) {
            if (s.number > after && s.pin()) {
                segment = s;
                after = s.number;
                walk = new Walk(log, s, 0, s.firstFrame, s.endFrame, true);
                return true;
            }
        }
        after = 0;
        log.figures().add(Figures.Of.SCRUBS);
        return false;
    }

    private void end() {
        walk.finish();
        log.figures().add(Figures.Of.LOST_FRAMES, walk.lost());
        segment.unpin();
        walk = null;
    }

    /** Abandons the current segment, for example because it cannot be read at all. */
    void skip() {
        if (walk != null) {
            end();
        }
    }
}
