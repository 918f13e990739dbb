package tallyweir.durable;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** A store on files with all its threads, for a program that keeps one open. */
public final class FileStore implements AutoCloseable {
    private final SideBySide both = new SideBySide();
    private final ExecutorService aside = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "durable aside");
        t.setDaemon(true);
        return t;
    });
    private final Times times = new Times();
    private final Durable store;
    private final Committer committer;
    private AdminSocket adminSocket;

    /**
     * Opens or makes it. For the numbers see {@link Durable} and {@link Committer}.
     *
     * @param first the directory of one copy
     * @param second the directory of the other
     */
    public FileStore(
            Path first,
            Path second,
            int segmentBytes,
            int sector,
            double deadShare,
            long scrubEvery,
            long pendingMost,
            long forceEvery,
            long upkeepRate,
            List<Namespace> namespaces)
            throws IOException {
        try {
            store = new Durable(
                    new FileDisk(first, times, false),
                    new FileDisk(second, times, true),
                    both,
                    segmentBytes,
                    sector,
                    deadShare,
                    scrubEvery,
                    namespaces,
                    ThreadLocalRandom.current().nextLong(),
                    FileStore::clock,
                    aside,
                    Boolean.getBoolean("tallyweir.drill.nofence") ? Set.of(Defence.FENCE) : Set.of());
        } catch (IOException | RuntimeException e) {
            both.close();
            aside.shutdown();
            throw e;
        }
        committer = new Committer(store, pendingMost, forceEvery, upkeepRate, times);
    }

    /** The time of the system's clock, tenths of a millisecond since 1970. */
    public static long clock() {
        Instant t = Instant.now();
        return t.getEpochSecond() * 10_000 + t.getNano() / 100_000;
    }

    public Durable store() {
        return store;
    }

    public Committer committer() {
        return committer;
    }

    /**
     * From now on operators can ask this process about the store.
     *
     * @param socket a place in the store's own directory
     * @param more questions beside those about the store itself
     */
    public void openAdminSocket(Path socket, Map<String, AdminSocket.Command> more) throws IOException {
        Map<String, AdminSocket.Command> all = AdminCommands.of(store, times);
        all.putAll(more);
        adminSocket = new AdminSocket(socket, all);
    }

    /** How long its steps take. */
    public Times times() {
        return times;
    }

    /** Writes what waits, then the index, and ends. */
    @Override
    public void close() {
        if (adminSocket != null) {
            adminSocket.close();
        }
        committer.close();
        store.close();
        both.close();
        aside.shutdown();
    }
}
