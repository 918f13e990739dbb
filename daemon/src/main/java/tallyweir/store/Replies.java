package tallyweir.store;

import java.nio.ByteBuffer;
import tallyweir.ids.JobId;

/** Takes the store's replies from bytes however they are split. */
public final class Replies {
    static final int LINE_MOST = 128;
    static final int BODY_MOST = 64 << 10;
    private static final byte[] NONE = {};

    /** What comes out; the word is that of the reply, the body empty but for OK. */
    public interface Sink {
        void replied(JobId job, String word, byte[] body);

        /** The stream cannot be followed any more. */
        void bad(String why);
    }

    private final Sink sink;
    private final StringBuilder line = new StringBuilder();
    private JobId job;
    private byte[] body; // being read, with its line end; null between replies
    private int bodyRead;
    private boolean over;

    public Replies(Sink sink) {
        this.sink = sink;
    }

    public void read(ByteBuffer in) {
        while (!over && in.hasRemaining()) {
            if (body != null) {
                int take = Math.min(body.length - bodyRead, in.remaining());
                in.get(body, bodyRead, take);
                bodyRead += take;
                if (bodyRead == body.length) {
                    bodyEnded();
                }
            } else {
                char c = (char) (in.get() & 0xff);
                if (c == '\n') {
                    lineEnded();
                } else if (line.length() >= LINE_MOST) {
                    bad("a line over " + LINE_MOST + " bytes");
                } else {
                    line.append(c);
                }
            }
        }
    }

    private void lineEnded() {
        String text = line.toString();
        line.setLength(0);
        if (text.matches("[!-~]+ (BUSY|ERR|LATE|VOID)\r")) {
            int space = text.indexOf(' ');
            sink.replied(new JobId(text.substring(0, space)), text.substring(space + 1, text.length() - 1), NONE);
        } else if (text.matches("[!-~]+ OK [0-9]{1,6}\r")) {
            int length = Integer.parseInt(text.substring(text.lastIndexOf(' ') + 1, text.length() - 1));
            if (length > BODY_MOST) {
                bad("a reply of " + length + " bytes");
                return;
            }
            job = new JobId(text.substring(0, text.indexOf(' ')));
            body = new byte[length + 2];
            bodyRead = 0;
        } else {
            bad("a line that is no reply: " + text.strip().replaceAll("[^ -~]", "?"));
        }
    }

    private void bodyEnded() {
        byte[] whole = body;
        body = null;
        int length = whole.length - 2;
        if (whole[length] != '\r' || whole[length + 1] != '\n') {
            bad("a reply that does not end with its line");
            return;
        }
        sink.replied(job, "OK", java.util.Arrays.copyOf(whole, length));
    }

    private void bad(String why) {
        over = true;
        sink.bad(why);
    }
}
