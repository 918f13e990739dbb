package tallyweir.durable;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * One segment of the log: a file in each copy with the same bytes at the same offsets. Only the writer changes its statistics.
 * Readers pin a segment so that its files are not deleted while they read it.
 */
final class Segment {
    private static final int DELETED = Integer.MIN_VALUE;

    final int number;
    /** The number of its first frame. */
    final long firstFrame;
    /** The files, by copy; null where a file could neither be opened nor recreated. */
    final Disk.Handle[] copies;
    /** The number after its last frame. */
    long endFrame;
    /** The offset at which the next frame would begin; everything before it is part of the store. */
    long endOffset;
    /** The last stamp given before the segment was started. */
    final long createdStamp;
    /** The number of values in the segment, current or not. */
    long valueCount;
    /** The number of values that are the current ones of their keys. */
    long currentCount;
    /** The bytes of the current values. */
    long liveBytes;
    /** The bytes of tombstones in the segment. */
    long tombstoneBytes;
    /** The highest stamp of a tombstone in the segment. */
    long lastTombstoneStamp;

    private final AtomicInteger pins = new AtomicInteger();

    Segment(int number, long firstFrame, long created, Disk.Handle first, Disk.Handle second) {
        this.number = number;
        this.firstFrame = firstFrame;
        this.createdStamp = created;
        copies = new Disk.Handle[] {first, second};
    }

    /** Prevents deletion of the files until {@link #unpin}; false if they are being deleted already. */
    boolean pin() {
        return pins.getAndUpdate(p -> p == DELETED ? DELETED : p + 1) != DELETED;
    }

    void unpin() {
        pins.decrementAndGet();
    }

    /** Marks the segment as deleted if it is not pinned; from then on {@link #pin} fails. Returns whether it did so. */
    boolean markDeletedIfUnpinned() {
        return pins.compareAndSet(0, DELETED);
    }

    boolean isPinned() {
        return pins.get() > 0;
    }

    /** Whether the segment holds a value that is no longer current. */
    boolean hasStaleValues() {
        return valueCount > currentCount;
    }

    @Override
    public String toString() {
        return "segment " + number;
    }
}
