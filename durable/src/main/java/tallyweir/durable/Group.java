package tallyweir.durable;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Builds one frame and the state that takes effect once the frame is on the disk. The latest batch can be rolled back
 * until another one is added. Used by the writing thread only.
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
    // Fields per segment change: number, values, current values, their bytes, tombstone bytes, latest tombstone stamp.
    private static final int WIDE = 6;
    private long[] segments = new long[WIDE * 16];
    private Group before;
    // State changes deferred until the disk is writing; null if each change is applied at once.
    private List<Runnable> later;

    /** @param to segment for the frame, null if nothing will be written */
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

    /** Defers state changes until {@link #apply}. Only valid if no bound has to be checked and nothing is rolled back. */
    void applyLater() {
        later = new ArrayList<>();
    }

    /** Applies the deferred state changes. */
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

    /** Sets the savepoint for {@link #back}. */
    void mark() {
        before = new Group(this);
    }

    /** Rolls back to the last savepoint. */
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

    /** The frame's buffer, at least as long as the frame rounded up to complete sectors. */
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

    /** Writes a new value under the next stamp. */
    void put(int namespace, byte[] key, byte[] value, long expires, long now) {
        lastStamp = Stamp.next(lastStamp, now);
        place(namespace, key, value, lastStamp, expires);
    }

    /** Rewrites the current value of a key at a new place, with its old stamp. */
    void move(Format.Rec r) {
        place(r.namespace(), r.key(), r.value(), r.stamp(), r.expires());
    }

    /** Writes a record of another store, with its stamp. */
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

    /** Deletes a key; writes a tombstone even if the key does not exist. */
    void delete(int namespace, byte[] key, long now) {
        lastStamp = Stamp.next(lastStamp, now);
        tombstone(namespace, key, lastStamp);
    }

    /** Writes a tombstone with the given stamp; a value with a higher stamp is kept. */
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

    /** Removes a key from the state without writing to the log. */
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
     * Advances the store's time to the time at which a record was removed as expired. The time must not go back behind
     * it, or a later reader whose clock has stepped back would expect the record and not find it.
     */
    void reached(long now) {
        lastStamp = Stamp.next(lastStamp, now);
    }

    /** Does the same on the disk, too: writes a record that drops no segment (number 0) but carries the time. */
    void tellsTime(long now) {
        reached(now);
        dropped(0);
    }

    /** Writes a record that a segment was dropped. */
    void dropped(int segment) {
        write(
                Format.DROPPED,
                0,
                lastStamp,
                0,
                ByteBuffer.allocate(4).putInt(segment).array(),
                null);
    }

    /** Returns the key of a namespace's oldest record if it is older than a stamp, else null. */
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

    /** Applies the changes to the segments' counts; to be called once the frame is on the disk. */
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
