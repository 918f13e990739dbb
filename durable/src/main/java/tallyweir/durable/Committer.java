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
 * Many writers, one force: a thread of its own takes all batches that wait, writes them as one group, forces once and
 * answers all. Between groups and while nothing waits it does the store's upkeep, at a bounded rate.
 */
public final class Committer implements AutoCloseable {
    private static final int STEP = 64 << 10;
    private static final int REST = 3; // times as long as a step took, before the next while writers wait
    private static final long IDLE_LOOK = 20_000_000; // ns between looks for upkeep where nothing is written

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
     * @param pendingMost bytes of batches that may wait, beyond which a batch is refused at once
     * @param forceEvery the least time between two groups, nanoseconds; 0 for as fast as the disk goes
     * @param upkeepRate bytes a second that upkeep may read and write
     */
    public Committer(Durable store, long pendingMost, long forceEvery, long upkeepRate) {
        this(store, pendingMost, forceEvery, upkeepRate, new Times());
    }

    /** The same, and tells how long its steps take. */
    Committer(Durable store, long pendingMost, long forceEvery, long upkeepRate, Times times) {
        this.store = store;
        this.times = times;
        this.pendingMost = pendingMost;
        this.forceEvery = forceEvery;
        this.upkeepRate = upkeepRate / 1e9;
        thread = new Thread(this::run, "durable committer");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Hands a batch over and returns at once. The future ends once the batch is on the disk, or with its
     * {@link Refused}; what hangs on it runs on a thread of the committer and must be short.
     */
    public CompletableFuture<Void> submit(Batch batch) {
        CompletableFuture<Void> answer = new CompletableFuture<>();
        Refused refused = null;
        lock.lock();
        try {
            if (closing) {
                refused = new Refused(Cause.CLOSED, "the store is closed");
            } else if (pending > 0 && pending + batch.bytes() > pendingMost) {
                refused = new Refused(Cause.BUSY, pending + " bytes wait for the disk, the most is " + pendingMost);
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

    /** Writes a batch and waits until it is on the disk. */
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

    /** What to do, once, when another process has taken the store over; it runs on a thread of the committer. */
    public void onFenced(Runnable then) {
        onFenced = then;
    }

    /** Why upkeep failed last; null if it did not, or has worked since. */
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

    /** All that waits, once there is something and the last group is long enough ago; null at the end. */
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
            return new ArrayDeque<>(); // nobody has a reason to
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
        // Before the next group begins: whoever writes on and on is then in it. Answers given beside it were measured
        // to
        // halve the groups, and with them the writes a second.
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

    /** Writes what waits, then ends; the store stays open. */
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
