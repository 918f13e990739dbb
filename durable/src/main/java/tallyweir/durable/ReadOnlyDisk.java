package tallyweir.durable;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** Wraps a directory and refuses every operation that would change it, for inspecting a store without modifying it. */
public final class ReadOnlyDisk implements Disk {
    private final Disk disk;

    public ReadOnlyDisk(Disk disk) {
        this.disk = disk;
    }

    private static IOException readOnlyFailure() {
        return new IOException("the directory is opened read-only");
    }

    @Override
    public List<String> fileNames() throws IOException {
        return disk.fileNames();
    }

    @Override
    public Handle open(String name) throws IOException {
        Handle file = disk.open(name);
        return new Handle() {
            @Override
            public int read(long at, ByteBuffer into) throws IOException {
                return file.read(at, into);
            }

            @Override
            public int write(long at, ByteBuffer from) throws IOException {
                throw readOnlyFailure();
            }

            @Override
            public void force() throws IOException {
                throw readOnlyFailure();
            }

            @Override
            public long size() throws IOException {
                return file.size();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public Handle create(String name) throws IOException {
        throw readOnlyFailure();
    }

    @Override
    public Handle createNew(String name) throws IOException {
        throw readOnlyFailure();
    }

    @Override
    public void delete(String name) throws IOException {
        throw readOnlyFailure();
    }

    @Override
    public void forceDirectory() throws IOException {
        throw readOnlyFailure();
    }

    @Override
    public Closeable lock() throws IOException {
        return disk.lock();
    }

    @Override
    public String description() {
        return disk.description();
    }
}
