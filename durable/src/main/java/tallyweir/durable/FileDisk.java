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

/** A directory of the file system. Forces are fsync's; the directory itself is forced where names change. */
public final class FileDisk implements Disk {
    private static final String LOCK = "lock";

    private final Path dir;

    /** Makes the directory if it is not there, its parents too. */
    public FileDisk(Path dir) throws IOException {
        this.dir = dir;
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
            return new File(FileChannel.open(dir.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
        } catch (NoSuchFileException e) {
            throw e;
        } catch (FileSystemException e) {
            return new File(FileChannel.open(dir.resolve(name), StandardOpenOption.READ));
        }
    }

    @Override
    public Handle create(String name) throws IOException {
        return new File(FileChannel.open(dir.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE,
                StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(dir.resolve(name));
    }

    @Override
    public void forceNames() throws IOException {
        force(dir);
    }

    /** A lock of the operating system, which goes with the process, however it ends. */
    @Override
    public Closeable lock() throws IOException {
        FileChannel c;
        try {
            c = FileChannel.open(dir.resolve(LOCK), StandardOpenOption.WRITE, StandardOpenOption.CREATE);
        } catch (AccessDeniedException e) {
            return () -> { };  // a directory that cannot be written is read, and every write refused
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

    private record File(FileChannel channel) implements Handle {
        @Override
        public int read(long at, ByteBuffer into) throws IOException {
            return channel.read(into, at);
        }

        @Override
        public int write(long at, ByteBuffer from) throws IOException {
            return channel.write(from, at);
        }

        @Override
        public void force() throws IOException {
            channel.force(false);
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
