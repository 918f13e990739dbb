package tallyweir.durable;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Does the copies' parts side by side on threads of their own, so that two forces take the time of the longer one. */
public final class SideBySide implements Both, AutoCloseable {
    private final ExecutorService threads = Executors.newFixedThreadPool(2, r -> {
        Thread t = new Thread(r, "durable copy");
        t.setDaemon(true);
        return t;
    });

    @Override
    public void run(Action first, Action other) throws IOException {
        Future<?> done = beside(other);
        IOException failed = null;
        try {
            first.run();
        } catch (IOException e) {
            failed = e;
        }
        IOException too = failureOf(done);
        if (failed != null || too != null) {
            throw failed != null ? failed : too;
        }
    }

    @Override
    public void run(Action first, Action other, Runnable meanwhile) throws IOException {
        Future<?> one = beside(first);
        Future<?> two = beside(other);
        IOException failed;
        IOException too;
        try {
            meanwhile.run();
        } finally {
            failed = failureOf(one);
            too = failureOf(two);
        }
        if (failed != null || too != null) {
            throw failed != null ? failed : too;
        }
    }

    private Future<?> beside(Action action) {
        return threads.submit(() -> {
            action.run();
            return null;
        });
    }

    /** Waits for the end; null if it was good. */
    private static IOException failureOf(Future<?> done) {
        boolean interrupted = false;
        try {
            while (true) {
                try {
                    done.get();
                    return null;
                } catch (InterruptedException e) {
                    interrupted = true; // what was begun on a file is waited for all the same
                } catch (ExecutionException e) {
                    return e.getCause() instanceof IOException io ? io : new IOException(e.getCause());
                }
            }
        } finally {
            if (interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        threads.shutdown();
    }
}
