package tallyweir.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Base64;
import tallyweir.ids.JobId;

/** Takes the kernel's notices, one JSON object a line, from bytes however they are split. */
public final class Notices {
    static final int LINE_MOST = 64 << 10;
    private static final int GAUGES_MOST = 64;
    private static final byte[] NONE = {};

    /** What comes out; times are tenths of a millisecond, data is as it was before base64. */
    public interface Sink {
        void booted(boolean fresh, long before);

        void ended(long n, JobId job, String how, byte[] result);

        void needs(long n, JobId job, byte[] body);

        void gauges(String tag, double[] values);

        void notDone(String command, JobId job);

        void remark(long n, String text);

        /** A line that says nothing known; it is passed over. */
        void unknown(String why);

        /** The stream cannot be followed any more. */
        void bad(String why);
    }

    private final JsonFactory json = new JsonFactory();
    private final Sink sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private boolean over;

    public Notices(Sink sink) {
        this.sink = sink;
    }

    public void read(ByteBuffer in) {
        while (!over && in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                byte[] whole = line.toByteArray();
                line.reset();
                take(whole);
            } else if (line.size() >= LINE_MOST) {
                over = true;
                sink.bad("a line over " + LINE_MOST + " bytes");
            } else {
                line.write(b);
            }
        }
    }

    private void take(byte[] text) {
        String type = "";
        JobId job = new JobId("");
        String state = "";
        String ref = "";
        byte[] data = NONE;
        long n = 0;
        double took = 0;
        double[] gauges = {};
        try (JsonParser in = json.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("no object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "type" -> type = in.getValueAsString("");
                    case "job" -> job = new JobId(in.getValueAsString(""));
                    case "state" -> state = in.getValueAsString("");
                    case "ref" -> ref = in.getValueAsString("");
                    case "data" -> data = Base64.getDecoder().decode(in.getValueAsString(""));
                    case "n" -> n = in.getValueAsLong();
                    case "took" -> took = in.getValueAsDouble();
                    case "gauges" -> gauges = gauges(in);
                    default -> in.skipChildren();
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            sink.unknown(e.getMessage());
            return;
        }
        switch (type) {
            case "BOOTED" -> sink.booted(state.equals("new"), (long) Math.ceil(took * 10));
            case "REAP" -> sink.ended(n, job, state, data);
            case "IOREQ" -> sink.needs(n, job, data);
            case "INFO" -> sink.gauges(ref, gauges);
            case "EINVAL" -> sink.notDone(state, job);
            case "DMESG" -> sink.remark(n, state);
            default -> sink.unknown("type '" + type + "'");
        }
    }

    private static double[] gauges(JsonParser in) throws IOException {
        double[] values = new double[GAUGES_MOST];
        int count = 0;
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new IOException("gauges is no list");
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (count < GAUGES_MOST) {
                values[count++] = in.getValueAsDouble();
            }
            in.skipChildren();
        }
        return java.util.Arrays.copyOf(values, count);
    }
}
