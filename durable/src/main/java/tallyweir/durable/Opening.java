package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Recovery when the store is opened. The head of the newest segment with a valid head lists the older segments in use
 * and where each ends; all other segment files are deleted. Every valid frame is read from whichever copy has it,
 * rewritten to the other copy if missing there, and its records are replayed. Frames covered by a trusted index snapshot
 * need not be read.
 */
final class Opening {
    private final Log log;
    private final Set<Integer> droppedSegments = new HashSet<>();
    private Index index = Index.EMPTY;
    private long nextFrame = 1;
    private long lastStamp;
    private boolean fromSnapshot;
    private Log.FrameLocation lastFrame = new Log.FrameLocation(0, 0, 0);

    Opening(Log log) {
        this.log = log;
    }

    Index index() {
        return index;
    }

    /** Whether recovery started from an index snapshot. */
    boolean fromSnapshot() {
        return fromSnapshot;
    }

    /** @param newId id for the store if it is new */
    void run(long newId) throws IOException {
        TreeMap<Integer, Disk.Handle[]> files = openFiles();
        TreeMap<Integer, SegmentHead> heads = new TreeMap<>();
        Set<Integer> suspect = new HashSet<>();
        for (Map.Entry<Integer, Disk.Handle[]> f : files.entrySet()) {
            SegmentHead head = readHead(f.getKey(), f.getValue(), suspect);
            if (head != null) {
                heads.put(f.getKey(), head);
            }
        }
        int lastFile = files.isEmpty() ? 0 : files.lastKey();
        if (heads.isEmpty()) {
            log.resume(newId, 1, new ArrayList<>(), lastFile, nextFrame, lastStamp, lastFrame);
            deleteUnused(files, Set.of());
            return;
        }
        SegmentHead newest = heads.lastEntry().getValue();
        lastStamp = newest.lastStamp();
        log.resume(
                newest.storeId(),
                newest.openingNumber() + 1,
                new ArrayList<>(newest.namespaceNames()),
                lastFile,
                nextFrame,
                lastStamp,
                lastFrame);
        Map<Integer, SegmentHead.OlderSegment> older = new HashMap<>();
        newest.olderSegments().forEach(o -> older.put(o.segment(), o));
        addSegment(newest.segment(), newest.firstFrame(), newest.lastStamp(), files, suspect);
        IndexSnapshot snapshot = snapshot(older, files, suspect);
        findDropped(log.segment(newest.segment()), older.values(), snapshot);
        for (SegmentHead.OlderSegment o : newest.olderSegments()) {
            if (!droppedSegments.contains(o.segment())) {
                addSegment(o.segment(), o.firstFrame(), o.createdStamp(), files, suspect);
            }
        }
        deleteUnused(files, usedSegments(newest));
        for (Segment s : log.segments()) {
            read(
                    s,
                    older.get(s.number),
                    snapshot == null ? null : snapshot.segments().get(s.number),
                    suspect.contains(s.number));
        }
        if (snapshot != null) {
            removeEntriesOfDroppedSegments();
        }
        index.forEach((namespace, stamp, segment, length, expires) -> {
            Segment s = log.segment(segment);
            s.currentCount++;
            s.liveBytes += length;
        });
        log.resume(
                newest.storeId(),
                newest.openingNumber() + 1,
                new ArrayList<>(newest.namespaceNames()),
                lastFile,
                nextFrame,
                lastStamp,
                lastFrame);
    }

    /** Opens all existing segment files; the handle of a missing copy is null. */
    private TreeMap<Integer, Disk.Handle[]> openFiles() throws IOException {
        TreeMap<Integer, Disk.Handle[]> files = new TreeMap<>();
        for (int c = 0; c < log.copies(); c++) {
            for (String name : log.disk(c).fileNames()) {
                int segment = Format.segmentNumber(name);
                if (segment > 0 && segment < Integer.MAX_VALUE) {
                    files.computeIfAbsent(segment, s -> new Disk.Handle[2])[c] =
                            log.disk(c).open(name);
                }
            }
        }
        return files;
    }

    private SegmentHead readHead(int segment, Disk.Handle[] files, Set<Integer> suspect) throws IOException {
        SegmentHead head = null;
        for (int c = 0; c < log.copies(); c++) {
            FrameBuffer w = new FrameBuffer(files[c]);
            int at = w.loadFrame(0, -1, 0, segment, log.isEnabled(Defence.CHECKSUM));
            SegmentHead h = null;
            if (at >= 0) {
                int length = Format.contentLength(w.buffer(), at, Format.HEAD_FRAME);
                byte[] content = new byte[length];
                System.arraycopy(w.buffer(), at + Format.FRAME_HEADER_BYTES, content, 0, length);
                h = SegmentHead.parse(content);
            }
            if (h == null) {
                suspect.add(segment);
            } else if (head == null && h.segment() == segment) {
                head = h;
            }
        }
        return head;
    }

    /** Adds a segment that is in use; a missing copy is created empty, to be filled by the repair. */
    private void addSegment(
            int segment, long firstFrame, long created, Map<Integer, Disk.Handle[]> files, Set<Integer> suspect) {
        if (log.segment(segment) != null) {
            return;
        }
        Disk.Handle[] of = files.computeIfAbsent(segment, s -> new Disk.Handle[2]);
        for (int c = 0; c < log.copies(); c++) {
            if (of[c] == null) {
                suspect.add(segment);
                try {
                    of[c] = log.disk(c).create(Format.segmentFileName(segment));
                    log.forceNames(c);
                    log.figures().add(StoreCounters.Counter.FILES_REMADE);
                } catch (IOException e) {
                    log.figures().add(StoreCounters.Counter.UNREPAIRED);
                }
            }
        }
        log.add(new Segment(segment, firstFrame, created, of[0], of[1]));
    }

    /** Deletes files that the newest head does not list: incompletely created or compacted away. */
    private void deleteUnused(Map<Integer, Disk.Handle[]> files, Set<Integer> used) {
        files.forEach((segment, of) -> {
            if (!used.contains(segment)) {
                log.retire(new Segment(segment, 0, 0, of[0], of[1]));
            }
        });
        log.deleteRetired();
    }

    private Set<Integer> usedSegments(SegmentHead newest) {
        Set<Integer> used = new HashSet<>(Set.of(newest.segment()));
        newest.olderSegments().forEach(o -> used.add(o.segment()));
        used.removeAll(droppedSegments);
        return used;
    }

    private IndexSnapshot snapshot(
            Map<Integer, SegmentHead.OlderSegment> older, Map<Integer, Disk.Handle[]> files, Set<Integer> suspect) {
        boolean distrust = log.isEnabled(Defence.SNAPSHOT_DISTRUST);
        IndexSnapshot f = IndexSnapshot.readNewest(log.disk(0), log.storeId(), distrust, log.figures());
        if (f == null) {
            return null;
        }
        SegmentHead.OlderSegment lastCovered = older.get(f.lastSegment());
        if (lastCovered != null && files.containsKey(f.lastSegment())) {
            addSegment(lastCovered.segment(), lastCovered.firstFrame(), lastCovered.createdStamp(), files, suspect);
        }
        if (distrust && !f.matchesLog(log)) {
            log.figures().add(StoreCounters.Counter.SNAPSHOTS_DISTRUSTED);
            return null;
        }
        index = Index.fromLeaves(f.leaves());
        lastStamp = Math.max(lastStamp, f.lastStamp());
        nextFrame = f.nextFrame();
        fromSnapshot = true;
        this.lastFrame = new Log.FrameLocation(f.lastSegment(), f.lastOffset(), f.lastChecksum());
        return f;
    }

    /**
     * Finds the segments compacted away since the newest one was created: those the newest has a record of, and those
     * older than the snapshot but missing in it.
     */
    private void findDropped(Segment newest, Iterable<SegmentHead.OlderSegment> older, IndexSnapshot snapshot)
            throws IOException {
        IndexSnapshot.SegmentState covered =
                snapshot == null ? null : snapshot.segments().get(newest.number);
        SegmentReader walk = covered == null
                ? new SegmentReader(log, newest, 0, newest.firstFrame, Long.MAX_VALUE, true)
                : new SegmentReader(log, newest, covered.endOffset(), covered.endFrame(), Long.MAX_VALUE, true);
        while (walk.next()) {
            int end = walk.contentIndex() + walk.contentLength();
            for (int at = walk.contentIndex(); walk.frameOffset() > 0 && at < end; ) {
                Format.RecordView r = new Format.RecordView(walk.buffer(), at);
                if (!r.isIntact(end, log.isEnabled(Defence.CHECKSUM))) {
                    break;
                }
                if (r.type() == Format.DROP_SEGMENT && r.keyLength() == 4) {
                    droppedSegments.add(ByteBuffer.wrap(r.key()).getInt());
                }
                at += r.length();
            }
        }
        walk.forceRepairs();
        for (SegmentHead.OlderSegment o : older) {
            if (snapshot != null
                    && o.firstFrame() < snapshot.nextFrame()
                    && !snapshot.segments().containsKey(o.segment())) {
                droppedSegments.add(o.segment());
            }
        }
        for (int gone : droppedSegments) {
            if (log.segment(gone) != null) {
                log.retire(log.segment(gone));
            }
        }
    }

    private void read(Segment s, SegmentHead.OlderSegment bounds, IndexSnapshot.SegmentState covered, boolean suspect)
            throws IOException {
        long limit = bounds == null ? Long.MAX_VALUE : bounds.endFrame();
        long place = covered == null ? 0 : covered.endOffset();
        long frame = covered == null ? s.firstFrame : covered.endFrame();
        if (covered != null) {
            s.valueCount = covered.valueCount();
            s.tombstoneBytes = covered.tombstoneBytes();
            s.lastTombstoneStamp = covered.lastTombstoneStamp();
            if (suspect || isShorterThan(s, place)) {
                SegmentReader again = new SegmentReader(log, s, 0, s.firstFrame, frame, true);
                while (again.next()) {
                    log.figures().add(StoreCounters.Counter.FRAMES_READ);
                }
                again.forceRepairs();
            }
        }
        SegmentReader walk = new SegmentReader(log, s, place, frame, limit, true);
        while (walk.next()) {
            log.figures().add(StoreCounters.Counter.FRAMES_READ);
            if (walk.frameOffset() > 0) {
                lastFrame = new Log.FrameLocation(s.number, walk.frameOffset(), walk.checksum());
                replay(s, walk);
            }
        }
        walk.forceRepairs();
        log.figures()
                .add(
                        StoreCounters.Counter.LOST_FRAMES,
                        walk.lostFrames() + (bounds == null ? 0 : Math.max(0, limit - walk.nextFrame())));
        s.endFrame = bounds == null ? walk.nextFrame() : bounds.endFrame();
        s.endOffset = bounds == null ? Math.max(walk.nextOffset(), log.sector()) : bounds.endOffset();
        nextFrame = Math.max(nextFrame, s.endFrame);
    }

    private boolean isShorterThan(Segment s, long end) throws IOException {
        for (int c = 0; c < log.copies(); c++) {
            if (s.copies[c] == null || s.copies[c].size() < end) {
                return true;
            }
        }
        return false;
    }

    private void replay(Segment s, SegmentReader walk) {
        int at = walk.contentIndex();
        int end = at + walk.contentLength();
        while (at < end) {
            Format.RecordView r = new Format.RecordView(walk.buffer(), at);
            if (!r.isIntact(end, log.isEnabled(Defence.CHECKSUM))) {
                return;
            }
            replay(s, r, walk.contentOffset() + at - walk.contentIndex());
            at += r.length();
        }
    }

    private void replay(Segment s, Format.RecordView r, long place) {
        byte[] key = Index.indexKey(r.namespace(), r.key());
        Index.Entry old = index.get(key);
        boolean newer = old == null || old.stamp() <= r.stamp();
        switch (r.type()) {
            case Format.PUT -> {
                s.valueCount++;
                if (newer) {
                    index = index.put(
                            new Index.Entry(key, r.stamp(), s.number, (int) place, r.length(), r.expiresAt()));
                }
            }
            case Format.DELETE -> {
                s.tombstoneBytes += r.length();
                s.lastTombstoneStamp = Math.max(s.lastTombstoneStamp, r.stamp());
                if (newer) {
                    index = index.remove(key);
                }
            }
            default -> {} // dropped segments are known already; only the record's stamp is used
        }
        lastStamp = Math.max(lastStamp, r.stamp());
    }

    /** Removes entries that refer to a dropped segment: a record moved elsewhere has been replayed there, others have expired. */
    private void removeEntriesOfDroppedSegments() {
        boolean[] any = new boolean[1];
        index.forEach((namespace, stamp, segment, length, expires) -> any[0] |= log.segment(segment) == null);
        List<Index.Entry> stale = new ArrayList<>();
        if (!any[0]) {
            return;
        }
        for (Index.Entry e = index.atOrAfter(new byte[0]); e != null; e = index.after(e.key())) {
            if (log.segment(e.segment()) == null) {
                stale.add(e);
            }
        }
        for (Index.Entry e : stale) {
            index = index.remove(e.key());
        }
    }
}
