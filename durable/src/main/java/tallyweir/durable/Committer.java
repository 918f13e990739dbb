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
import tallyweir.durable.Refused.Cause;

/**
 * Group commit: one dedicated thread takes all pending batches, writes them as one group with a single force and then
 * completes their futures. Between groups, and while no batch is pending, it runs the store's upkeep at a bounded rate.
 * Any thread may submit.
 */
public final class Committer implements AutoCloseable {
    private static final int STEP = 64 << 10;
    private static final int REST =
            3; // pause after an upkeep step while writers wait, in multiples of the step's duration
    private static final long IDLE_LOOK = 20_000_000; // between checks for upkeep while nothing is written

    private record Waiting(Batch batch, CompletableFuture<Void> answer) {}

    private final Durable store;
    private final long pendingMost;
    private final long forceEvery;
    private final double upkeepRate;
    private final Times times;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition news = lock.newCondition();
    private final Thread thread;
    private ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private long pending;
    private boolean closing;
    private volatile IOException upkeepFailed;
    private volatile Runnable onFenced;

    /**
     * @param pendingMost maximum bytes of pending batches; a batch beyond that is refused at once
     * @param forceEvery minimum time between two groups in nanoseconds; 0 for no limit but the disk's speed
     * @param upkeepBytesPerSecond maximum bytes per second that upkeep reads and writes
     */
    public Committer(Durable store, long pendingMost, long forceEvery, long upkeepBytesPerSecond) {
        this(store, pendingMost, forceEvery, upkeepBytesPerSecond, new Times());
    }

    /** Also records how long groups and upkeep steps take. */
    Committer(Durable store, long pendingMost, long forceEvery, long upkeepBytesPerSecond, Times times) {
        this.store = store;
        this.times = times;
        this.pendingMost = pendingMost;
        this.forceEvery = forceEvery;
        this.upkeepRate = upkeepBytesPerSecond / 1e9;
        thread = new Thread(this::run, "durable committer");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Queues a batch and returns at once. The future completes once the batch is on the disk, or exceptionally with a
     * {@link Refused}. Its dependent actions may run on the committer's thread and must be short.
     */
    public CompletableFuture<Void> submit(Batch batch) {
        CompletableFuture<Void> answer = new CompletableFuture<>();
        Refused refused = null;
        lock.lock();
        try {
            if (closing) {
                refused = new Refused(Cause.CLOSED, "the store is closed");
            } else if (pending > 0 && pending + batch.bytes() > pendingMost) {
                refused = new Refused(
                        Cause.BUSY, pending + " bytes are waiting for the disk, the maximum is " + pendingMost);
            } else {
                pending += batch.bytes();
                waiting.add(new Waiting(batch, answer));
                if (waiting.size() == 1) {
                    news.signal();
                }
            }
        } finally {
            lock.unlock();
        }
        if (refused != null) {
            answer.completeExceptionally(store.figures().count(refused));
        }
        return answer;
    }

    /** Writes a batch and blocks until it is on the disk. */
    public void write(Batch batch) throws Refused {
        try {
            submit(batch).get();
        } catch (ExecutionException | CompletionException e) {
            if (e.getCause() instanceof Refused r) {
                throw new Refused(r.why(), r.getMessage(), r);
            }
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new Refused(Cause.UNKNOWN, "interrupted before the disk confirmed", e);
        }
    }

    /** Sets an action to run once, on the committer's thread, when another process has taken the store over. */
    public void onFenced(Runnable then) {
        onFenced = then;
    }

    /** The failure of the latest upkeep step, or null if that step succeeded. */
    public IOException upkeepFailed() {
        return upkeepFailed;
    }

    private void run() {
        long lastGroup = System.nanoTime() - forceEvery;
        long lastUpkeep = System.nanoTime();
        long restUntil = lastUpkeep;
        double allowance = STEP;
        boolean due = true;
        while (true) {
            ArrayDeque<Waiting> group = take(lastGroup, due && allowance >= STEP ? 0 : IDLE_LOOK);
            if (group == null) {
                return;
            }
            if (onFenced != null && store.fenced()) {
                onFenced.run();
                onFenced = null;
            }
            if (!group.isEmpty()) {
                lastGroup = System.nanoTime();
                commit(group);
                times.add(Times.Of.GROUP, lastGroup, System.nanoTime());
            }
            long now = System.nanoTime();
            allowance = Math.min(4.0 * STEP, allowance + (now - lastUpkeep) * upkeepRate);
            lastUpkeep = now;
            if (allowance >= STEP && (group.isEmpty() || now >= restUntil)) {
                due = upkeep();
                times.add(Times.Of.UPKEEP, now, System.nanoTime());
                allowance -= due ? STEP : 0;
                restUntil = System.nanoTime() + REST * (System.nanoTime() - now);
            }
        }
    }

    private boolean upkeep() {
        try {
            boolean did = store.upkeep(STEP);
            upkeepFailed = null;
            return did;
        } catch (IOException e) {
            upkeepFailed = e;
            return false;
        }
    }

    /**
     * Takes all pending batches, not before the minimum interval since the last group. Empty if none came within
     * {@code wait} nanoseconds; null once the committer is closed and nothing is pending.
     */
    private ArrayDeque<Waiting> take(long lastGroup, long wait) {
        lock.lock();
        try {
            if (waiting.isEmpty() && !closing && wait > 0) {
                news.awaitNanos(wait);
            }
            long early = waiting.isEmpty() ? 0 : lastGroup + forceEvery - System.nanoTime();
            while (early > 0 && !closing) {
                news.awaitNanos(early);
                early = lastGroup + forceEvery - System.nanoTime();
            }
            if (waiting.isEmpty() && closing) {
                return null;
            }
            ArrayDeque<Waiting> all = waiting;
            waiting = new ArrayDeque<>();
            return all;
        } catch (InterruptedException e) {
            return new ArrayDeque<>(); // nothing interrupts this thread
        } finally {
            lock.unlock();
        }
    }

    private void commit(ArrayDeque<Waiting> group) {
        List<Batch> batches = new ArrayList<>(group.size());
        long bytes = 0;
        for (Waiting w : group) {
            batches.add(w.batch);
            bytes += w.batch.bytes();
        }
        List<Refused> refused;
        try {
            refused = store.commit(batches);
        } catch (RuntimeException | Error e) {
            group.forEach(w -> w.answer.completeExceptionally(e));
            throw e;
        } finally {
            lock.lock();
            pending -= bytes;
            lock.unlock();
        }
        // Futures are completed before the next group is taken, so that a caller that writes continuously is part of
        // that group. Completing them concurrently with the next group was measured to halve the group size, and with
        // it the writes per second.
        answer(group, refused);
    }

    private static void answer(ArrayDeque<Waiting> group, List<Refused> refused) {
        int i = 0;
        for (Waiting w : group) {
            Refused r = refused.get(i++);
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
        news.signalAll();
        lock.unlock();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
