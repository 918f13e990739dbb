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
    private final Segment target;
    private final Namespace[] namespaces;
    private Index index;
    private Index byAge;
    private long[] usedBytes;
    private long[] keyCounts;
    private byte[] bytes;
    private int position = Format.FRAME_HEADER_BYTES;
    private long lastStamp;
    private int records;
    private int segmentChangeCount;
    // Fields per segment change: number, values, current values, their bytes, tombstone bytes, latest tombstone stamp.
    private static final int CHANGE_FIELDS = 6;
    private long[] segmentChanges = new long[CHANGE_FIELDS * 16];
    private Group savepoint;
    // State changes deferred until the disk is writing; null if each change is applied at once.
    private List<Runnable> deferredChanges;

    /** @param target segment for the frame, null if nothing will be written */
    Group(State from, Segment target, Namespace[] namespaces, long room) {
        this.target = target;
        this.namespaces = namespaces;
        lastStamp = from.lastStamp();
        index = from.index();
        byAge = from.byAge();
        usedBytes = from.usedBytes().clone();
        keyCounts = from.keyCounts().clone();
        bytes = new byte[(int) Math.max(4_096, room)];
    }

    private Group(Group g) {
        target = g.target;
        namespaces = g.namespaces;
        index = g.index;
        byAge = g.byAge;
        usedBytes = g.usedBytes.clone();
        keyCounts = g.keyCounts.clone();
        position = g.position;
        lastStamp = g.lastStamp;
        records = g.records;
        segmentChangeCount = g.segmentChangeCount;
    }

    /** Defers state changes until {@link #apply}. Only valid if no bound has to be checked and nothing is rolled back. */
    void deferChanges() {
        deferredChanges = new ArrayList<>();
    }

    /** Applies the deferred state changes. */
    void apply() {
        List<Runnable> deferred = deferredChanges == null ? List.of() : deferredChanges;
        deferredChanges = null;
        deferred.forEach(Runnable::run);
    }

    private void addChange(Runnable of) {
        if (deferredChanges == null) {
            of.run();
        } else {
            deferredChanges.add(of);
        }
    }

    /** Sets the savepoint for {@link #rollBack}. */
    void setSavepoint() {
        savepoint = new Group(this);
    }

    /** Rolls back to the last savepoint. */
    void rollBack() {
        index = savepoint.index;
        byAge = savepoint.byAge;
        usedBytes = savepoint.usedBytes;
        keyCounts = savepoint.keyCounts;
        position = savepoint.position;
        lastStamp = savepoint.lastStamp;
        records = savepoint.records;
        segmentChangeCount = savepoint.segmentChangeCount;
    }

    int records() {
        return records;
    }

    int contentLength() {
        return position - Format.FRAME_HEADER_BYTES;
    }

    long lastStamp() {
        return lastStamp;
    }

    long usedBytes(int namespace) {
        return usedBytes[namespace];
    }

    Index index() {
        return index;
    }

    State state() {
        return new State(index, byAge, usedBytes, keyCounts, lastStamp);
    }

    /** The frame's buffer, at least as long as the frame rounded up to complete sectors. */
    byte[] bytes(int sector) {
        int length = (int) Format.align(position, sector);
        if (bytes.length < length) {
            bytes = Arrays.copyOf(bytes, length);
        }
        return bytes;
    }

    private int write(byte type, int namespace, long stamp, long expires, byte[] key, byte[] value) {
        int length = Format.RECORD_HEADER_BYTES + key.length + (value == null ? 0 : value.length);
        if (position + length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(position + length, bytes.length * 2));
        }
        int from = position;
        position = Format.writeRecord(bytes, position, type, namespace, stamp, expires, key, value);
        records++;
        return from;
    }

    /** Writes a new value under the next stamp. */
    void put(int namespace, byte[] key, byte[] value, long expires, long now) {
        lastStamp = Stamp.next(lastStamp, now);
        writeValue(namespace, key, value, lastStamp, expires);
    }

    /** Rewrites the current value of a key at a new place, with its old stamp. */
    void move(Format.RecordView r) {
        writeValue(r.namespace(), r.key(), r.value(), r.stamp(), r.expiresAt());
    }

    /** Writes a record of another store, with its stamp. */
    void importRecord(int namespace, StoredRecord f) {
        lastStamp = Math.max(lastStamp, f.stamp());
        writeValue(namespace, f.key(), f.value(), f.stamp(), f.expiresAt());
    }

    private void writeValue(int namespace, byte[] key, byte[] value, long stamp, long expires) {
        int from = write(Format.PUT, namespace, stamp, expires, key, value);
        int length = position - from;
        addChange(() -> indexValue(namespace, key, stamp, expires, from, length));
    }

    private void indexValue(int namespace, byte[] key, long stamp, long expires, int from, int length) {
        byte[] k = Index.indexKey(namespace, key);
        removeFromIndex(k);
        index = index.put(new Index.Entry(k, stamp, target.number, (int) (target.endOffset + from), length, expires));
        if (namespaces[namespace].dropOldest()) {
            byAge = byAge.put(new Index.Entry(State.ageKey(k, stamp), stamp, 0, 0, 0, 0));
        }
        usedBytes[namespace] += length;
        keyCounts[namespace]++;
        addChange(target.number, 1, 1, length, 0, 0);
    }

    /** Deletes a key; writes a tombstone even if the key does not exist. */
    void delete(int namespace, byte[] key, long now) {
        lastStamp = Stamp.next(lastStamp, now);
        tombstone(namespace, key, lastStamp);
    }

    /** Writes a tombstone with the given stamp; a value with a higher stamp is kept. */
    void tombstone(int namespace, byte[] key, long stamp) {
        int from = write(Format.DELETE, namespace, stamp, 0, key, null);
        int length = position - from;
        addChange(() -> indexTombstone(namespace, key, stamp, length));
    }

    private void indexTombstone(int namespace, byte[] key, long stamp, int length) {
        byte[] k = Index.indexKey(namespace, key);
        Index.Entry old = index.get(k);
        if (old != null && old.stamp() <= stamp) {
            removeFromIndex(k);
        }
        addChange(target.number, 0, 0, 0, length, stamp);
    }

    /** Removes a key from the state without writing to the log. */
    void removeFromIndex(byte[] key) {
        Index.Entry old = index.get(key);
        if (old == null) {
            return;
        }
        int namespace = old.namespace();
        index = index.remove(key);
        if (namespaces[namespace].dropOldest()) {
            byAge = byAge.remove(State.ageKey(key, old.stamp()));
        }
        usedBytes[namespace] -= old.length();
        keyCounts[namespace]--;
        addChange(old.segment(), 0, -1, -old.length(), 0, 0);
    }

    /**
     * Advances the store's time to the time at which a record was removed as expired. The time must not go back behind
     * it, or a later reader whose clock has stepped back would expect the record and not find it.
     */
    void advanceTime(long now) {
        lastStamp = Stamp.next(lastStamp, now);
    }

    /** Does the same on the disk, too: writes a record that drops no segment (number 0) but carries the time. */
    void writeTime(long now) {
        advanceTime(now);
        writeDropped(0);
    }

    /** Writes a record that a segment was dropped. */
    void writeDropped(int segment) {
        write(
                Format.DROP_SEGMENT,
                0,
                lastStamp,
                0,
                ByteBuffer.allocate(4).putInt(segment).array(),
                null);
    }

    /** Returns the key of a namespace's oldest record if it is older than a stamp, else null. */
    byte[] oldestKey(int namespace, long beforeStamp) {
        Index.Entry e = byAge.atOrAfter(Index.indexKey(namespace, new byte[0]));
        if (e == null || e.namespace() != namespace || e.stamp() >= beforeStamp) {
            return null;
        }
        return Arrays.copyOfRange(e.key(), 10, e.key().length);
    }

    private void addChange(int segment, long puts, long current, long live, long tombstones, long stamp) {
        if ((segmentChangeCount + 1) * CHANGE_FIELDS > segmentChanges.length) {
            segmentChanges = Arrays.copyOf(segmentChanges, segmentChanges.length * 2);
        }
        long[] of = {segment, puts, current, live, tombstones, stamp};
        System.arraycopy(of, 0, segmentChanges, segmentChangeCount * CHANGE_FIELDS, CHANGE_FIELDS);
        segmentChangeCount++;
    }

    /** Applies the changes to the segments' counts; to be called once the frame is on the disk. */
    void applyToSegments(Log log) {
        for (int i = 0; i < segmentChangeCount * CHANGE_FIELDS; i += CHANGE_FIELDS) {
            Segment s = log.segment((int) segmentChanges[i]);
            if (s != null) {
                s.valueCount += segmentChanges[i + 1];
                s.currentCount += segmentChanges[i + 2];
                s.liveBytes += segmentChanges[i + 3];
                s.tombstoneBytes += segmentChanges[i + 4];
                s.lastTombstoneStamp = Math.max(s.lastTombstoneStamp, segmentChanges[i + 5]);
            }
        }
        log.lastStamp(lastStamp);
    }
}
