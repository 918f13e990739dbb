package tallyweir.wirehost;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Reads lines of any length as bytes into one array, which is reused. */
final class LineReader {
    private final InputStream in;
    private final byte[] chunk = new byte[1 << 16];
    private byte[] line = new byte[1 << 16];
    private int length;
    private int position;
    private int limit;

    LineReader(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the next line, without its line end.
     *
     * @return false at the end of the input
     */
    boolean readLine() throws IOException {
        length = 0;
        while (true) {
            for (int i = position; i < limit; i++) {
                if (chunk[i] == '\n') {
                    append(i);
                    position = i + 1;
                    return true;
                }
            }
            append(limit);
            position = 0;
            limit = in.read(chunk);
            if (limit <= 0) {
                limit = 0;
                return length > 0;
            }
        }
    }

    private void append(int lineEnd) {
        if (length + lineEnd - position > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, length + lineEnd - position));
        }
        System.arraycopy(chunk, position, line, length, lineEnd - position);
        length += lineEnd - position;
    }

    /** Whether the line has only white space and control characters. */
    boolean isBlank() {
        for (int i = 0; i < length; i++) {
            if (line[i] > ' ' || line[i] < 0) {
                return false;
            }
        }
        return true;
    }

    /** The array with the line at its start, valid until the next line is read. */
    byte[] bytes() {
        return line;
    }

    /** The length of the line in bytes. */
    int length() {
        return length;
    }
}
