package tallyweir.store;

import java.nio.ByteBuffer;
import tallyweir.ids.JobId;

/** An incremental parser of the store's replies. The input may be split at any byte. */
public final class ReplyReader {
    static final int MAX_LINE_BYTES = 128;
    static final int MAX_BODY_BYTES = 64 << 10;
    private static final byte[] NONE = {};

    /** Receives the events of the parser. */
    public interface Sink {
        /**
         * A complete reply.
         *
         * @param word its result: OK, BUSY, ERR, LATE or VOID
         * @param body empty unless the result is OK
         */
        void onReply(JobId job, String word, byte[] body);

        /** The stream is invalid from here on; no further event follows. */
        void onInvalidStream(String reason);
    }

    private final Sink sink;
    private final StringBuilder line = new StringBuilder();
    private JobId job;
    private byte[] body; // the body being read, including its line end; null between replies
    private int bodyRead;
    private boolean stopped;

    public ReplyReader(Sink sink) {
        this.sink = sink;
    }

    /** Parses all remaining bytes, unless the stream is invalid. */
    public void read(ByteBuffer in) {
        while (!stopped && in.hasRemaining()) {
            if (body != null) {
                int count = Math.min(body.length - bodyRead, in.remaining());
                in.get(body, bodyRead, count);
                bodyRead += count;
                if (bodyRead == body.length) {
                    bodyComplete();
                }
            } else {
                char c = (char) (in.get() & 0xff);
                if (c == '\n') {
                    lineComplete();
                } else if (line.length() >= MAX_LINE_BYTES) {
                    invalidStream("a line over " + MAX_LINE_BYTES + " bytes");
                } else {
                    line.append(c);
                }
            }
        }
    }

    private void lineComplete() {
        String text = line.toString();
        line.setLength(0);
        if (text.matches("[!-~]+ (BUSY|ERR|LATE|VOID)\r")) {
            int space = text.indexOf(' ');
            sink.onReply(new JobId(text.substring(0, space)), text.substring(space + 1, text.length() - 1), NONE);
        } else if (text.matches("[!-~]+ OK [0-9]{1,6}\r")) {
            int length = Integer.parseInt(text.substring(text.lastIndexOf(' ') + 1, text.length() - 1));
            if (length > MAX_BODY_BYTES) {
                invalidStream("a reply of " + length + " bytes");
                return;
            }
            job = new JobId(text.substring(0, text.indexOf(' ')));
            body = new byte[length + 2];
            bodyRead = 0;
        } else {
            invalidStream("a line that is no reply: " + text.strip().replaceAll("[^ -~]", "?"));
        }
    }

    private void bodyComplete() {
        byte[] complete = body;
        body = null;
        int length = complete.length - 2;
        if (complete[length] != '\r' || complete[length + 1] != '\n') {
            invalidStream("a reply body without its line end");
            return;
        }
        sink.onReply(job, "OK", java.util.Arrays.copyOf(complete, length));
    }

    private void invalidStream(String reason) {
        stopped = true;
        sink.onInvalidStream(reason);
    }
}
