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
 * except those that {@link Both} starts.
 */
public final class SimDisk implements Disk {
    /** State shared by the disks of one machine: the count of I/O operations, the time of the power cut, the faults. */
    public static final class Power {
        private final SplittableRandom chance;
        private long operations;
        private long cutAt = Long.MAX_VALUE;
        private long forces;
        private long failForce = Long.MAX_VALUE;
        private long failAlso = Long.MAX_VALUE;
        private long room = Long.MAX_VALUE;
        private boolean shortIo;
        private boolean readOnly;

        public Power(long seed) {
            chance = new SplittableRandom(seed);
        }

        /** Number of modifying I/O operations so far. */
        public synchronized long operations() {
            return operations;
        }

        /** Cuts the power during the nth operation from the start, counted from 1. */
        public synchronized void cutAt(long operation) {
            cutAt = operation;
        }

        /** Makes the nth force from now fail, counted from 1; the changes it covered never reach the disk. */
        public synchronized void failForce(long n) {
            failForce = forces + n;
        }

        /** Makes the nth force from now and the second after it fail: one in each copy if a failed force is retried. */
        public synchronized void failForceOfBoth(long n) {
            failForce(n);
            failAlso = failForce + 2;
        }

        /** Sets the bytes that may still be written before the disks are full. */
        public synchronized void room(long bytes) {
            room = bytes;
        }

        /** Sets whether reads and writes may transfer fewer bytes than requested. */
        public synchronized void shortIo(boolean may) {
            shortIo = may;
        }

        /** Sets whether the disks are read-only. */
        public synchronized void readOnly(boolean is) {
            readOnly = is;
        }

        private synchronized boolean step() throws IOException {
            if (operations >= cutAt) {
                throw new PowerCut();
            }
            operations++;
            if (readOnly) {
                throw new IOException("Read-only file system");
            }
            return operations == cutAt;
        }

        private synchronized int part(int length) {
            return shortIo && length > 1 ? chance.nextInt(1, length + 1) : length;
        }

        private synchronized int taken(int length) throws IOException {
            if (room <= 0 && length > 0) {
                throw new IOException("No space left on device");
            }
            int taken = (int) Math.min(room, length);
            room -= taken;
            return taken;
        }

        private synchronized boolean forceFails() {
            forces++;
            return forces == failForce || forces == failAlso;
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
        private byte[] seen = new byte[0];
        private int size;
        private byte[] safe = new byte[0];
        private int safeSize;
        private final Set<Integer> dirty = new HashSet<>();

        private void grow(int to) {
            if (to > seen.length) {
                seen = Arrays.copyOf(seen, Math.max(to, seen.length * 2));
            }
            size = Math.max(size, to);
        }
    }

    private record Change(String name, Content to) {}

    private final Power power;
    private final int sector;
    private final String where;
    private final Map<String, Content> files = new TreeMap<>();
    private final Map<String, Content> safe = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private boolean locked;

    public SimDisk(Power power, int sector, String where) {
        this.power = power;
        this.sector = sector;
        this.where = where;
    }

    /** Returns the directory as it might be found once the power is back. */
    public synchronized SimDisk afterCut(Power next, SplittableRandom chance) {
        SimDisk left = new SimDisk(next, sector, where);
        Map<String, Content> names = new TreeMap<>(safe);
        for (Change c : changes) {
            if (chance.nextBoolean()) {
                if (c.to == null) {
                    names.remove(c.name);
                } else {
                    names.put(c.name, c.to);
                }
            }
        }
        names.forEach((name, content) -> left.load(name, survivor(content, chance)));
        return left;
    }

    private byte[] survivor(Content c, SplittableRandom chance) {
        int size = chance.nextBoolean() ? c.size : c.safeSize;
        byte[] b = Arrays.copyOf(c.safe, Math.max(c.size, c.safeSize));
        for (int s : c.dirty.stream().sorted().toList()) {
            int from = s * sector;
            int to = Math.min(from + sector, c.size);
            int fate = chance.nextInt(3);
            if (fate > 0 && from < to) {
                System.arraycopy(c.seen, from, b, from, fate == 1 ? to - from : chance.nextInt(to - from));
                size = Math.max(size, to);
            }
        }
        return Arrays.copyOf(b, size);
    }

    /** Adds a file whose name and content are already durable. */
    public synchronized void load(String name, byte[] bytes) {
        Content c = new Content();
        c.seen = bytes.clone();
        c.size = bytes.length;
        c.safe = bytes.clone();
        c.safeSize = bytes.length;
        files.put(name, c);
        safe.put(name, c);
    }

    /** Returns a file's current content, or null if there is no such file. */
    public synchronized byte[] content(String name) {
        Content c = files.get(name);
        return c == null ? null : Arrays.copyOf(c.seen, c.size);
    }

    /** Removes a file durably, as if it had never existed. */
    public synchronized void lose(String name) {
        files.remove(name);
        safe.remove(name);
    }

    @Override
    public synchronized List<String> names() {
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
        boolean cut = power.step();
        Content c = new Content();
        files.put(name, c);
        changes.add(new Change(name, c));
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
        boolean cut = power.step();
        if (files.remove(name) != null) {
            changes.add(new Change(name, null));
        }
        if (cut) {
            throw new PowerCut();
        }
    }

    @Override
    public synchronized void forceNames() throws IOException {
        if (power.step()) {
            throw new PowerCut();
        }
        if (power.forceFails()) {
            throw new IOException("Input/output error");
        }
        changes.clear();
        safe.clear();
        safe.putAll(files);
    }

    @Override
    public synchronized Closeable lock() throws IOException {
        if (locked) {
            throw new Refused(Refused.Cause.IN_USE, where + " is in use");
        }
        locked = true;
        return () -> locked = false;
    }

    @Override
    public String where() {
        return where;
    }

    private final class File implements Handle {
        private final Content c;

        File(Content c) {
            this.c = c;
        }

        @Override
        public int read(long at, ByteBuffer into) {
            synchronized (SimDisk.this) {
                if (at >= c.size) {
                    return -1;
                }
                int length = power.part((int) Math.min(into.remaining(), c.size - at));
                into.put(c.seen, (int) at, length);
                return length;
            }
        }

        @Override
        public int write(long at, ByteBuffer from) throws IOException {
            synchronized (SimDisk.this) {
                boolean cut = power.step();
                int length = power.part(from.remaining());
                int more = (int) Math.max(0, at + length - c.size); // overwriting needs no space
                length -= more - power.taken(more);
                c.grow((int) at + length);
                from.get(c.seen, (int) at, length);
                for (long s = at / sector; length > 0 && s <= (at + length - 1) / sector; s++) {
                    c.dirty.add((int) s);
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
                if (power.step()) {
                    throw new PowerCut();
                }
                boolean fails = power.forceFails();
                if (!fails) {
                    c.safe = Arrays.copyOf(c.safe, Math.max(c.safe.length, c.size));
                    for (int s : c.dirty) {
                        int from = s * sector;
                        if (from < c.size) {
                            System.arraycopy(c.seen, from, c.safe, from, Math.min(sector, c.size - from));
                        }
                    }
                    c.safeSize = c.size;
                }
                c.dirty.clear(); // also on failure, as kernels mark the pages clean then
                if (fails) {
                    throw new IOException("Input/output error");
                }
            }
        }

        @Override
        public long size() {
            synchronized (SimDisk.this) {
                return c.size;
            }
        }

        @Override
        public void close() {
            // no resources to release
        }
    }
}
