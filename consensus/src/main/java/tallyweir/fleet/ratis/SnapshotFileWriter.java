package tallyweir.fleet.ratis;

import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import tallyweir.fleet.SnapshotPart;

/**
 * Writes a snapshot part by part, with at most one encoded part in memory. The file starts with {@link #MAGIC}; each part follows as its
 * length, its CRC-32C checksum and its bytes; the trailer is the length {@link #TRAILER_LENGTH} and the number of parts.
 */
final class SnapshotFileWriter implements Consumer<SnapshotPart>, Closeable {
    static final String MAGIC = "tallyweir fleet snapshot 1\n";
    static final int TRAILER_LENGTH = 0;

    private static final int BUFFER_BYTES = 1 << 16;

    private final SnapshotPartCodec codec = new SnapshotPartCodec();
    private final FileOutputStream file;
    private final DataOutputStream out;
    private int partCount;

    SnapshotFileWriter(Path path) throws IOException {
        file = new FileOutputStream(path.toFile());
        out = new DataOutputStream(new BufferedOutputStream(file, BUFFER_BYTES));
        out.write(MAGIC.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void accept(SnapshotPart part) {
        byte[] bytes = codec.encode(part);
        try {
            out.writeInt(bytes.length);
            out.writeInt(checksum(bytes));
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        partCount++;
    }

    /** Writes the trailer that marks the snapshot as complete, and forces the file to the disk. */
    void finish() throws IOException {
        out.writeInt(TRAILER_LENGTH);
        out.writeInt(partCount);
        out.flush();
        file.getFD().sync();
    }

    static int checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        return (int) checksum.getValue();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
