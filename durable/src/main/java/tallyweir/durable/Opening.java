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
    private final Set<Integer> dropped = new HashSet<>();
    private Index index = Index.EMPTY;
    private long nextFrame = 1;
    private long lastStamp;
    private boolean fromSnapshot;
    private Log.Last last = new Log.Last(0, 0, 0);

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
        TreeMap<Integer, Disk.Handle[]> files = files();
        TreeMap<Integer, Head> heads = new TreeMap<>();
        Set<Integer> suspect = new HashSet<>();
        for (Map.Entry<Integer, Disk.Handle[]> f : files.entrySet()) {
            Head head = head(f.getKey(), f.getValue(), suspect);
            if (head != null) {
                heads.put(f.getKey(), head);
            }
        }
        int lastFile = files.isEmpty() ? 0 : files.lastKey();
        if (heads.isEmpty()) {
            log.resume(newId, 1, new ArrayList<>(), lastFile, nextFrame, lastStamp, last);
            takeAway(files, Set.of());
            return;
        }
        Head newest = heads.lastEntry().getValue();
        lastStamp = newest.lastStamp();
        log.resume(
                newest.storeId(),
                newest.opening() + 1,
                new ArrayList<>(newest.names()),
                lastFile,
                nextFrame,
                lastStamp,
                last);
        Map<Integer, Head.Older> older = new HashMap<>();
        newest.older().forEach(o -> older.put(o.segment(), o));
        add(newest.segment(), newest.firstFrame(), newest.lastStamp(), files, suspect);
        IndexFile snapshot = snapshot(older, files, suspect);
        findDropped(log.segment(newest.segment()), older.values(), snapshot);
        for (Head.Older o : newest.older()) {
            if (!dropped.contains(o.segment())) {
                add(o.segment(), o.firstFrame(), o.created(), files, suspect);
            }
        }
        takeAway(files, counting(newest));
        for (Segment s : log.segments()) {
            read(
                    s,
                    older.get(s.number),
                    snapshot == null ? null : snapshot.segments().get(s.number),
                    suspect.contains(s.number));
        }
        if (snapshot != null) {
            forgetGone();
        }
        index.each((namespace, stamp, segment, length, expires) -> {
            Segment s = log.segment(segment);
            s.current++;
            s.live += length;
        });
        log.resume(
                newest.storeId(),
                newest.opening() + 1,
                new ArrayList<>(newest.names()),
                lastFile,
                nextFrame,
                lastStamp,
                last);
    }

    /** Opens all existing segment files; the handle of a missing copy is null. */
    private TreeMap<Integer, Disk.Handle[]> files() throws IOException {
        TreeMap<Integer, Disk.Handle[]> files = new TreeMap<>();
        for (int c = 0; c < log.copies(); c++) {
            for (String name : log.disk(c).names()) {
                int segment = Format.segment(name);
                if (segment > 0 && segment < Integer.MAX_VALUE) {
                    files.computeIfAbsent(segment, s -> new Disk.Handle[2])[c] =
                            log.disk(c).open(name);
                }
            }
        }
        return files;
    }

    private Head head(int segment, Disk.Handle[] files, Set<Integer> suspect) throws IOException {
        Head head = null;
        for (int c = 0; c < log.copies(); c++) {
            Window w = new Window(files[c]);
            int at = w.frame(0, -1, 0, segment, log.has(Defence.CHECKSUM));
            Head h = null;
            if (at >= 0) {
                int length = Format.contentLength(w.buffer(), at, Format.HEAD);
                byte[] content = new byte[length];
                System.arraycopy(w.buffer(), at + Format.FRAME, content, 0, length);
                h = Head.of(content);
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
    private void add(
            int segment, long firstFrame, long created, Map<Integer, Disk.Handle[]> files, Set<Integer> suspect) {
        if (log.segment(segment) != null) {
            return;
        }
        Disk.Handle[] of = files.computeIfAbsent(segment, s -> new Disk.Handle[2]);
        for (int c = 0; c < log.copies(); c++) {
            if (of[c] == null) {
                suspect.add(segment);
                try {
                    of[c] = log.disk(c).create(Format.name(segment));
                    log.forceNames(c);
                    log.figures().add(Figures.Of.FILES_REMADE);
                } catch (IOException e) {
                    log.figures().add(Figures.Of.UNREPAIRED);
                }
            }
        }
        log.add(new Segment(segment, firstFrame, created, of[0], of[1]));
    }

    /** Deletes files that the newest head does not list: incompletely created or compacted away. */
    private void takeAway(Map<Integer, Disk.Handle[]> files, Set<Integer> counting) {
        files.forEach((segment, of) -> {
            if (!counting.contains(segment)) {
                log.retire(new Segment(segment, 0, 0, of[0], of[1]));
            }
        });
        log.deleteRetired();
    }

    private Set<Integer> counting(Head newest) {
        Set<Integer> counting = new HashSet<>(Set.of(newest.segment()));
        newest.older().forEach(o -> counting.add(o.segment()));
        counting.removeAll(dropped);
        return counting;
    }

    private IndexFile snapshot(
            Map<Integer, Head.Older> older, Map<Integer, Disk.Handle[]> files, Set<Integer> suspect) {
        boolean distrust = log.has(Defence.SNAPSHOT_DISTRUST);
        IndexFile f = IndexFile.newest(log.disk(0), log.storeId(), distrust, log.figures());
        if (f == null) {
            return null;
        }
        Head.Older with = older.get(f.lastSegment());
        if (with != null && files.containsKey(f.lastSegment())) {
            add(with.segment(), with.firstFrame(), with.created(), files, suspect);
        }
        if (distrust && !f.fits(log)) {
            log.figures().add(Figures.Of.SNAPSHOTS_DISTRUSTED);
            return null;
        }
        index = Index.of(f.leaves());
        lastStamp = Math.max(lastStamp, f.lastStamp());
        nextFrame = f.nextFrame();
        fromSnapshot = true;
        this.last = new Log.Last(f.lastSegment(), f.lastPlace(), f.lastSum());
        return f;
    }

    /**
     * Finds the segments compacted away since the newest one was created: those the newest has a record of, and those
     * older than the snapshot but missing in it.
     */
    private void findDropped(Segment newest, Iterable<Head.Older> older, IndexFile snapshot) throws IOException {
        IndexFile.Of covered = snapshot == null ? null : snapshot.segments().get(newest.number);
        Walk walk = covered == null
                ? new Walk(log, newest, 0, newest.firstFrame, Long.MAX_VALUE, true)
                : new Walk(log, newest, covered.end(), covered.endFrame(), Long.MAX_VALUE, true);
        while (walk.next()) {
            int end = walk.content() + walk.contentLength();
            for (int at = walk.content(); walk.start() > 0 && at < end; ) {
                Format.Rec r = new Format.Rec(walk.buffer(), at);
                if (!r.whole(end, log.has(Defence.CHECKSUM))) {
                    break;
                }
                if (r.type() == Format.DROPPED && r.keyLength() == 4) {
                    dropped.add(ByteBuffer.wrap(r.key()).getInt());
                }
                at += r.length();
            }
        }
        walk.finish();
        for (Head.Older o : older) {
            if (snapshot != null
                    && o.firstFrame() < snapshot.nextFrame()
                    && !snapshot.segments().containsKey(o.segment())) {
                dropped.add(o.segment());
            }
        }
        for (int gone : dropped) {
            if (log.segment(gone) != null) {
                log.retire(log.segment(gone));
            }
        }
    }

    private void read(Segment s, Head.Older bounds, IndexFile.Of covered, boolean suspect) throws IOException {
        long limit = bounds == null ? Long.MAX_VALUE : bounds.endFrame();
        long place = covered == null ? 0 : covered.end();
        long frame = covered == null ? s.firstFrame : covered.endFrame();
        if (covered != null) {
            s.puts = covered.puts();
            s.tombstones = covered.tombstones();
            s.lastTombstone = covered.lastTombstone();
            if (suspect || shorter(s, place)) {
                Walk again = new Walk(log, s, 0, s.firstFrame, frame, true);
                while (again.next()) {
                    log.figures().add(Figures.Of.FRAMES_READ);
                }
                again.finish();
            }
        }
        Walk walk = new Walk(log, s, place, frame, limit, true);
        while (walk.next()) {
            log.figures().add(Figures.Of.FRAMES_READ);
            if (walk.start() > 0) {
                last = new Log.Last(s.number, walk.start(), walk.sum());
                replay(s, walk);
            }
        }
        walk.finish();
        log.figures()
                .add(
                        Figures.Of.LOST_FRAMES,
                        walk.lost() + (bounds == null ? 0 : Math.max(0, limit - walk.nextFrame())));
        s.endFrame = bounds == null ? walk.nextFrame() : bounds.endFrame();
        s.end = bounds == null ? Math.max(walk.nextPlace(), log.sector()) : bounds.end();
        nextFrame = Math.max(nextFrame, s.endFrame);
    }

    private boolean shorter(Segment s, long end) throws IOException {
        for (int c = 0; c < log.copies(); c++) {
            if (s.copies[c] == null || s.copies[c].size() < end) {
                return true;
            }
        }
        return false;
    }

    private void replay(Segment s, Walk walk) {
        int at = walk.content();
        int end = at + walk.contentLength();
        while (at < end) {
            Format.Rec r = new Format.Rec(walk.buffer(), at);
            if (!r.whole(end, log.has(Defence.CHECKSUM))) {
                return;
            }
            replay(s, r, walk.contentPlace() + at - walk.content());
            at += r.length();
        }
    }

    private void replay(Segment s, Format.Rec r, long place) {
        byte[] key = Index.key(r.namespace(), r.key());
        Index.Entry old = index.get(key);
        boolean newer = old == null || old.stamp() <= r.stamp();
        switch (r.type()) {
            case Format.PUT -> {
                s.puts++;
                if (newer) {
                    index = index.put(new Index.Entry(key, r.stamp(), s.number, (int) place, r.length(), r.expires()));
                }
            }
            case Format.DELETE -> {
                s.tombstones += r.length();
                s.lastTombstone = Math.max(s.lastTombstone, r.stamp());
                if (newer) {
                    index = index.remove(key);
                }
            }
            default -> {} // dropped segments are known already; only the record's stamp is used
        }
        lastStamp = Math.max(lastStamp, r.stamp());
    }

    /** Removes entries that refer to a dropped segment: a record moved elsewhere has been replayed there, others have expired. */
    private void forgetGone() {
        boolean[] any = new boolean[1];
        index.each((namespace, stamp, segment, length, expires) -> any[0] |= log.segment(segment) == null);
        List<Index.Entry> gone = new ArrayList<>();
        if (!any[0]) {
            return;
        }
        for (Index.Entry e = index.atOrAfter(new byte[0]); e != null; e = index.after(e.key())) {
            if (log.segment(e.segment()) == null) {
                gone.add(e);
            }
        }
        for (Index.Entry e : gone) {
            index = index.remove(e.key());
        }
    }
}
