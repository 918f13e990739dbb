package tallyweir.durable;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One frame being put together, and the state as it will be once the frame is on the disk. What a batch added can be
 * taken back as long as nothing came after it.
 */
final class Group {
    private final Segment to;
    private final Namespace[] namespaces;
    private Index index;
    private Index ages;
    private long[] used;
    private long[] keys;
    private byte[] bytes;
    private int at = Format.FRAME;
    private long lastStamp;
    private int records;
    private int changes;
    // What changes in segments: its number, values, current ones, their bytes, tombstone bytes, a tombstone's stamp.
    private static final int WIDE = 6;
    private long[] segments = new long[WIDE * 16];
    private Group before;
    // Changes of the index that wait until the disk is at work; null where each is made at once.
    private List<Runnable> later;

    /** @param to null where nothing is to be written */
    Group(State from, Segment to, Namespace[] namespaces, long room) {
        this.to = to;
        this.namespaces = namespaces;
        lastStamp = from.lastStamp();
        index = from.index();
        ages = from.ages();
        used = from.used().clone();
        keys = from.keys().clone();
        bytes = new byte[(int) Math.max(4_096, room)];
    }

    private Group(Group g) {
        to = g.to;
        namespaces = g.namespaces;
        index = g.index;
        ages = g.ages;
        used = g.used.clone();
        keys = g.keys.clone();
        at = g.at;
        lastStamp = g.lastStamp;
        records = g.records;
        changes = g.changes;
    }

    /** From here on the state changes only with {@link #apply}: bounds need not be looked at, nothing is taken back. */
    void applyLater() {
        later = new ArrayList<>();
    }

    /** Makes the changes of the state that wait. */
    void apply() {
        List<Runnable> now = later == null ? List.of() : later;
        later = null;
        now.forEach(Runnable::run);
    }

    private void change(Runnable of) {
        if (later == null) {
            of.run();
        } else {
            later.add(of);
        }
    }

    /** Remembers this point. */
    void mark() {
        before = new Group(this);
    }

    /** Goes back to the point remembered last. */
    void back() {
        index = before.index;
        ages = before.ages;
        used = before.used;
        keys = before.keys;
        at = before.at;
        lastStamp = before.lastStamp;
        records = before.records;
        changes = before.changes;
    }

    int records() {
        return records;
    }

    int contentLength() {
        return at - Format.FRAME;
    }

    long lastStamp() {
        return lastStamp;
    }

    long used(int namespace) {
        return used[namespace];
    }

    Index index() {
        return index;
    }

    State state() {
        return new State(index, ages, used, keys, lastStamp);
    }

    /** The buffer, as long as the sectors that the frame takes at the least. */
    byte[] bytes(int sector) {
        int length = (int) Format.align(at, sector);
        if (bytes.length < length) {
            bytes = Arrays.copyOf(bytes, length);
        }
        return bytes;
    }

    private int write(byte type, int namespace, long stamp, long expires, byte[] key, byte[] value) {
        int length = Format.RECORD + key.length + (value == null ? 0 : value.length);
        if (at + length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(at + length, bytes.length * 2));
        }
        int from = at;
        at = Format.record(bytes, at, type, namespace, stamp, expires, key, value);
        records++;
        return from;
    }

    /** A new value. */
    void put(int namespace, byte[] key, byte[] value, long expires, long now) {
        lastStamp = Stamp.next(lastStamp, now);
        place(namespace, key, value, lastStamp, expires);
    }

    /** The current value of a key again, at a new place. */
    void move(Format.Rec r) {
        place(r.namespace(), r.key(), r.value(), r.stamp(), r.expires());
    }

    /** A record of another store. */
    void take(int namespace, Found f) {
        lastStamp = Math.max(lastStamp, f.stamp());
        place(namespace, f.key(), f.value(), f.stamp(), f.expires());
    }

    private void place(int namespace, byte[] key, byte[] value, long stamp, long expires) {
        int from = write(Format.PUT, namespace, stamp, expires, key, value);
        int length = at - from;
        change(() -> placed(namespace, key, stamp, expires, from, length));
    }

    private void placed(int namespace, byte[] key, long stamp, long expires, int from, int length) {
        byte[] k = Index.key(namespace, key);
        forget(k);
        index = index.put(new Index.Entry(k, stamp, to.number, (int) (to.end + from), length, expires));
        if (namespaces[namespace].dropOldest()) {
            ages = ages.put(new Index.Entry(State.age(k, stamp), stamp, 0, 0, 0, 0));
        }
        used[namespace] += length;
        keys[namespace]++;
        change(to.number, 1, 1, length, 0, 0);
    }

    /** Deletes a key; a tombstone is written whether it is there or not. */
    void delete(int namespace, byte[] key, long now) {
        lastStamp = Stamp.next(lastStamp, now);
        tombstone(namespace, key, lastStamp);
    }

    /** The tombstone of a stamp; what has a higher one stays. */
    void tombstone(int namespace, byte[] key, long stamp) {
        int from = write(Format.DELETE, namespace, stamp, 0, key, null);
        int length = at - from;
        change(() -> deleted(namespace, key, stamp, length));
    }

    private void deleted(int namespace, byte[] key, long stamp, int length) {
        byte[] k = Index.key(namespace, key);
        Index.Entry old = index.get(k);
        if (old != null && old.stamp() <= stamp) {
            forget(k);
        }
        change(to.number, 0, 0, 0, length, stamp);
    }

    /** Takes a key out of the state, without a word in the log. */
    void forget(byte[] key) {
        Index.Entry old = index.get(key);
        if (old == null) {
            return;
        }
        int namespace = old.namespace();
        index = index.remove(key);
        if (namespaces[namespace].dropOldest()) {
            ages = ages.remove(State.age(key, old.stamp()));
        }
        used[namespace] -= old.length();
        keys[namespace]--;
        change(old.segment(), 0, -1, -old.length(), 0, 0);
    }

    /**
     * Something went because its time was over: the store's time does not go back behind that, or the same record would be
     * missed by a later reader whose clock has stepped back.
     */
    void reached(long now) {
        lastStamp = Stamp.next(lastStamp, now);
    }

    /** The same on the disk, too: a record of no segment that carries the time. */
    void tellsTime(long now) {
        reached(now);
        dropped(0);
    }

    /** Says that a segment is gone. */
    void dropped(int segment) {
        write(
                Format.DROPPED,
                0,
                lastStamp,
                0,
                ByteBuffer.allocate(4).putInt(segment).array(),
                null);
    }

    /** The key of the oldest record of a namespace, if it is older than a stamp; else null. */
    byte[] oldest(int namespace, long than) {
        Index.Entry e = ages.atOrAfter(Index.key(namespace, new byte[0]));
        if (e == null || e.namespace() != namespace || e.stamp() >= than) {
            return null;
        }
        return Arrays.copyOfRange(e.key(), 10, e.key().length);
    }

    private void change(int segment, long puts, long current, long live, long tombstones, long stamp) {
        if ((changes + 1) * WIDE > segments.length) {
            segments = Arrays.copyOf(segments, segments.length * 2);
        }
        long[] of = {segment, puts, current, live, tombstones, stamp};
        System.arraycopy(of, 0, segments, changes * WIDE, WIDE);
        changes++;
    }

    /** Carries what has changed over to the segments; to be called once the frame is on the disk. */
    void settle(Log log) {
        for (int i = 0; i < changes * WIDE; i += WIDE) {
            Segment s = log.segment((int) segments[i]);
            if (s != null) {
                s.puts += segments[i + 1];
                s.current += segments[i + 2];
                s.live += segments[i + 3];
                s.tombstones += segments[i + 4];
                s.lastTombstone = Math.max(s.lastTombstone, segments[i + 5]);
            }
        }
        log.lastStamp(lastStamp);
    }
}
