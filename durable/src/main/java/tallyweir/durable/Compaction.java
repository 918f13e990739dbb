package tallyweir.durable;

import java.io.IOException;

/**
 * Copies the live records of one segment to the newest segment, frame by frame, and then drops the segment. It may be
 * interrupted at any point without losing data: the segment is deleted only once a record that drops it is on the disk, in
 * or after the frame with the last record copied from it. Used by the writer's thread only.
 */
final class Compaction {
    private final Log log;
    private final Segment victim;
    private final Walk walk;
    private boolean more;
    private boolean expired;

    Compaction(Log log, Segment victim) throws IOException {
        this.log = log;
        this.victim = victim;
        walk = new Walk(log, victim, 0, victim.firstFrame, victim.endFrame, false);
        more = walk.next();
    }

    Segment victim() {
        return victim;
    }

    /**
     * Adds live records of the next frames to a group until it holds about the given number of bytes. Returns true once the
     * whole segment has been read and the group contains the record that drops it.
     */
    boolean fill(Group g, long bytes, long now) throws IOException {
        long read = 0;
        expired = false;
        while (more && g.contentLength() < bytes && read < 4 * bytes) {
            if (walk.start() > 0) {
                read += walk.contentLength();
                frame(g, now);
            }
            more = walk.next();
        }
        if (expired) {
            g.tellsTime(now);
        }
        if (!more) {
            walk.finish();
            g.dropped(victim.number);
        }
        return !more;
    }

    private void frame(Group g, long now) {
        int end = walk.content() + walk.contentLength();
        for (int at = walk.content(); at < end; ) {
            Format.Rec r = new Format.Rec(walk.buffer(), at);
            if (!r.whole(end, log.has(Defence.CHECKSUM))) {
                return;
            }
            if (r.type() == Format.PUT) {
                value(g, r, walk.contentPlace() + at - walk.content(), now);
            } else if (r.type() == Format.DELETE) {
                tombstone(g, r);
            }
            at += r.length();
        }
    }

    private void value(Group g, Format.Rec r, long place, long now) {
        byte[] key = Index.key(r.namespace(), r.key());
        Index.Entry e = g.index().get(key);
        boolean current = e != null && e.segment() == victim.number && e.offset() == place;
        boolean over = r.expires() != 0 && r.expires() <= now;
        if (current && !over) {
            g.move(r);
            log.figures().add(Figures.Of.MOVED_BYTES, r.length());
        } else if (over && (current || e == null)) {
            expired = true;
            // Without a tombstone, an older version that never expires would be read again once this one is dropped.
            if (log.has(Defence.EXPIRY_TOMBSTONE) && Upkeep.needed(r.stamp(), victim, log.segments())) {
                g.tombstone(r.namespace(), r.key(), r.stamp());
            } else if (current) {
                g.forget(key);
            }
            log.figures().add(Figures.Of.EXPIRED, current ? 1 : 0);
        }
    }

    private void tombstone(Group g, Format.Rec r) {
        Index.Entry e = g.index().get(Index.key(r.namespace(), r.key()));
        if ((e == null || e.stamp() < r.stamp()) && Upkeep.needed(r.stamp(), victim, log.segments())) {
            g.tombstone(r.namespace(), r.key(), r.stamp());
        }
    }
}
