package tallyweir.fleet.ratis;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.Optional;
import tallyweir.fleet.SnapshotPart;

/**
 * Reads a file written by {@link SnapshotFileWriter}, with at most one part decoded ahead. A damaged file is
 * reported as {@link SnapshotDamagedException}, which {@link #next} wraps in an {@link UncheckedIOException}.
 */
final class SnapshotFileReader implements Iterator<SnapshotPart>, Closeable {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int MAX_PART_BYTES = 1 << 26;

    private final SnapshotPartCodec codec = new SnapshotPartCodec();
    private final DataInputStream in;
    private Optional<SnapshotPart> next;
    private int partCount;

    SnapshotFileReader(Path path) throws IOException {
        in = new DataInputStream(new BufferedInputStream(Files.newInputStream(path), BUFFER_BYTES));
        byte[] magic = SnapshotFileWriter.MAGIC.getBytes(StandardCharsets.US_ASCII);
        if (!Arrays.equals(magic, in.readNBytes(magic.length))) {
            throw new SnapshotDamagedException("the file does not start with the snapshot header");
        }
        next = read();
    }

    @Override
    public boolean hasNext() {
        return next.isPresent();
    }

    @Override
    public SnapshotPart next() {
        SnapshotPart part = next.orElseThrow(NoSuchElementException::new);
        try {
            next = read();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return part;
    }

    private Optional<SnapshotPart> read() throws IOException {
        try {
            int length = in.readInt();
            if (length == SnapshotFileWriter.TRAILER_LENGTH) {
                readTrailer();
                return Optional.empty();
            }
            return Optional.of(readPart(length));
        } catch (SnapshotDamagedException e) {
            throw e;
        } catch (IOException e) {
            throw new SnapshotDamagedException("part " + partCount + " cannot be read", e);
        }
    }

    private SnapshotPart readPart(int length) throws IOException {
        if (length < 0 || length > MAX_PART_BYTES) {
            throw new SnapshotDamagedException("part " + partCount + " has an invalid length: " + length);
        }
        int checksum = in.readInt();
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length || SnapshotFileWriter.checksum(bytes) != checksum) {
            throw new SnapshotDamagedException("part " + partCount + " is truncated or does not match its checksum");
        }
        partCount++;
        return codec.decode(bytes);
    }

    private void readTrailer() throws IOException {
        int expectedCount = in.readInt();
        if (expectedCount != partCount || in.read() >= 0) {
            throw new SnapshotDamagedException(
                    "the file has " + partCount + " parts, but its trailer does not match: " + expectedCount);
        }
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
