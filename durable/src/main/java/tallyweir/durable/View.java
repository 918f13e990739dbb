package tallyweir.durable;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;

/**
 * A consistent read view of the store at one instant; writes continue meanwhile. Segments compacted away after that keep
 * their files until the view is closed. Thread-safe.
 */
public final class View implements AutoCloseable {
    private final Log log;
    private final State state;
    private final List<Segment> pinned;
    private final long now;
    private final List<String> names;
    private final StoreCounters figures;
    private boolean closed;

    View(Log log, State state, List<Segment> pinned, long now, StoreCounters figures) {
        this.log = log;
        this.state = state;
        this.pinned = pinned;
        this.now = now;
        this.names = List.copyOf(log.names());
        this.figures = figures;
    }

    /** The names of all namespaces that have ever been written. */
    public List<String> namespaces() {
        return names;
    }

    /** Number of records of a namespace, including expired ones not swept yet. */
    public long keyCount(String namespace) {
        int n = names.indexOf(namespace);
        return n < 0 || n >= state.keyCounts().length ? 0 : state.keyCounts()[n];
    }

    /** Bytes of the records of a namespace, including expired ones not swept yet. */
    public long usedBytes(String namespace) {
        int n = names.indexOf(namespace);
        return n < 0 || n >= state.usedBytes().length ? 0 : state.usedBytes()[n];
    }

    /** Returns the record of a key, or null if there is none or it has expired. */
    public StoredRecord get(String namespace, byte[] key) throws StoreRefusedException {
        int n = names.indexOf(namespace);
        Index.Entry e = n < 0 ? null : state.index().get(Index.indexKey(n, key));
        return e == null || isExpired(e) ? null : found(e);
    }

    private boolean isExpired(Index.Entry e) {
        return e.expiresAt() != 0 && e.expiresAt() <= now;
    }

    private StoredRecord found(Index.Entry e) throws StoreRefusedException {
        return found(log, log.segment(e.segment()), e, pinned, figures);
    }

    static StoredRecord found(Log log, Segment s, Index.Entry e, List<Segment> pinned, StoreCounters figures)
            throws StoreRefusedException {
        Segment of = s;
        for (int i = 0; of == null && i < pinned.size(); i++) {
            of = pinned.get(i).number == e.segment() ? pinned.get(i) : null;
        }
        Format.RecordView r = of == null ? null : log.read(of, e);
        if (r == null) {
            throw figures.countRefusal(new StoreRefusedException(
                    StoreRefusedException.Cause.DAMAGED,
                    "a record of segment " + e.segment() + " at " + e.offset() + " can be read in neither copy"));
        }
        return new StoredRecord(r.key(), r.value(), r.stamp(), r.expiresAt());
    }

    /**
     * Iterates over the records of a namespace in key order (unsigned bytes), from {@code from} inclusive to {@code to}
     * exclusive, or to the end if {@code to} is null. {@code next} throws for a record that can be read in neither
     * copy; calling it again returns the following record.
     */
    public Iterator<StoredRecord> range(String namespace, byte[] from, byte[] to) {
        int n = names.indexOf(namespace);
        byte[] end = to == null ? null : Index.indexKey(n, to);
        return new Iterator<>() {
            private Index.Entry e = n < 0 ? null : seek(state.index().atOrAfter(Index.indexKey(n, from)));

            private Index.Entry seek(Index.Entry at) {
                Index.Entry next = at;
                while (next != null && isExpired(next)) {
                    next = state.index().after(next.key());
                }
                return next == null
                                || next.namespace() != n
                                || end != null && Arrays.compareUnsigned(next.key(), end) >= 0
                        ? null
                        : next;
            }

            @Override
            public boolean hasNext() {
                return e != null;
            }

            @Override
            public StoredRecord next() {
                if (e == null) {
                    throw new NoSuchElementException();
                }
                Index.Entry here = e;
                e = seek(state.index().after(here.key()));
                return read(here);
            }
        };
    }

    /**
     * Iterates, in the order of writing, over the records of a namespace written from {@code from} inclusive to
     * {@code to} exclusive, both in tenths of a millisecond since 1970. Holds the index entries of all matches in
     * memory.
     */
    public Iterator<StoredRecord> writtenBetween(String namespace, long from, long to) {
        int n = names.indexOf(namespace);
        long first = Stamp.lowestAt(from);
        long end = Stamp.lowestAt(to);
        List<Index.Entry> matches = new ArrayList<>();
        for (Index.Entry e = n < 0 ? null : state.index().atOrAfter(Index.indexKey(n, new byte[0]));
                e != null && e.namespace() == n;
                e = state.index().after(e.key())) {
            if (e.stamp() >= first && e.stamp() < end && !isExpired(e)) {
                matches.add(e);
            }
        }
        matches.sort(Comparator.comparingLong(Index.Entry::stamp));
        Iterator<Index.Entry> in = matches.iterator();
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return in.hasNext();
            }

            @Override
            public StoredRecord next() {
                return read(in.next());
            }
        };
    }

    private StoredRecord read(Index.Entry e) {
        try {
            return found(e);
        } catch (StoreRefusedException r) {
            throw new UncheckedIOException(r);
        }
    }

    @Override
    public synchronized void close() {
        if (!closed) {
            closed = true;
            pinned.forEach(Segment::unpin);
        }
    }
}
