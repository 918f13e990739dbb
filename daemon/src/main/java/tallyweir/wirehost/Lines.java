package tallyweir.wirehost;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Lines of any length as bytes, in one array used again. */
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

    private void take(int until) {
        if (length + until - at > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, length + until - at));
        }
        System.arraycopy(chunk, at, line, length, until - at);
        length += until - at;
    }

    boolean blank() {
        for (int i = 0; i < length; i++) {
            if (line[i] > ' ' || line[i] < 0) {
                return false;
            }
        }
        return true;
    }

    byte[] bytes() {
        return line;
    }

    int length() {
        return length;
    }
}
