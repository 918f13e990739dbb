package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Determines which process owns the store. Every opening for writing increments a number in a small file of each copy before
 * it reads the log. After forcing each group, the writer checks that the number is still its own and acknowledges nothing if
 * it is not. So everything that an older process acknowledged was on the disk before the newer one began to read, and is
 * found by it; what the older process writes later it never acknowledges, even if the lock failed (a shared file system may
 * lose a lock, and a paused process resumes). This is the fencing token of M. Kleppmann, "How to do distributed locking"
 * (2016), except that the writer checks it, since the disk cannot.
 */
final class Fence {
    static final String FILE_NAME = "fence";
    private static final int MAGIC = 0x54574631;
    private static final int SIZE_BYTES = 16;

    private final Disk[] disks;
    private final Disk.Handle[] files = new Disk.Handle[2];
    private final long numberAtOpening;
    private long ownNumber;

    /** Reads the current number without incrementing it. */
    Fence(List<Disk> disks) {
        this.disks = disks.toArray(Disk[]::new);
        for (int c = 0; c < this.disks.length; c++) {
            open(c);
        }
        numberAtOpening = Math.max(0, highestNumber());
    }

    private void open(int copy) {
        try {
            if (disks[copy].fileNames().contains(FILE_NAME)) {
                files[copy] = disks[copy].open(FILE_NAME);
            }
        } catch (IOException e) {
            files[copy] = null; // the number is read from the other copy
        }
    }

    /** The number in a copy, or -1 if it cannot be read. */
    private long readNumber(int copy) {
        if (files[copy] == null) {
            return -1;
        }
        ByteBuffer b = ByteBuffer.allocate(SIZE_BYTES);
        try {
            if (files[copy].readFully(0, b) < SIZE_BYTES) {
                return -1;
            }
        } catch (IOException e) {
            return -1;
        }
        return b.getInt(0) == MAGIC && b.getInt(12) == checksum(b) ? b.getLong(4) : -1;
    }

    private static int checksum(ByteBuffer b) {
        CRC32C crc = new CRC32C();
        crc.update(b.array(), 0, 12);
        return (int) crc.getValue();
    }

    private long highestNumber() {
        long max = -1;
        for (int c = 0; c < disks.length; c++) {
            max = Math.max(max, readNumber(c));
        }
        return max;
    }

    /** Whether this opening has incremented the number. */
    boolean isIncremented() {
        return ownNumber > 0;
    }

    /**
     * Increments the number for this opening, in one copy after the other, each forced, so that after a power failure at least
     * one copy is intact.
     *
     * @throws StoreRefusedException FENCED if another process has incremented it since this one read it
     */
    void increment() throws IOException {
        if (highestNumber() > numberAtOpening) {
            throw new StoreRefusedException(
                    StoreRefusedException.Cause.FENCED, "another process has opened the store since: open it again");
        }
        ByteBuffer b = ByteBuffer.allocate(SIZE_BYTES).putInt(0, MAGIC).putLong(4, numberAtOpening + 1);
        b.putInt(12, checksum(b));
        for (int c = 0; c < disks.length; c++) {
            if (files[c] == null) {
                files[c] = disks[c].create(FILE_NAME);
            }
            files[c].writeFully(0, b.clear());
            files[c].force();
            disks[c].forceDirectory();
        }
        ownNumber = numberAtOpening + 1;
    }

    /** Whether another process has taken the store over, or the number can be read in neither copy. */
    boolean isSuperseded() {
        long highest = highestNumber();
        return highest > ownNumber || highest < 0;
    }

    /** The number of this opening, for operators; 0 before it was incremented. */
    long ownNumber() {
        return ownNumber;
    }

    void close() {
        for (Disk.Handle f : files) {
            try {
                if (f != null) {
                    f.close();
                }
            } catch (IOException e) {
                continue; // nothing depends on a successful close: the number was forced
            }
        }
    }
}
