package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Whose store it is. Every opening for writing raises a number in a small file of each copy before it reads the log; after
 * each group was forced its writer looks whether the number is still its own, and acknowledges nothing where it is not. So
 * what an older process acknowledged was on the disk before the newer one began to read, and is found by it; what it writes
 * later it acknowledges to nobody, whatever became of the lock (a shared file system may lose one, a paused process wakes
 * up). The idea of a number that a later holder raises is the fencing token of M. Kleppmann, "How to do distributed
 * locking" (2016); here the writer checks it, since the disk cannot.
 */
final class Fence {
    static final String NAME = "fence";
    private static final int MAGIC = 0x54574631;
    private static final int SIZE = 16;

    private final Disk[] disks;
    private final Disk.Handle[] files = new Disk.Handle[2];
    private final long found;
    private long own;

    /** Reads the number as it is; nothing is raised yet. */
    Fence(List<Disk> disks) {
        this.disks = disks.toArray(Disk[]::new);
        for (int c = 0; c < this.disks.length; c++) {
            open(c);
        }
        found = Math.max(0, highest());
    }

    private void open(int copy) {
        try {
            if (disks[copy].names().contains(NAME)) {
                files[copy] = disks[copy].open(NAME);
            }
        } catch (IOException e) {
            files[copy] = null; // the other copy tells
        }
    }

    /** The number in a copy, -1 where it cannot be read. */
    private long number(int copy) {
        if (files[copy] == null) {
            return -1;
        }
        ByteBuffer b = ByteBuffer.allocate(SIZE);
        try {
            if (files[copy].readFully(0, b) < SIZE) {
                return -1;
            }
        } catch (IOException e) {
            return -1;
        }
        return b.getInt(0) == MAGIC && b.getInt(12) == sum(b) ? b.getLong(4) : -1;
    }

    private static int sum(ByteBuffer b) {
        CRC32C crc = new CRC32C();
        crc.update(b.array(), 0, 12);
        return (int) crc.getValue();
    }

    private long highest() {
        long most = -1;
        for (int c = 0; c < disks.length; c++) {
            most = Math.max(most, number(c));
        }
        return most;
    }

    /** Whether the number is this opening's. */
    boolean raised() {
        return own > 0;
    }

    /**
     * Makes the number this opening's own: one copy after the other, each forced, so that a cut leaves one whole.
     *
     * @throws Refused FENCED where another process has raised it since this one first looked
     */
    void raise() throws IOException {
        if (highest() > found) {
            throw new Refused(Refused.Cause.FENCED, "another process has opened the store since: open it again");
        }
        ByteBuffer b = ByteBuffer.allocate(SIZE).putInt(0, MAGIC).putLong(4, found + 1);
        b.putInt(12, sum(b));
        for (int c = 0; c < disks.length; c++) {
            if (files[c] == null) {
                files[c] = disks[c].create(NAME);
            }
            files[c].writeFully(0, b.clear());
            files[c].force();
            disks[c].forceNames();
        }
        own = found + 1;
    }

    /** Whether another process has taken the store over, or neither copy can tell any more. */
    boolean passed() {
        long most = highest();
        return most > own || most < 0;
    }

    /** The number, for operators; 0 where it is not raised. */
    long own() {
        return own;
    }

    void close() {
        for (Disk.Handle f : files) {
            try {
                if (f != null) {
                    f.close();
                }
            } catch (IOException e) {
                continue; // nothing is owed to it
            }
        }
    }
}
