package tallyweir.durable;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * One segment of the log: a file in each copy, the same bytes at the same places. The writer alone changes its
 * figures; readers pin it, so that it is not deleted under them.
 */
final class Segment {
    private static final int GONE = Integer.MIN_VALUE;

    final int number;
    /** The number of its first frame. */
    final long firstFrame;
    /** The files, by copy; null where one could be neither opened nor made anew. */
    final Disk.Handle[] copies;
    /** The number after its last frame. */
    long endFrame;
    /** Where the next frame would begin; all before it counts. */
    long end;
    /** The last stamp given before it was started. */
    final long created;
    /** Values in it, current or not. */
    long puts;
    /** Those of them that are the current ones of their keys, */
    long current;
    /** and their bytes. */
    long live;
    /** Bytes of tombstones, */
    long tombstones;
    /** and the highest stamp of one. */
    long lastTombstone;

    private final AtomicInteger pins = new AtomicInteger();

    Segment(int number, long firstFrame, long created, Disk.Handle first, Disk.Handle second) {
        this.number = number;
        this.firstFrame = firstFrame;
        this.created = created;
        copies = new Disk.Handle[] {first, second};
    }

    /** Keeps the files until {@link #unpin}; false if they are gone. */
    boolean pin() {
        return pins.getAndUpdate(p -> p == GONE ? GONE : p + 1) != GONE;
    }

    void unpin() {
        pins.decrementAndGet();
    }

    /** Once nobody holds it nobody gets hold of it again. */
    boolean goneIfUnpinned() {
        return pins.compareAndSet(0, GONE);
    }

    boolean isPinned() {
        return pins.get() > 0;
    }

    /** Whether it may hold a value that is no longer current. */
    boolean hasStale() {
        return puts > current;
    }

    @Override
    public String toString() {
        return "segment " + number;
    }
}
