package tallyweir.durable;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A directory of the file system. Forces use fsync; the directory itself is forced after names in it changed. */
public final class FileDisk implements Disk {
    private static final String LOCK_FILE_NAME = "lock";

    private final Path directory;
    private final StepTimes times;
    private final boolean secondCopy;

    /** Creates the directory and its parents if they do not exist. */
    public FileDisk(Path dir) throws IOException {
        this(dir, new StepTimes(), false);
    }

    /**
     * The same, and records the durations of forces and writes.
     *
     * @param second whether the directory holds the second copy
     */
    public FileDisk(Path dir, StepTimes times, boolean second) throws IOException {
        this.directory = dir;
        this.times = times;
        this.secondCopy = second;
        if (!Files.isDirectory(dir)) {
            Files.createDirectories(dir);
            Path parent = dir.toAbsolutePath().getParent();
            if (parent != null) {
                force(parent);
            }
        }
    }

    private static void force(Path dir) throws IOException {
        try (FileChannel c = FileChannel.open(dir, StandardOpenOption.READ)) {
            c.force(true);
        }
    }

    @Override
    public List<String> fileNames() throws IOException {
        try (Stream<Path> all = Files.list(directory)) {
            return all.map(p -> p.getFileName().toString()).toList();
        }
    }

    @Override
    public Handle open(String name) throws IOException {
        try {
            return newHandle(
                    name, FileChannel.open(directory.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
        } catch (NoSuchFileException e) {
            throw e;
        } catch (FileSystemException e) {
            return newHandle(name, FileChannel.open(directory.resolve(name), StandardOpenOption.READ));
        }
    }

    @Override
    public Handle create(String name) throws IOException {
        return newHandle(
                name,
                FileChannel.open(
                        directory.resolve(name),
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public Handle createNew(String name) throws IOException {
        return newHandle(
                name,
                FileChannel.open(
                        directory.resolve(name),
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.CREATE_NEW));
    }

    private FileHandle newHandle(String name, FileChannel channel) {
        boolean isLogFile = name.endsWith(Format.SEGMENT_SUFFIX);
        return new FileHandle(
                channel,
                times,
                !isLogFile
                        ? StepTimes.Step.SNAPSHOT
                        : secondCopy ? StepTimes.Step.FORCE_SECOND : StepTimes.Step.FORCE_FIRST,
                !isLogFile ? null : secondCopy ? StepTimes.Step.WRITE_SECOND : StepTimes.Step.WRITE_FIRST);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public void forceDirectory() throws IOException {
        long startedAt = System.nanoTime();
        force(directory);
        times.record(
                secondCopy ? StepTimes.Step.NAMES_SECOND : StepTimes.Step.NAMES_FIRST, startedAt, System.nanoTime());
    }

    /** A lock of the operating system, released when the process ends in any way. */
    @Override
    public Closeable lock() throws IOException {
        if (Boolean.getBoolean("tallyweir.drill.nolock")) {
            return () -> {}; // a drill simulates a shared directory whose locks are not effective
        }
        FileChannel c;
        try {
            c = FileChannel.open(
                    directory.resolve(LOCK_FILE_NAME), StandardOpenOption.WRITE, StandardOpenOption.CREATE);
        } catch (AccessDeniedException e) {
            return () -> {}; // a directory without write permission is opened for reading, and every write refused
        }
        try {
            FileLock lock = c.tryLock();
            if (lock != null) {
                return c;
            }
        } catch (OverlappingFileLockException e) {
            c.close();
            throw new StoreRefusedException(
                    StoreRefusedException.Cause.IN_USE, description() + " is open in this process already", e);
        }
        c.close();
        throw new StoreRefusedException(
                StoreRefusedException.Cause.IN_USE, description() + " is in use by another process: end it first");
    }

    @Override
    public String description() {
        return directory.toString();
    }

    private record FileHandle(FileChannel channel, StepTimes times, StepTimes.Step forceStep, StepTimes.Step writeStep)
            implements Handle {
        @Override
        public int read(long at, ByteBuffer into) throws IOException {
            return channel.read(into, at);
        }

        @Override
        public int write(long at, ByteBuffer from) throws IOException {
            long startedAt = System.nanoTime();
            int written = channel.write(from, at);
            if (writeStep != null) {
                times.record(writeStep, startedAt, System.nanoTime());
            }
            return written;
        }

        @Override
        public void force() throws IOException {
            long startedAt = System.nanoTime();
            channel.force(false);
            times.record(forceStep, startedAt, System.nanoTime());
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
