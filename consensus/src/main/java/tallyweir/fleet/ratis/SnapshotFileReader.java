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
 * Reads what {@link SnapshotFileWriter} wrote, no more than one part in memory. Damage is thrown as an {@link UncheckedIOException} of a
 * {@link SnapshotDamagedException}.
 */
final class SnapshotFileReader implements Iterator<SnapshotPart>, Closeable {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int PART_BYTES_MOST = 1 << 26;

    private final SnapshotPartCodec codec = new SnapshotPartCodec();
    private final DataInputStream in;
    private Optional<SnapshotPart> next;
    private int parts;

    SnapshotFileReader(Path path) throws IOException {
        in = new DataInputStream(new BufferedInputStream(Files.newInputStream(path), BUFFER_BYTES));
        byte[] magic = SnapshotFileWriter.MAGIC.getBytes(StandardCharsets.US_ASCII);
        if (!Arrays.equals(magic, in.readNBytes(magic.length))) {
            throw new SnapshotDamagedException("it does not begin as a snapshot");
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
            if (length == SnapshotFileWriter.END) {
                readEnd();
                return Optional.empty();
            }
            return Optional.of(readPart(length));
        } catch (SnapshotDamagedException e) {
            throw e;
        } catch (IOException e) {
            throw new SnapshotDamagedException("part " + parts + " cannot be read", e);
        }
    }

    private SnapshotPart readPart(int length) throws IOException {
        if (length < 0 || length > PART_BYTES_MOST) {
            throw new SnapshotDamagedException("part " + parts + " has the length " + length);
        }
        int checksum = in.readInt();
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length || SnapshotFileWriter.checksum(bytes) != checksum) {
            throw new SnapshotDamagedException("part " + parts + " has not the checksum it was written with");
        }
        parts++;
        return codec.decode(bytes);
    }

    private void readEnd() throws IOException {
        int written = in.readInt();
        if (written != parts || in.read() >= 0) {
            throw new SnapshotDamagedException("it has " + parts + " parts and not " + written);
        }
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
