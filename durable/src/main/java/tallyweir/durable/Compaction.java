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
    private final SegmentReader walk;
    private boolean hasMoreFrames;
    private boolean foundExpired;

    Compaction(Log log, Segment victim) throws IOException {
        this.log = log;
        this.victim = victim;
        walk = new SegmentReader(log, victim, 0, victim.firstFrame, victim.endFrame, false);
        hasMoreFrames = walk.next();
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
        foundExpired = false;
        while (hasMoreFrames && g.contentLength() < bytes && read < 4 * bytes) {
            if (walk.frameOffset() > 0) {
                read += walk.contentLength();
                copyFrame(g, now);
            }
            hasMoreFrames = walk.next();
        }
        if (foundExpired) {
            g.writeTime(now);
        }
        if (!hasMoreFrames) {
            walk.forceRepairs();
            g.writeDropped(victim.number);
        }
        return !hasMoreFrames;
    }

    private void copyFrame(Group g, long now) {
        int end = walk.contentIndex() + walk.contentLength();
        for (int at = walk.contentIndex(); at < end; ) {
            Format.RecordView r = new Format.RecordView(walk.buffer(), at);
            if (!r.isIntact(end, log.isEnabled(Defence.CHECKSUM))) {
                return;
            }
            if (r.type() == Format.PUT) {
                copyValue(g, r, walk.contentOffset() + at - walk.contentIndex(), now);
            } else if (r.type() == Format.DELETE) {
                copyTombstone(g, r);
            }
            at += r.length();
        }
    }

    private void copyValue(Group g, Format.RecordView r, long offset, long now) {
        byte[] key = Index.indexKey(r.namespace(), r.key());
        Index.Entry e = g.index().get(key);
        boolean current = e != null && e.segment() == victim.number && e.offset() == offset;
        boolean isExpired = r.expiresAt() != 0 && r.expiresAt() <= now;
        if (current && !isExpired) {
            g.move(r);
            log.figures().add(StoreCounters.Counter.MOVED_BYTES, r.length());
        } else if (isExpired && (current || e == null)) {
            foundExpired = true;
            // Without a tombstone, an older version that never expires would be read again once this one is dropped.
            if (log.isEnabled(Defence.EXPIRY_TOMBSTONE)
                    && Upkeep.mayHideOlderValue(r.stamp(), victim, log.segments())) {
                g.tombstone(r.namespace(), r.key(), r.stamp());
            } else if (current) {
                g.removeFromIndex(key);
            }
            log.figures().add(StoreCounters.Counter.EXPIRED, current ? 1 : 0);
        }
    }

    private void copyTombstone(Group g, Format.RecordView r) {
        Index.Entry e = g.index().get(Index.indexKey(r.namespace(), r.key()));
        if ((e == null || e.stamp() < r.stamp()) && Upkeep.mayHideOlderValue(r.stamp(), victim, log.segments())) {
            g.tombstone(r.namespace(), r.key(), r.stamp());
        }
    }
}
