package tallyweir.stand;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * How late threads of this process are woken, so that what a test takes for the server's delay can be told from the machine's.
 * A thread sleeps for a few milliseconds again and again and notes by how much it overslept.
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
        thread = new Thread(this::run, "rig lag");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!stopped) {
                long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SLEEP_MS);
                TimeUnit.MILLISECONDS.sleep(SLEEP_MS);
                long late = System.nanoTime() - due;
                if (late > NOTED_FROM_NANOS) {
                    note(new Overslept(due + late, late));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void note(Overslept overslept) {
        noted.add(overslept);
        if (noted.size() > KEPT) {
            noted.remove();
        }
    }

    /** By how much a thread was woken late at the most since that moment, nanoseconds. */
    public synchronized long worstSince(long moment) {
        return noted.stream()
                .filter(overslept -> overslept.until - moment >= 0)
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
