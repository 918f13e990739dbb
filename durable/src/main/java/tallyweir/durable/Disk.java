package tallyweir.durable;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One directory of files, as far as the store needs one. Nothing is promised but what a force confirmed: content by
 * {@link Handle#force}, names that came or went by {@link #forceNames}. Everything may fail with an IOException.
 */
public interface Disk {
    /** The names of all files here, in any order. */
    List<String> names() throws IOException;

    /** Opens a file that is there, for reading and (where the directory allows it) writing. */
    Handle open(String name) throws IOException;

    /** Makes an empty file; what had the name before is emptied. */
    Handle create(String name) throws IOException;

    /** Makes an empty file of a name that must not be there. */
    Handle createNew(String name) throws IOException;

    /** Takes a file away; open handles go on reading it. One that is not there is no error. */
    void delete(String name) throws IOException;

    /** Returns once the names that came or went are on the disk. */
    void forceNames() throws IOException;

    /** Keeps every other process out until closed; fails at once where another holds it. */
    Closeable lock() throws IOException;

    /** What messages call this directory. */
    String where();

    /** One open file. Positions and sizes are bytes. Reads may go on beside one writer. */
    interface Handle extends Closeable {
        /** Reads at a position; fewer bytes than asked may come, -1 past the end. */
        int read(long at, ByteBuffer into) throws IOException;

        /** Writes at a position; fewer bytes than given may be taken. */
        int write(long at, ByteBuffer from) throws IOException;

        /** Returns once all that was written is on the disk. After a failure nothing is known of it. */
        void force() throws IOException;

        long size() throws IOException;

        /** Reads until the buffer is full or the file ends; how many bytes came. */
        default int readFully(long at, ByteBuffer into) throws IOException {
            int before = into.position();
            while (into.hasRemaining()) {
                int got = read(at + into.position() - before, into);
                if (got < 0) {
                    break;
                }
            }
            return into.position() - before;
        }

        /** Writes all of the buffer. */
        default void writeFully(long at, ByteBuffer from) throws IOException {
            int before = from.position();
            int idle = 0;
            while (from.hasRemaining()) {
                int put = write(at + from.position() - before, from);
                idle = put > 0 ? 0 : idle + 1;
                if (idle > 8) {
                    throw new IOException("the disk takes no bytes");
                }
            }
        }
    }
}
