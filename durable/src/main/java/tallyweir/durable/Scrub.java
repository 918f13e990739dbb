package tallyweir.durable;

import java.io.IOException;

/** Compares both copies of every frame with its checksum, segment after segment, and writes again what is damaged. */
final class Scrub {
    private final Log log;
    private int after;
    private Segment segment;
    private Walk walk;

    Scrub(Log log) {
        this.log = log;
    }

    /** Goes on by about so many bytes; false once the last segment is through. */
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

    /** Gives up the segment in hand, as where it cannot be read at all. */
    void skip() {
        if (walk != null) {
            end();
        }
    }
}
