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
    private static final String LOCK = "lock";

    private final Path dir;
    private final Times times;
    private final boolean second;

    /** Creates the directory and its parents if they do not exist. */
    public FileDisk(Path dir) throws IOException {
        this(dir, new Times(), false);
    }

    /**
     * The same, and records the durations of forces and writes.
     *
     * @param second whether the directory holds the second copy
     */
    public FileDisk(Path dir, Times times, boolean second) throws IOException {
        this.dir = dir;
        this.times = times;
        this.second = second;
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
    public List<String> names() throws IOException {
        try (Stream<Path> all = Files.list(dir)) {
            return all.map(p -> p.getFileName().toString()).toList();
        }
    }

    @Override
    public Handle open(String name) throws IOException {
        try {
            return file(name, FileChannel.open(dir.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
        } catch (NoSuchFileException e) {
            throw e;
        } catch (FileSystemException e) {
            return file(name, FileChannel.open(dir.resolve(name), StandardOpenOption.READ));
        }
    }

    @Override
    public Handle create(String name) throws IOException {
        return file(
                name,
                FileChannel.open(
                        dir.resolve(name),
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public Handle createNew(String name) throws IOException {
        return file(
                name,
                FileChannel.open(
                        dir.resolve(name),
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.CREATE_NEW));
    }

    private File file(String name, FileChannel channel) {
        boolean log = name.endsWith(Format.SUFFIX);
        return new File(
                channel,
                times,
                !log ? Times.Of.SNAPSHOT : second ? Times.Of.FORCE_SECOND : Times.Of.FORCE_FIRST,
                !log ? null : second ? Times.Of.WRITE_SECOND : Times.Of.WRITE_FIRST);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(dir.resolve(name));
    }

    @Override
    public void forceNames() throws IOException {
        long began = System.nanoTime();
        force(dir);
        times.add(second ? Times.Of.NAMES_SECOND : Times.Of.NAMES_FIRST, began, System.nanoTime());
    }

    /** A lock of the operating system, released when the process ends in any way. */
    @Override
    public Closeable lock() throws IOException {
        if (Boolean.getBoolean("tallyweir.drill.nolock")) {
            return () -> {}; // a drill simulates a shared directory whose locks are not effective
        }
        FileChannel c;
        try {
            c = FileChannel.open(dir.resolve(LOCK), StandardOpenOption.WRITE, StandardOpenOption.CREATE);
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
            throw new Refused(Refused.Cause.IN_USE, where() + " is open in this process already", e);
        }
        c.close();
        throw new Refused(Refused.Cause.IN_USE, where() + " is in use by another process: end it first");
    }

    @Override
    public String where() {
        return dir.toString();
    }

    private record File(FileChannel channel, Times times, Times.Of forces, Times.Of writes) implements Handle {
        @Override
        public int read(long at, ByteBuffer into) throws IOException {
            return channel.read(into, at);
        }

        @Override
        public int write(long at, ByteBuffer from) throws IOException {
            long began = System.nanoTime();
            int wrote = channel.write(from, at);
            if (writes != null) {
                times.add(writes, began, System.nanoTime());
            }
            return wrote;
        }

        @Override
        public void force() throws IOException {
            long began = System.nanoTime();
            channel.force(false);
            times.add(forces, began, System.nanoTime());
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
