package tallyweir.stand;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late threads of this process are woken, so that a test can distinguish delays of the server from delays of the
 * machine. A thread sleeps for a few milliseconds repeatedly and records by how much it overslept.
 */
public final class RigLag implements AutoCloseable {
    private static final long SLEEP_MS = 5;
    private static final long NOTED_FROM_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final int KEPT = 10_000;

    private record Overslept(long until, long nanos) {}

    private final ArrayDeque<Overslept> noted = new ArrayDeque<>();
    private final Thread thread;
    private volatile boolean stopped;

    public RigLag() {
        thread = new Thread(this::run, "scheduling lag");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!stopped) {
                long wakeUpAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SLEEP_MS);
                TimeUnit.MILLISECONDS.sleep(SLEEP_MS);
                long lag = System.nanoTime() - wakeUpAt;
                if (lag > NOTED_FROM_NANOS) {
                    note(new Overslept(wakeUpAt + lag, lag));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void note(Overslept delay) {
        noted.add(delay);
        if (noted.size() > KEPT) {
            noted.remove();
        }
    }

    /** The maximum lag of a thread since {@code startedAt} (by {@link System#nanoTime()}), in nanoseconds; 0 below 2 ms. */
    public synchronized long worstSince(long startedAt) {
        return noted.stream()
                .filter(delay -> delay.until - startedAt >= 0)
                .mapToLong(Overslept::nanos)
                .max()
                .orElse(0);
    }

    @Override
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
