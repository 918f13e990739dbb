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

/** A store on the file system with its threads, for a process that keeps it open. */
public final class FileStore implements AutoCloseable {
    private final SideBySide copyExecutor = new SideBySide();
    private final ExecutorService backgroundExecutor = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "durable aside");
        t.setDaemon(true);
        return t;
    });
    private final StepTimes times = new StepTimes();
    private final Durable store;
    private final Committer committer;
    private AdminSocket adminSocket;

    /**
     * Opens the store, or creates it. For the numeric parameters see {@link Durable} and {@link Committer}.
     *
     * @param first the directory of the first copy
     * @param second the directory of the second copy
     */
    public FileStore(
            Path first,
            Path second,
            int segmentBytes,
            int sectorBytes,
            double deadShare,
            long scrubInterval,
            long maxPendingBytes,
            long forceInterval,
            long upkeepRate,
            List<Namespace> namespaces)
            throws IOException {
        try {
            store = new Durable(
                    new FileDisk(first, times, false),
                    new FileDisk(second, times, true),
                    copyExecutor,
                    segmentBytes,
                    sectorBytes,
                    deadShare,
                    scrubInterval,
                    namespaces,
                    ThreadLocalRandom.current().nextLong(),
                    FileStore::currentTime,
                    backgroundExecutor,
                    Boolean.getBoolean("tallyweir.drill.nofence") ? Set.of(Defence.FENCE) : Set.of());
        } catch (IOException | RuntimeException e) {
            copyExecutor.close();
            backgroundExecutor.shutdown();
            throw e;
        }
        committer = new Committer(store, maxPendingBytes, forceInterval, upkeepRate, times);
    }

    /** The system's wall clock, in tenths of a millisecond since 1970. */
    public static long currentTime() {
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
     * Starts to answer operators' commands about the store.
     *
     * @param socket a path in the store's own directory
     * @param additionalCommands further commands by name, besides those about the store itself
     */
    public void openAdminSocket(Path socket, Map<String, AdminSocket.Command> additionalCommands) throws IOException {
        Map<String, AdminSocket.Command> all = AdminCommands.of(store, times);
        all.putAll(additionalCommands);
        adminSocket = new AdminSocket(socket, all);
    }

    /** Durations of the steps of the disk and the committer. */
    public StepTimes times() {
        return times;
    }

    /** Writes the pending batches, then an index snapshot, and stops all threads. */
    @Override
    public void close() {
        if (adminSocket != null) {
            adminSocket.close();
        }
        committer.close();
        store.close();
        copyExecutor.close();
        backgroundExecutor.shutdown();
    }
}
