package tallyweir.durable;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The operations on one directory of files that the store needs. Only forced changes are durable: file contents after
 * {@link Handle#force}, creations and deletions of names after {@link #forceDirectory}. Every operation may throw an IOException.
 */
public interface Disk {
    /** The names of all files in the directory, in any order. */
    List<String> fileNames() throws IOException;

    /** Opens an existing file for reading and, where its permissions allow it, for writing. */
    Handle open(String name) throws IOException;

    /** Creates an empty file; an existing file of the name is truncated. */
    Handle create(String name) throws IOException;

    /** Creates an empty file; fails if the name exists. */
    Handle createNew(String name) throws IOException;

    /** Deletes a file; open handles remain readable. Deleting a file that does not exist is not an error. */
    void delete(String name) throws IOException;

    /** Returns once all creations and deletions of names are on the disk. */
    void forceDirectory() throws IOException;

    /** Takes an exclusive lock, held until the result is closed; fails at once if another process holds it. */
    Closeable lock() throws IOException;

    /** The directory's path or another description of it, for messages. */
    String description();

    /** An open file. Positions and sizes are in bytes. Reads may run concurrently with one writer. */
    interface Handle extends Closeable {
        /** Reads at a position and returns the number of bytes, which may be fewer than requested; -1 at or past the end. */
        int read(long at, ByteBuffer into) throws IOException;

        /** Writes at a position and returns the number of bytes written, which may be fewer than given. */
        int write(long at, ByteBuffer from) throws IOException;

        /** Returns once everything written is on the disk. After a failure the state of that data is unknown. */
        void force() throws IOException;

        long size() throws IOException;

        /** Reads until the buffer is full or the file ends; returns the number of bytes read. */
        default int readFully(long at, ByteBuffer into) throws IOException {
            int before = into.position();
            while (into.hasRemaining()) {
                int count = read(at + into.position() - before, into);
                if (count < 0) {
                    break;
                }
            }
            return into.position() - before;
        }

        /** Writes the whole buffer; fails after more than 8 consecutive writes that accept no byte. */
        default void writeFully(long at, ByteBuffer from) throws IOException {
            int before = from.position();
            int emptyWrites = 0;
            while (from.hasRemaining()) {
                int count = write(at + from.position() - before, from);
                emptyWrites = count > 0 ? 0 : emptyWrites + 1;
                if (emptyWrites > 8) {
                    throw new IOException("the disk accepts no bytes");
                }
            }
        }
    }
}
