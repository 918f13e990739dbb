package tallyweir.durable;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import tallyweir.durable.StoreRefusedException.Cause;

/**
 * Group commit: one dedicated thread takes all pending batches, writes them as one group with a single force and then
 * completes their futures. Between groups, and while no batch is pending, it runs the store's upkeep at a bounded rate.
 * Any thread may submit.
 */
public final class Committer implements AutoCloseable {
    private static final int UPKEEP_STEP_BYTES = 64 << 10;
    private static final int UPKEEP_REST_FACTOR =
            3; // pause after an upkeep step while writers wait, in multiples of the step's duration
    private static final long IDLE_POLL_INTERVAL_NANOS =
            20_000_000; // between checks for upkeep while nothing is written

    private record PendingBatch(Batch batch, CompletableFuture<Void> answer) {}

    private final Durable store;
    private final long maxPendingBytes;
    private final long minGroupIntervalNanos;
    private final double upkeepBytesPerNano;
    private final StepTimes times;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition wakeUp = lock.newCondition();
    private final Thread thread;
    private ArrayDeque<PendingBatch> pendingBatches = new ArrayDeque<>();
    private long pendingBytes;
    private boolean closing;
    private volatile IOException lastUpkeepFailure;
    private volatile Runnable onFenced;

    /**
     * @param maxPendingBytes maximum bytes of pending batches; a batch beyond that is refused at once
     * @param minGroupIntervalNanos minimum time between two groups in nanoseconds; 0 for no limit but the disk's speed
     * @param upkeepBytesPerSecond maximum bytes per second that upkeep reads and writes
     */
    public Committer(Durable store, long maxPendingBytes, long minGroupIntervalNanos, long upkeepBytesPerSecond) {
        this(store, maxPendingBytes, minGroupIntervalNanos, upkeepBytesPerSecond, new StepTimes());
    }

    /** Also records how long groups and upkeep steps take. */
    Committer(
            Durable store,
            long maxPendingBytes,
            long minGroupIntervalNanos,
            long upkeepBytesPerSecond,
            StepTimes times) {
        this.store = store;
        this.times = times;
        this.maxPendingBytes = maxPendingBytes;
        this.minGroupIntervalNanos = minGroupIntervalNanos;
        this.upkeepBytesPerNano = upkeepBytesPerSecond / 1e9;
        thread = new Thread(this::run, "durable committer");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Queues a batch and returns at once. The future completes once the batch is on the disk, or exceptionally with a
     * {@link StoreRefusedException}. Its dependent actions may run on the committer's thread and must be short.
     */
    public CompletableFuture<Void> submit(Batch batch) {
        CompletableFuture<Void> answer = new CompletableFuture<>();
        StoreRefusedException refused = null;
        lock.lock();
        try {
            if (closing) {
                refused = new StoreRefusedException(Cause.CLOSED, "the store is closed");
            } else if (pendingBytes > 0 && pendingBytes + batch.bytes() > maxPendingBytes) {
                refused = new StoreRefusedException(
                        Cause.BUSY,
                        pendingBytes + " bytes are waiting for the disk, the maximum is " + maxPendingBytes);
            } else {
                pendingBytes += batch.bytes();
                pendingBatches.add(new PendingBatch(batch, answer));
                if (pendingBatches.size() == 1) {
                    wakeUp.signal();
                }
            }
        } finally {
            lock.unlock();
        }
        if (refused != null) {
            answer.completeExceptionally(store.figures().countRefusal(refused));
        }
        return answer;
    }

    /** Writes a batch and blocks until it is on the disk. */
    public void write(Batch batch) throws StoreRefusedException {
        try {
            submit(batch).get();
        } catch (ExecutionException | CompletionException e) {
            if (e.getCause() instanceof StoreRefusedException r) {
                throw new StoreRefusedException(r.reason(), r.getMessage(), r);
            }
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StoreRefusedException(Cause.UNKNOWN, "interrupted before the disk confirmed", e);
        }
    }

    /** Sets an action to run once, on the committer's thread, when another process has taken the store over. */
    public void onFenced(Runnable action) {
        onFenced = action;
    }

    /** The failure of the latest upkeep step, or null if that step succeeded. */
    public IOException lastUpkeepFailure() {
        return lastUpkeepFailure;
    }

    private void run() {
        long lastGroupAt = System.nanoTime() - minGroupIntervalNanos;
        long lastUpkeepAt = System.nanoTime();
        long upkeepRestUntil = lastUpkeepAt;
        double allowanceBytes = UPKEEP_STEP_BYTES;
        boolean upkeepPending = true;
        while (true) {
            ArrayDeque<PendingBatch> group = takeGroup(
                    lastGroupAt, upkeepPending && allowanceBytes >= UPKEEP_STEP_BYTES ? 0 : IDLE_POLL_INTERVAL_NANOS);
            if (group == null) {
                return;
            }
            if (onFenced != null && store.isFenced()) {
                onFenced.run();
                onFenced = null;
            }
            if (!group.isEmpty()) {
                lastGroupAt = System.nanoTime();
                commit(group);
                times.record(StepTimes.Step.GROUP, lastGroupAt, System.nanoTime());
            }
            long now = System.nanoTime();
            allowanceBytes =
                    Math.min(4.0 * UPKEEP_STEP_BYTES, allowanceBytes + (now - lastUpkeepAt) * upkeepBytesPerNano);
            lastUpkeepAt = now;
            if (allowanceBytes >= UPKEEP_STEP_BYTES && (group.isEmpty() || now >= upkeepRestUntil)) {
                upkeepPending = upkeep();
                times.record(StepTimes.Step.UPKEEP, now, System.nanoTime());
                allowanceBytes -= upkeepPending ? UPKEEP_STEP_BYTES : 0;
                upkeepRestUntil = System.nanoTime() + UPKEEP_REST_FACTOR * (System.nanoTime() - now);
            }
        }
    }

    private boolean upkeep() {
        try {
            boolean worked = store.upkeep(UPKEEP_STEP_BYTES);
            lastUpkeepFailure = null;
            return worked;
        } catch (IOException e) {
            lastUpkeepFailure = e;
            return false;
        }
    }

    /**
     * Takes all pending batches, not before the minimum interval since the last group. Empty if none came within
     * {@code wait} nanoseconds; null once the committer is closed and nothing is pending.
     */
    private ArrayDeque<PendingBatch> takeGroup(long lastGroupAt, long maxWaitNanos) {
        lock.lock();
        try {
            if (pendingBatches.isEmpty() && !closing && maxWaitNanos > 0) {
                wakeUp.awaitNanos(maxWaitNanos);
            }
            long remainingNanos =
                    pendingBatches.isEmpty() ? 0 : lastGroupAt + minGroupIntervalNanos - System.nanoTime();
            while (remainingNanos > 0 && !closing) {
                wakeUp.awaitNanos(remainingNanos);
                remainingNanos = lastGroupAt + minGroupIntervalNanos - System.nanoTime();
            }
            if (pendingBatches.isEmpty() && closing) {
                return null;
            }
            ArrayDeque<PendingBatch> all = pendingBatches;
            pendingBatches = new ArrayDeque<>();
            return all;
        } catch (InterruptedException e) {
            return new ArrayDeque<>(); // nothing interrupts this thread
        } finally {
            lock.unlock();
        }
    }

    private void commit(ArrayDeque<PendingBatch> group) {
        List<Batch> batches = new ArrayList<>(group.size());
        long bytes = 0;
        for (PendingBatch w : group) {
            batches.add(w.batch);
            bytes += w.batch.bytes();
        }
        List<StoreRefusedException> refused;
        try {
            refused = store.commit(batches);
        } catch (RuntimeException | Error e) {
            group.forEach(w -> w.answer.completeExceptionally(e));
            throw e;
        } finally {
            lock.lock();
            pendingBytes -= bytes;
            lock.unlock();
        }
        // Futures are completed before the next group is taken, so that a caller that writes continuously is part of
        // that group. Completing them concurrently with the next group was measured to halve the group size, and with
        // it the writes per second.
        answer(group, refused);
    }

    private static void answer(ArrayDeque<PendingBatch> group, List<StoreRefusedException> refused) {
        int i = 0;
        for (PendingBatch w : group) {
            StoreRefusedException r = refused.get(i++);
            if (r == null) {
                w.answer.complete(null);
            } else {
                w.answer.completeExceptionally(r);
            }
        }
    }

    /** Writes the pending batches and stops the thread. Does not close the store. */
    @Override
    public void close() {
        lock.lock();
        closing = true;
        wakeUp.signalAll();
        lock.unlock();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
