package tallyweir.durable;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * An in-memory directory with the weakest guarantees a disk may give. After a power cut each sector that was not forced
 * has its old content, its new content or a mix of both; each creation or deletion of a name that was not forced may or
 * may not have happened; and files have their old or their new length. Faults can be injected: a failing force that
 * drops the data it covered, a full disk, short reads and writes, a read-only directory. Not for use by several threads
 * except those that {@link CopyExecutor} starts.
 */
public final class SimDisk implements Disk {
    /** State shared by the disks of one machine: the count of I/O operations, the time of the power cut, the faults. */
    public static final class Power {
        private final SplittableRandom random;
        private long operations;
        private long cutAtOperation = Long.MAX_VALUE;
        private long forces;
        private long failingForce = Long.MAX_VALUE;
        private long secondFailingForce = Long.MAX_VALUE;
        private long remainingBytes = Long.MAX_VALUE;
        private boolean shortIo;
        private boolean readOnly;

        public Power(long seed) {
            random = new SplittableRandom(seed);
        }

        /** Number of modifying I/O operations so far. */
        public synchronized long operations() {
            return operations;
        }

        /** Cuts the power during the nth operation from the start, counted from 1. */
        public synchronized void cutAtOperation(long operation) {
            cutAtOperation = operation;
        }

        /** Makes the nth force from now fail, counted from 1; the changes it covered never reach the disk. */
        public synchronized void failForce(long n) {
            failingForce = forces + n;
        }

        /** Makes the nth force from now and the second after it fail: one in each copy if a failed force is retried. */
        public synchronized void failForceOfBoth(long n) {
            failForce(n);
            secondFailingForce = failingForce + 2;
        }

        /** Sets the bytes that may still be written before the disks are full. */
        public synchronized void setRemainingBytes(long bytes) {
            remainingBytes = bytes;
        }

        /** Sets whether reads and writes may transfer fewer bytes than requested. */
        public synchronized void allowShortIo(boolean allowed) {
            shortIo = allowed;
        }

        /** Sets whether the disks are read-only. */
        public synchronized void setReadOnly(boolean is) {
            readOnly = is;
        }

        private synchronized boolean beginOperation() throws IOException {
            if (operations >= cutAtOperation) {
                throw new PowerCut();
            }
            operations++;
            if (readOnly) {
                throw new IOException("Read-only file system");
            }
            return operations == cutAtOperation;
        }

        private synchronized int transferLength(int length) {
            return shortIo && length > 1 ? random.nextInt(1, length + 1) : length;
        }

        private synchronized int takeSpace(int length) throws IOException {
            if (remainingBytes <= 0 && length > 0) {
                throw new IOException("No space left on device");
            }
            int taken = (int) Math.min(remainingBytes, length);
            remainingBytes -= taken;
            return taken;
        }

        private synchronized boolean forceFails() {
            forces++;
            return forces == failingForce || forces == secondFailingForce;
        }
    }

    /** Thrown when the power is cut. An Error, so that handlers of IOException do not catch it. */
    public static final class PowerCut extends Error {
        private static final long serialVersionUID = 1L;

        PowerCut() {
            super("the power was cut", null, false, false);
        }
    }

    private static final class Content {
        private byte[] current = new byte[0];
        private int size;
        private byte[] durable = new byte[0];
        private int durableSize;
        private final Set<Integer> dirty = new HashSet<>();

        private void grow(int to) {
            if (to > current.length) {
                current = Arrays.copyOf(current, Math.max(to, current.length * 2));
            }
            size = Math.max(size, to);
        }
    }

    private record NameChange(String name, Content content) {}

    private final Power power;
    private final int sector;
    private final String where;
    private final Map<String, Content> files = new TreeMap<>();
    private final Map<String, Content> durableFiles = new HashMap<>();
    private final List<NameChange> unforcedNameChanges = new ArrayList<>();
    private boolean locked;

    public SimDisk(Power power, int sector, String where) {
        this.power = power;
        this.sector = sector;
        this.where = where;
    }

    /** Returns the directory as it might be found once the power is back. */
    public synchronized SimDisk afterCut(Power next, SplittableRandom random) {
        SimDisk disk = new SimDisk(next, sector, where);
        Map<String, Content> names = new TreeMap<>(durableFiles);
        for (NameChange c : unforcedNameChanges) {
            if (random.nextBoolean()) {
                if (c.content == null) {
                    names.remove(c.name);
                } else {
                    names.put(c.name, c.content);
                }
            }
        }
        names.forEach((name, content) -> disk.addDurable(name, contentAfterCut(content, random)));
        return disk;
    }

    private byte[] contentAfterCut(Content c, SplittableRandom random) {
        int size = random.nextBoolean() ? c.size : c.durableSize;
        byte[] b = Arrays.copyOf(c.durable, Math.max(c.size, c.durableSize));
        for (int s : c.dirty.stream().sorted().toList()) {
            int from = s * sector;
            int to = Math.min(from + sector, c.size);
            int fate = random.nextInt(3);
            if (fate > 0 && from < to) {
                System.arraycopy(c.current, from, b, from, fate == 1 ? to - from : random.nextInt(to - from));
                size = Math.max(size, to);
            }
        }
        return Arrays.copyOf(b, size);
    }

    /** Adds a file whose name and content are already durable. */
    public synchronized void addDurable(String name, byte[] bytes) {
        Content c = new Content();
        c.current = bytes.clone();
        c.size = bytes.length;
        c.durable = bytes.clone();
        c.durableSize = bytes.length;
        files.put(name, c);
        durableFiles.put(name, c);
    }

    /** Returns a file's current content, or null if there is no such file. */
    public synchronized byte[] content(String name) {
        Content c = files.get(name);
        return c == null ? null : Arrays.copyOf(c.current, c.size);
    }

    /** Removes a file durably, as if it had never existed. */
    public synchronized void removeDurable(String name) {
        files.remove(name);
        durableFiles.remove(name);
    }

    @Override
    public synchronized List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public synchronized Handle open(String name) throws IOException {
        Content c = files.get(name);
        if (c == null) {
            throw new IOException(where + "/" + name + ": no such file");
        }
        return new File(c);
    }

    @Override
    public synchronized Handle create(String name) throws IOException {
        boolean cut = power.beginOperation();
        Content c = new Content();
        files.put(name, c);
        unforcedNameChanges.add(new NameChange(name, c));
        if (cut) {
            throw new PowerCut();
        }
        return new File(c);
    }

    @Override
    public synchronized Handle createNew(String name) throws IOException {
        if (files.containsKey(name)) {
            throw new IOException(where + "/" + name + ": File exists");
        }
        return create(name);
    }

    /** Loses the lock, as a shared file system may: another process can take it while the first one continues. */
    public synchronized void breakLock() {
        locked = false;
    }

    @Override
    public synchronized void delete(String name) throws IOException {
        boolean cut = power.beginOperation();
        if (files.remove(name) != null) {
            unforcedNameChanges.add(new NameChange(name, null));
        }
        if (cut) {
            throw new PowerCut();
        }
    }

    @Override
    public synchronized void forceDirectory() throws IOException {
        if (power.beginOperation()) {
            throw new PowerCut();
        }
        if (power.forceFails()) {
            throw new IOException("Input/output error");
        }
        unforcedNameChanges.clear();
        durableFiles.clear();
        durableFiles.putAll(files);
    }

    @Override
    public synchronized Closeable lock() throws IOException {
        if (locked) {
            throw new StoreRefusedException(StoreRefusedException.Cause.IN_USE, where + " is in use");
        }
        locked = true;
        return () -> locked = false;
    }

    @Override
    public String description() {
        return where;
    }

    private final class File implements Handle {
        private final Content content;

        File(Content content) {
            this.content = content;
        }

        @Override
        public int read(long at, ByteBuffer into) {
            synchronized (SimDisk.this) {
                if (at >= content.size) {
                    return -1;
                }
                int length = power.transferLength((int) Math.min(into.remaining(), content.size - at));
                into.put(content.current, (int) at, length);
                return length;
            }
        }

        @Override
        public int write(long at, ByteBuffer from) throws IOException {
            synchronized (SimDisk.this) {
                boolean cut = power.beginOperation();
                int length = power.transferLength(from.remaining());
                int more = (int) Math.max(0, at + length - content.size); // overwriting needs no space
                length -= more - power.takeSpace(more);
                content.grow((int) at + length);
                from.get(content.current, (int) at, length);
                for (long s = at / sector; length > 0 && s <= (at + length - 1) / sector; s++) {
                    content.dirty.add((int) s);
                }
                if (cut) {
                    throw new PowerCut();
                }
                return length;
            }
        }

        @Override
        public void force() throws IOException {
            synchronized (SimDisk.this) {
                if (power.beginOperation()) {
                    throw new PowerCut();
                }
                boolean fails = power.forceFails();
                if (!fails) {
                    content.durable = Arrays.copyOf(content.durable, Math.max(content.durable.length, content.size));
                    for (int s : content.dirty) {
                        int from = s * sector;
                        if (from < content.size) {
                            System.arraycopy(
                                    content.current,
                                    from,
                                    content.durable,
                                    from,
                                    Math.min(sector, content.size - from));
                        }
                    }
                    content.durableSize = content.size;
                }
                content.dirty.clear(); // also on failure, as kernels mark the pages clean then
                if (fails) {
                    throw new IOException("Input/output error");
                }
            }
        }

        @Override
        public long size() {
            synchronized (SimDisk.this) {
                return content.size;
            }
        }

        @Override
        public void close() {
            // no resources to release
        }
    }
}
