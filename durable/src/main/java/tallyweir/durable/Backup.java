package tallyweir.durable;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongConsumer;
import java.util.stream.Stream;

/**
 * Copies a consistent snapshot of a store to an empty one while writes to the source continue. Records keep their stamps and
 * expiry times. The copy is an ordinary store, so it can be inspected, verified and opened; restoring a backup is the same
 * operation in the opposite direction.
 */
public final class Backup {
    private static final int CHUNK_BYTES = 512 << 10;
    private static final int SEGMENT_BYTES = 64 << 20;

    private Backup() {}

    /**
     * The outcome of a backup.
     *
     * @param records how many records were copied
     * @param bytes the size of each copy of the new store, in bytes
     */
    public record BackupResult(long records, long bytes) {}

    /**
     * Copies a snapshot of a store to a directory.
     *
     * @param to is created if it does not exist, and must be empty if it does
     * @param progress receives the number of records copied so far
     */
    public static BackupResult make(Durable from, Path to, LongConsumer progress) throws IOException {
        if (Files.isDirectory(to)) {
            try (Stream<Path> there = Files.list(to)) {
                if (there.findAny().isPresent()) {
                    throw new IOException(to + " is not empty");
                }
            }
        }
        try (View view = from.view();
                Durable copy = new Durable(
                        new FileDisk(to.resolve("first")),
                        new FileDisk(to.resolve("second")),
                        CopyExecutor.SEQUENTIAL,
                        SEGMENT_BYTES,
                        from.sector(),
                        0.5,
                        0,
                        view.namespaces().stream()
                                .map(n -> new Namespace(n, Long.MAX_VALUE, false))
                                .toList(),
                        ThreadLocalRandom.current().nextLong(),
                        FileStore::currentTime,
                        Runnable::run,
                        Set.of())) {
            long records = copy(view, copy, progress);
            return new BackupResult(records, (Long) copy.info().get("bytes_of_each_copy"));
        }
    }

    /**
     * @param progress receives the number of records copied so far, after each chunk
     * @return how many records were copied
     * @throws StoreRefusedException AT_BOUND if the target is not empty, or the cause of a failed write to it
     */
    public static long copy(View from, Durable to, LongConsumer progress) throws IOException {
        if (to.keyCount() > 0) {
            throw new StoreRefusedException(
                    StoreRefusedException.Cause.AT_BOUND,
                    "the store to copy to is not empty: " + to.keyCount() + " keys");
        }
        long copied = 0;
        for (String namespace : from.namespaces()) {
            List<StoredRecord> chunk = new ArrayList<>();
            long bytes = 0;
            for (Iterator<StoredRecord> in = from.range(namespace, new byte[0], null); in.hasNext(); ) {
                StoredRecord f;
                try {
                    f = in.next();
                } catch (UncheckedIOException e) {
                    throw e.getCause();
                }
                chunk.add(f);
                bytes += Format.RECORD_HEADER_BYTES + f.key().length + f.value().length;
                if (bytes >= CHUNK_BYTES || !in.hasNext()) {
                    to.importRecords(namespace, chunk, bytes);
                    copied += chunk.size();
                    chunk.clear();
                    bytes = 0;
                    progress.accept(copied);
                }
            }
        }
        return copied;
    }
}
