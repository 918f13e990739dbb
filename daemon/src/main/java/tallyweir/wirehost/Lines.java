package tallyweir.wirehost;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Reads lines of any length as bytes into one array, which is reused. */
final class Lines {
    private final InputStream in;
    private final byte[] chunk = new byte[1 << 16];
    private byte[] line = new byte[1 << 16];
    private int length;
    private int at;
    private int end;

    Lines(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the next line, without its line end.
     *
     * @return false at the end of the input
     */
    boolean next() throws IOException {
        length = 0;
        while (true) {
            for (int i = at; i < end; i++) {
                if (chunk[i] == '\n') {
                    take(i);
                    at = i + 1;
                    return true;
                }
            }
            take(end);
            at = 0;
            end = in.read(chunk);
            if (end <= 0) {
                end = 0;
                return length > 0;
            }
        }
    }

    private void take(int lineEnd) {
        if (length + lineEnd - at > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, length + lineEnd - at));
        }
        System.arraycopy(chunk, at, line, length, lineEnd - at);
        length += lineEnd - at;
    }

    /** Whether the line has only white space and control characters. */
    boolean blank() {
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
