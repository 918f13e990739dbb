package tallyweir.durable;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import tallyweir.durable.StoreRefusedException.Cause;

/**
 * Embedded log-structured key-value store. A batch that {@link #commit} returned without a refusal is on the disk in two
 * copies and is found by every later opening, even if any one file is damaged in between. A batch without
 * acknowledgement is found as a whole or not at all. One thread at a time writes or does upkeep ({@link Committer} is
 * such a thread); any number of threads read concurrently without blocking.
 */
public final class Durable implements AutoCloseable {
    private static final long SWEEP_AT_BOUND_INTERVAL_TENTHS_MS = 10_000; // at most once a second

    private final Log log;
    private final CopyExecutor both;
    private final LongSupplier clock;
    private final Executor background;
    private final StoreCounters figures = new StoreCounters();
    private final List<Closeable> locks = new ArrayList<>();
    private final Map<String, Integer> namespaceNumbers = new HashMap<>();
    private final ConcurrentLinkedQueue<Integer> damagedSegments = new ConcurrentLinkedQueue<>();
    private final Upkeep upkeep;
    private final Scrub scrub;
    private final boolean openedFromSnapshot;
    private Namespace[] namespaces;
    private Compaction compaction;
    private long compactionWrittenBytes;
    private byte[] sweepPosition;
    private long lastSweepAtBoundAt = Long.MIN_VALUE / 2;
    private volatile boolean snapshotInProgress;
    private volatile State state;
    private volatile long retirementCount;
    private volatile boolean closed;

    /**
     * Opens a store, creating it if there is none. Opening always runs recovery.
     *
     * @param first directory of one copy of the log and of the index snapshots
     * @param second directory of the other copy, preferably on another disk
     * @param both how the two copies are written: in turn or concurrently
     * @param segmentBytes maximum segment size, 4,096 to 1 GiB
     * @param sector bytes that the disk writes atomically, 512 to 65,536; must not change once the store exists
     * @param maxDeadShare share of all bytes that may be dead before segments are compacted, 0 to 1 exclusive
     * @param scrubInterval interval between scrubs in tenths of a millisecond, 0 for none
     * @param opened namespaces that may be written; other existing ones can only be read
     * @param seed for the random id of a new store
     * @param clock tenths of a millisecond since 1970; may step back
     * @param background runs long tasks outside the writing thread, such as writing an index snapshot
     * @param disabled disabled defences, for drills only
     * @throws StoreRefusedException with cause IN_USE or NEWER_FORMAT
     * @throws IOException if something needed can be read in neither copy
     */
    public Durable(
            Disk first,
            Disk second,
            CopyExecutor both,
            int segmentBytes,
            int sector,
            double maxDeadShare,
            long scrubInterval,
            List<Namespace> opened,
            long seed,
            LongSupplier clock,
            Executor background,
            Set<Defence> disabled)
            throws IOException {
        this.both = both;
        this.clock = clock;
        this.background = background;
        log = new Log(first, second, both, segmentBytes, sector, disabled, figures);
        upkeep = new Upkeep(maxDeadShare, segmentBytes, scrubInterval, 600_000, clock.getAsLong());
        scrub = new Scrub(log);
        locks.add(first.lock());
        try {
            locks.add(second.lock());
            raiseFence(first, second);
            Opening opening = new Opening(log);
            opening.run(new SplittableRandom(seed).nextLong());
            openedFromSnapshot = opening.fromSnapshot();
            assignNumbers(opened);
            state = buildState(opening.index());
        } catch (IOException | RuntimeException e) {
            log.close();
            unlock();
            throw e;
        }
    }

    /** Raises the fence before the log is read, so that an older holder acknowledges nothing after that. */
    private void raiseFence(Disk first, Disk second) throws IOException {
        if (!log.isEnabled(Defence.FENCE)) {
            return;
        }
        Fence fence = new Fence(log.copies() > 1 ? List.of(first, second) : List.of(first));
        log.fence(fence);
        try {
            fence.increment();
        } catch (StoreRefusedException r) {
            throw r;
        } catch (IOException e) {
            figures.add(StoreCounters.Counter.TURNS_NOT_TAKEN); // the store can still be read; the first write retries
        }
    }

    /** Whether another process has taken the store over; from then on all writes here are refused. */
    public boolean isFenced() {
        return log.isFenced();
    }

    private void assignNumbers(List<Namespace> opened) {
        List<String> names = log.names();
        for (Namespace n : opened) {
            if (!names.contains(n.name())) {
                names.add(n.name());
            }
        }
        namespaces = new Namespace[names.size()];
        for (int i = 0; i < namespaces.length; i++) {
            namespaces[i] = new Namespace(names.get(i), Long.MAX_VALUE, false);
        }
        for (Namespace n : opened) {
            namespaceNumbers.put(n.name(), names.indexOf(n.name()));
            namespaces[names.indexOf(n.name())] = n;
        }
    }

    private State buildState(Index index) {
        long[] used = new long[namespaces.length];
        long[] keys = new long[namespaces.length];
        boolean[] dropOldest = new boolean[1];
        index.forEach((namespace, stamp, segment, length, expires) -> {
            used[namespace] += length;
            keys[namespace]++;
            dropOldest[0] |= namespaces[namespace].dropOldest();
        });
        List<Index.Entry> ages = new ArrayList<>();
        for (Index.Entry e = dropOldest[0] ? index.atOrAfter(new byte[0]) : null; e != null; e = index.after(e.key())) {
            if (namespaces[e.namespace()].dropOldest()) {
                ages.add(new Index.Entry(State.ageKey(e.key(), e.stamp()), e.stamp(), 0, 0, 0, 0));
            }
        }
        ages.sort((a, b) -> Arrays.compareUnsigned(a.key(), b.key()));
        return new State(index, Index.fromSortedEntries(ages), used, keys, log.lastStamp());
    }

    /** The time used for expiry, in tenths of a millisecond since 1970; never behind the last write. */
    public long now() {
        return Math.max(clock.getAsLong(), Stamp.time(state.lastStamp()));
    }

    public StoreCounters figures() {
        return figures;
    }

    /** Whether this opening used an index snapshot. */
    public boolean openedFromSnapshot() {
        return openedFromSnapshot;
    }

    /** Number of openings of the store for writing, including this one. */
    public long openingCount() {
        return log.opening();
    }

    // ---- writing

    /**
     * Writes batches, as many per frame as fit. On return each batch is on the disk or has been refused: the result holds
     * at the batch's position its refusal, or null if it is acknowledged.
     */
    public synchronized List<StoreRefusedException> commit(List<Batch> batches) {
        StoreRefusedException[] answers = new StoreRefusedException[batches.size()];
        for (int from = 0; from < batches.size(); ) {
            int to = from;
            long bytes = 0;
            while (to < batches.size() && (to == from || bytes + batches.get(to).bytes() <= Format.MAX_GROUP_BYTES)) {
                bytes += batches.get(to).bytes();
                to++;
            }
            commitFrame(batches, from, to, Math.min(bytes, Format.MAX_BATCH_BYTES), answers);
            from = to;
        }
        return Arrays.asList(answers);
    }

    /** Writes one batch and returns once it is on the disk. */
    public void commit(Batch batch) throws StoreRefusedException {
        StoreRefusedException answer = commit(List.of(batch)).get(0);
        if (answer != null) {
            throw answer;
        }
    }

    private void commitFrame(List<Batch> batches, int from, int to, long bytes, StoreRefusedException[] answers) {
        try {
            if (closed) {
                throw figures.countRefusal(new StoreRefusedException(Cause.CLOSED, "the store is closed"));
            }
            Group g = new Group(state, log.segmentFor(bytes), namespaces, bytes + 2 * Format.FRAME_HEADER_BYTES);
            long now = now();
            boolean fits = fitBounds(batches, from, to);
            if (fits) {
                g.deferChanges();
            }
            for (int i = from; i < to; i++) {
                answers[i] = fits ? addUnchecked(g, batches.get(i), now) : addChecked(g, batches.get(i), now);
                if (answers[i] != null && answers[i].reason() == Cause.AT_BOUND && maySweepAtBound(now)) {
                    if (g.records() == 0) {
                        sweepAll(now);
                        g = new Group(state, log.segmentFor(bytes), namespaces, bytes + 2 * Format.FRAME_HEADER_BYTES);
                        answers[i] = addChecked(g, batches.get(i), now);
                    } else {
                        lastSweepAtBoundAt = Long.MIN_VALUE / 2; // lets the next group sweep
                    }
                }
            }
            write(g);
            for (int i = from; i < to; i++) {
                if (answers[i] == null) {
                    figures.add(StoreCounters.Counter.BATCHES);
                    figures.add(
                            StoreCounters.Counter.RECORDS, batches.get(i).writes.size());
                    figures.add(
                            StoreCounters.Counter.RECORD_BYTES, batches.get(i).bytes());
                } else {
                    figures.countRefusal(answers[i]);
                }
            }
        } catch (StoreRefusedException r) {
            for (int i = from; i < to; i++) {
                answers[i] = answers[i] == null ? r : answers[i];
            }
        }
    }

    /** Writes a frame to the disk and publishes its state. Deferred index changes are applied while the disk writes. */
    private void write(Group g) throws StoreRefusedException {
        if (g.records() > 0) {
            log.append(g.bytes(log.sector()), g.contentLength(), g::apply);
            upkeep.onWritten(g.contentLength());
            figures.add(StoreCounters.Counter.GROUPS);
        }
        g.applyToSegments(log);
        state = g.state();
    }

    /** Whether no namespace can exceed its bound even if every record is under a new key. */
    private boolean fitBounds(List<Batch> batches, int from, int to) {
        long[] addedBytes = new long[namespaces.length];
        for (int i = from; i < to; i++) {
            for (Batch.Write w : batches.get(i).writes) {
                Integer n = namespaceNumbers.get(w.namespace());
                if (n != null && !w.isDelete()) {
                    addedBytes[n] += Format.RECORD_HEADER_BYTES + w.key().length + w.value().length;
                }
            }
        }
        for (int n = 0; n < addedBytes.length; n++) {
            if (addedBytes[n] > namespaces[n].maxBytes() - state.usedBytes()[n]) {
                return false;
            }
        }
        return true;
    }

    private StoreRefusedException addUnchecked(Group g, Batch b, long now) {
        StoreRefusedException refusal = validate(b);
        for (int i = 0; refusal == null && i < b.writes.size(); i++) {
            Batch.Write w = b.writes.get(i);
            if (w.isDelete()) {
                g.delete(namespaceNumbers.get(w.namespace()), w.key(), now);
            } else {
                g.put(namespaceNumbers.get(w.namespace()), w.key(), w.value(), w.expiresAt(), now);
            }
        }
        return refusal;
    }

    private StoreRefusedException addChecked(Group g, Batch b, long now) {
        StoreRefusedException refusal = validate(b);
        if (refusal != null) {
            return refusal;
        }
        g.setSavepoint();
        long[] usedBefore = new long[namespaces.length];
        Set<Integer> touched = new LinkedHashSet<>();
        long first = Stamp.next(g.lastStamp(), now);
        for (Batch.Write w : b.writes) {
            int n = namespaceNumbers.get(w.namespace());
            if (touched.add(n)) {
                usedBefore[n] = g.usedBytes(n);
            }
            if (w.isDelete()) {
                g.delete(n, w.key(), now);
            } else {
                g.put(n, w.key(), w.value(), w.expiresAt(), now);
            }
        }
        for (int n : touched) {
            while (g.usedBytes(n) > namespaces[n].maxBytes() && g.usedBytes(n) > usedBefore[n]) {
                byte[] oldest = namespaces[n].dropOldest() ? g.oldestKey(n, first) : null;
                if (oldest == null) {
                    g.rollBack();
                    return new StoreRefusedException(
                            Cause.AT_BOUND,
                            "namespace " + namespaces[n].name() + " holds " + usedBefore[n] + " of "
                                    + namespaces[n].maxBytes() + " bytes and would exceed them");
                }
                g.delete(n, oldest, now);
                figures.add(StoreCounters.Counter.DROPPED_OLDEST);
            }
        }
        return null;
    }

    private StoreRefusedException validate(Batch b) {
        String problem = b.bytes() > Format.MAX_BATCH_BYTES
                ? "a batch of " + b.bytes() + " bytes, the maximum is " + Format.MAX_BATCH_BYTES
                : null;
        for (Batch.Write w : b.writes) {
            if (!namespaceNumbers.containsKey(w.namespace())) {
                problem = "namespace " + w.namespace() + " was not opened";
            } else if (w.key().length > Format.MAX_KEY_BYTES) {
                problem = "a key of " + w.key().length + " bytes, the maximum is " + Format.MAX_KEY_BYTES;
            } else if (!w.isDelete() && w.value().length > Format.MAX_VALUE_BYTES) {
                problem = "a value of " + w.value().length + " bytes, the maximum is " + Format.MAX_VALUE_BYTES;
            }
        }
        return problem == null ? null : new StoreRefusedException(Cause.TOO_LONG, problem);
    }

    /** Writes records of another store unchanged, including their stamps. */
    synchronized void importRecords(String namespace, List<StoredRecord> records, long bytes)
            throws StoreRefusedException {
        Group g = new Group(state, log.segmentFor(bytes), namespaces, bytes + 2 * Format.FRAME_HEADER_BYTES);
        int n = namespaceNumbers.get(namespace);
        for (StoredRecord f : records) {
            g.importRecord(n, f);
        }
        write(g);
    }

    // ---- reading

    /** Number of keys in all namespaces, including expired ones not swept yet. */
    public long keyCount() {
        return state.index().size();
    }

    /** Returns the record of a key, or null if there is none or it has expired. Never blocks on a write. */
    public StoredRecord get(String namespace, byte[] key) throws StoreRefusedException {
        while (true) {
            Integer n = namespaceNumbers.get(namespace);
            int number = n != null ? n : log.names().indexOf(namespace);
            Index.Entry e = number < 0 ? null : state.index().get(Index.indexKey(number, key));
            if (e == null || e.expiresAt() != 0 && e.expiresAt() <= now()) {
                return null;
            }
            Segment s = log.segment(e.segment());
            if (s == null || !s.pin()) {
                if (closed) {
                    throw figures.countRefusal(new StoreRefusedException(Cause.CLOSED, "the store is closed"));
                }
                continue; // compacted concurrently: the next attempt finds the record at its new place
            }
            try {
                long second = figures.get(StoreCounters.Counter.SECOND_READS);
                StoredRecord f = View.found(log, s, e, List.of(), figures);
                if (figures.get(StoreCounters.Counter.SECOND_READS) != second) {
                    damagedSegments.add(s.number);
                }
                return f;
            } catch (StoreRefusedException r) {
                damagedSegments.add(s.number);
                throw r;
            } finally {
                s.unpin();
            }
        }
    }

    /** Whether a key exists and has not expired. Looks only at the index, without reading the disk. */
    public boolean contains(String namespace, byte[] key) {
        Integer n = namespaceNumbers.get(namespace);
        Index.Entry e = n == null ? null : state.index().get(Index.indexKey(n, key));
        return e != null && (e.expiresAt() == 0 || e.expiresAt() > now());
    }

    /** Bytes that an opened namespace may still take; expired records not swept yet count as used. */
    public long remainingBytes(String namespace) {
        int n = namespaceNumbers.get(namespace);
        return namespaces[n].maxBytes() - state.usedBytes()[n];
    }

    /** Returns a view of the store as it is now, readable while writes continue. The caller must close it. */
    public View view() {
        while (true) {
            long before = retirementCount;
            State current = state;
            List<Segment> pinned = new ArrayList<>();
            for (Segment s : log.segments()) {
                if (s.pin()) {
                    pinned.add(s);
                }
            }
            if (before == retirementCount) {
                return new View(log, current, pinned, now(), figures);
            }
            pinned.forEach(Segment::unpin);
        }
    }

    /** State of the log and sizes of the namespaces, for operators, in a fixed order. */
    public synchronized Map<String, Object> info() {
        Map<String, Object> info = new java.util.LinkedHashMap<>();
        info.put("store", String.format("%016x", log.storeId()));
        info.put("openings", log.opening());
        info.put("turn", log.turn());
        info.put("opened_from_snapshot", openedFromSnapshot);
        info.put("keys", state.index().size());
        long size = 0;
        long live = 0;
        long tombstones = 0;
        int segments = 0;
        for (Segment s : log.segments()) {
            segments++;
            size += s.endOffset;
            live += s.liveBytes;
            tombstones += s.tombstoneBytes;
        }
        info.put("segments", segments);
        info.put("bytes_of_each_copy", size);
        info.put("live_bytes", live);
        info.put("tombstone_bytes", tombstones);
        info.put("live_share", size == 0 ? 1.0 : Math.round(1_000.0 * (live + tombstones) / size) / 1_000.0);
        List<Map<String, Object>> spaces = new ArrayList<>();
        for (int i = 0; i < namespaces.length; i++) {
            Map<String, Object> of = new java.util.LinkedHashMap<>();
            of.put("namespace", namespaces[i].name());
            of.put("keys", state.keyCounts()[i]);
            of.put("bytes", state.usedBytes()[i]);
            if (namespaces[i].maxBytes() < Long.MAX_VALUE) {
                of.put("bound_bytes", namespaces[i].maxBytes());
                of.put("at_bound", namespaces[i].dropOldest() ? "drop_oldest" : "refuse");
            }
            spaces.add(of);
        }
        info.put("namespaces", spaces);
        return info;
    }

    // ---- upkeep

    /**
     * Does one step of the next job: deletion, repair, compaction, sweep, snapshot or scrub.
     *
     * @param bytes approximate number of bytes to read and write in the step
     * @return whether there was anything to do
     */
    public synchronized boolean upkeep(long bytes) throws IOException {
        if (closed || log.isFenced()) {
            return false;
        }
        long now = now();
        switch (upkeep.next(
                now, log.segments(), log.active(), log.hasRetired(), !damagedSegments.isEmpty(), compaction != null)) {
            case DELETE -> log.deleteRetired();
            case MEND -> repair(damagedSegments.poll());
            case COMPACT -> compact(bytes, now);
            case CHOOSE ->
                compaction = new Compaction(log, upkeep.compactionCandidate(log.segments(), log.active(), false));
            case SWEEP -> upkeep.onSweepStep(sweep((int) Math.max(1, bytes / 256), now));
            case SNAPSHOT -> snapshot();
            case SCRUB -> scrub(bytes);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void repair(int segment) throws IOException {
        damagedSegments.removeIf(d -> d == segment);
        Segment s = log.segment(segment);
        if (s != null) {
            verifySegment(s);
        }
    }

    private void verifySegment(Segment s) throws IOException {
        SegmentReader walk = new SegmentReader(log, s, 0, s.firstFrame, s.endFrame, true);
        while (walk.next()) {
            figures.add(StoreCounters.Counter.SCRUBBED_BYTES, Format.FRAME_HEADER_BYTES + walk.contentLength());
        }
        walk.forceRepairs();
        figures.add(StoreCounters.Counter.LOST_FRAMES, walk.lostFrames());
    }

    private void scrub(long bytes) throws IOException {
        try {
            upkeep.onScrubStep(scrub.step(bytes));
        } catch (IOException e) {
            scrub.skipSegment();
            throw e;
        }
    }

    private void compact(long bytes, long now) throws IOException {
        long before = figures.get(StoreCounters.Counter.BYTES_WRITTEN);
        try {
            Group g = new Group(state, log.segmentFor(bytes), namespaces, bytes);
            boolean finished = compaction.fill(g, bytes, now);
            write(g);
            compactionWrittenBytes += (figures.get(StoreCounters.Counter.BYTES_WRITTEN) - before) / log.copies();
            if (finished) {
                upkeep.onCompacted(compaction.victim().endOffset, compactionWrittenBytes);
                compactionWrittenBytes = 0;
                retire(compaction.victim());
                compaction = null;
            }
        } catch (IOException e) {
            compactionWrittenBytes = 0;
            compaction = null; // restarts once there is space; records already moved stay moved
            throw e;
        }
    }

    private void retire(Segment s) {
        log.retire(s);
        retirementCount++;
        figures.add(StoreCounters.Counter.COMPACTED);
        log.deleteRetired();
    }

    private boolean maySweepAtBound(long now) {
        boolean may = now - lastSweepAtBoundAt >= SWEEP_AT_BOUND_INTERVAL_TENTHS_MS;
        lastSweepAtBoundAt = may ? now : lastSweepAtBoundAt;
        return may;
    }

    private void sweepAll(long now) {
        sweepPosition = null;
        while (sweep(1_000, now)) {
            continue;
        }
    }

    /** Removes expired records among the next keys from the index; returns false after the last key. */
    private boolean sweep(int keys, long now) {
        Group g = new Group(state, null, namespaces, 0);
        Index.Entry e = state.index().atOrAfter(sweepPosition == null ? new byte[0] : sweepPosition);
        int expired = 0;
        for (int i = 0; e != null && i < keys; i++) {
            if (e.expiresAt() != 0 && e.expiresAt() <= now) {
                g.removeFromIndex(e.key());
                expired++;
            }
            e = state.index().after(e.key());
        }
        sweepPosition = e == null ? null : e.key();
        if (expired > 0) {
            g.advanceTime(now);
            g.applyToSegments(log);
            state = g.state();
            figures.add(StoreCounters.Counter.EXPIRED, expired);
        }
        return e != null;
    }

    /** Compacts all segments. */
    public void compactAll() throws IOException {
        compactAll(done -> {});
    }

    /**
     * Rewrites all current records and frees the remaining space; for operators.
     *
     * @param progress called after each segment with the bytes of each copy done so far
     */
    public synchronized void compactAll(LongConsumer progress) throws IOException {
        long done = 0;
        sweepAll(now());
        long endFrame = log.nextFrame();
        log.segmentFor(Integer.MAX_VALUE);
        for (Segment s : log.segments()) {
            if (s.firstFrame < endFrame && s != log.active()) {
                compaction = new Compaction(log, s);
                while (compaction != null) {
                    compact(Format.MAX_GROUP_BYTES, now());
                }
                done += s.endOffset;
                progress.accept(done);
            }
        }
    }

    /**
     * Compares the two copies of all segments and repairs what is damaged in one of them; for operators.
     *
     * @param progress called after each segment with the bytes of each copy done so far
     */
    public synchronized void scrubAll(LongConsumer progress) throws IOException {
        long done = 0;
        for (Segment s : log.segments()) {
            verifySegment(s);
            done += s.endOffset;
            progress.accept(done);
        }
        figures.add(StoreCounters.Counter.SCRUBS);
    }

    /**
     * Requests a scrub to start as soon as no more urgent job is due, regardless of its interval.
     *
     * @return the value of {@link StoreCounters.Counter#SCRUBS} once a complete pass started after this call has finished
     */
    public synchronized long requestScrub() {
        return figures.get(StoreCounters.Counter.SCRUBS) + (upkeep.requestScrub() ? 2 : 1);
    }

    /** Whether the store is closed. */
    public boolean isClosed() {
        return closed;
    }

    /** Bytes that the disk writes atomically. */
    public int sector() {
        return log.sector();
    }

    /** Starts writing a snapshot of the current index in the background, unless one is being written already. */
    public synchronized void snapshot() {
        if (snapshotInProgress || log.isFenced()) {
            return;
        }
        snapshotInProgress = true;
        Map<Integer, IndexSnapshot.SegmentState> segments = new HashMap<>();
        for (Segment s : log.segments()) {
            segments.put(
                    s.number,
                    new IndexSnapshot.SegmentState(
                            s.endFrame, s.endOffset, s.valueCount, s.tombstoneBytes, s.lastTombstoneStamp));
        }
        Log.FrameLocation last = log.lastFrame();
        IndexSnapshot f = new IndexSnapshot(
                log.nextFrame(),
                log.lastStamp(),
                last.segment(),
                last.offset(),
                last.checksum(),
                segments,
                state.index().leaves());
        upkeep.onSnapshot(state.index().size() * 48);
        background.execute(() -> {
            try {
                f.write(log.disk(0), log.storeId());
                figures.add(StoreCounters.Counter.SNAPSHOTS);
            } catch (IOException e) {
                // A snapshot is optional: without it the next opening reads the log.
                figures.add(StoreCounters.Counter.SNAPSHOTS_DISTRUSTED);
            } finally {
                snapshotInProgress = false;
            }
        });
    }

    /** Writes an index snapshot and closes the store. Open views become unusable. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (log.nextFrame() > 1) {
            snapshot();
        }
        abandon();
    }

    /** Closes the store without writing anything more, as a power cut would. Waits for a snapshot being written. */
    public synchronized void abandon() {
        closed = true;
        while (snapshotInProgress) {
            Thread.onSpinWait();
        }
        log.close();
        unlock();
    }

    private void unlock() {
        for (Closeable lock : locks) {
            try {
                lock.close();
            } catch (IOException e) {
                continue; // released when the process ends
            }
        }
        locks.clear();
    }
}
