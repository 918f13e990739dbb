package tallyweir.durable;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs the work on the two copies concurrently, so that two forces take only as long as the slower one. */
public final class SideBySide implements CopyExecutor, AutoCloseable {
    private final ExecutorService threads = Executors.newFixedThreadPool(2, r -> {
        Thread t = new Thread(r, "durable copy");
        t.setDaemon(true);
        return t;
    });

    @Override
    public void run(Action first, Action other) throws IOException {
        Future<?> done = submit(other);
        IOException failure = null;
        try {
            first.run();
        } catch (IOException e) {
            failure = e;
        }
        IOException otherFailure = awaitFailure(done);
        if (failure != null || otherFailure != null) {
            throw failure != null ? failure : otherFailure;
        }
    }

    @Override
    public void run(Action first, Action other, Runnable meanwhile) throws IOException {
        Future<?> one = submit(first);
        Future<?> two = submit(other);
        IOException failure;
        IOException otherFailure;
        try {
            meanwhile.run();
        } finally {
            failure = awaitFailure(one);
            otherFailure = awaitFailure(two);
        }
        if (failure != null || otherFailure != null) {
            throw failure != null ? failure : otherFailure;
        }
    }

    private Future<?> submit(Action action) {
        return threads.submit(() -> {
            action.run();
            return null;
        });
    }

    /** Waits for completion and returns the failure, or null on success. */
    private static IOException awaitFailure(Future<?> done) {
        boolean interrupted = false;
        try {
            while (true) {
                try {
                    done.get();
                    return null;
                } catch (InterruptedException e) {
                    interrupted = true; // still wait: an operation on a file is under way
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
