package tallyweir.stand;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late threads of this process are woken, so that a test can distinguish delays of the server from delays of the
 * machine. A thread sleeps for a few milliseconds repeatedly and records by how much it overslept.
 */
public final class SchedulingLag implements AutoCloseable {
    private static final long SLEEP_MS = 5;
    private static final long MIN_RECORDED_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final int MAX_RECORDED = 10_000;

    private record Delay(long wokenAt, long lagNanos) {}

    private final ArrayDeque<Delay> delays = new ArrayDeque<>();
    private final Thread thread;
    private volatile boolean stopped;

    public SchedulingLag() {
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
                if (lag > MIN_RECORDED_NANOS) {
                    add(new Delay(wakeUpAt + lag, lag));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void add(Delay delay) {
        delays.add(delay);
        if (delays.size() > MAX_RECORDED) {
            delays.remove();
        }
    }

    /** The maximum lag of a thread since {@code startedAt} (by {@link System#nanoTime()}), in nanoseconds; 0 below 2 ms. */
    public synchronized long maxNanosSince(long startedAt) {
        return delays.stream()
                .filter(delay -> delay.wokenAt - startedAt >= 0)
                .mapToLong(Delay::lagNanos)
                .max()
                .orElse(0);
    }

    @Override
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
