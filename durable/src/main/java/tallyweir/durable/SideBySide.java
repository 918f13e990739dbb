package tallyweir.durable;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Does the second copy's part on a thread of its own, so that two forces take the time of the longer one. */
public final class SideBySide implements Both, AutoCloseable {
    private final ExecutorService second = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "durable second copy");
        t.setDaemon(true);
        return t;
    });

    @Override
    public void run(Action first, Action other) throws IOException {
        Future<?> done = second.submit(() -> {
            other.run();
            return null;
        });
        IOException failed = null;
        try {
            first.run();
        } catch (IOException e) {
            failed = e;
        }
        try {
            done.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            done.cancel(false);
            throw new IOException("interrupted while writing", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                failed = failed == null ? io : failed;
            } else {
                throw new IOException(e.getCause());
            }
        }
        if (failed != null) {
            throw failed;
        }
    }

    @Override
    public void close() {
        second.shutdown();
    }
}
