package tallyweir.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Base64;
import tallyweir.ids.JobId;

/** An incremental parser of the kernel's notices, one JSON object per line. The input may be split at any byte. */
public final class NoticeReader {
    static final int MAX_LINE_BYTES = 64 << 10;
    private static final int MAX_GAUGES = 64;
    private static final byte[] NONE = {};

    /** Receives the events of the parser. Times are in tenths of a millisecond; data is decoded from base64. */
    public interface Sink {
        /**
         * The kernel is up: the first notice on a link.
         *
         * @param coldStart whether the server starts cold on this kernel
         * @param uptime how long ago the kernel started
         */
        void onBooted(boolean coldStart, long uptime);

        /**
         * A run has ended.
         *
         * @param n the number of the notice
         */
        void onRunEnded(long n, JobId job, RunEnd end, byte[] result);

        /** A run is blocked on a call to the store with the given body. */
        void onCall(long n, JobId job, byte[] body);

        /** The gauges requested with the tag, in the order of the settings. */
        void onGauges(String tag, double[] values);

        /** The kernel could not carry out a command. */
        void onCommandFailed(String command, JobId job);

        /** A numbered message of the kernel that needs no action. */
        void onMessage(long n, String text);

        /** An invalid line or one of an unknown type, which is skipped. */
        void onUnknownNotice(String reason);

        /** The stream is invalid from here on; no further event follows. */
        void onInvalidStream(String reason);
    }

    private final JsonFactory jsonFactory = new JsonFactory();
    private final Sink sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private boolean stopped;

    public NoticeReader(Sink sink) {
        this.sink = sink;
    }

    /** Parses all remaining bytes, unless the stream is invalid. */
    public void read(ByteBuffer in) {
        while (!stopped && in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                byte[] complete = line.toByteArray();
                line.reset();
                parseLine(complete);
            } else if (line.size() >= MAX_LINE_BYTES) {
                stopped = true;
                sink.onInvalidStream("a line over " + MAX_LINE_BYTES + " bytes");
            } else {
                line.write(b);
            }
        }
    }

    private void parseLine(byte[] text) {
        String type = "";
        JobId job = new JobId("");
        String state = "";
        String ref = "";
        byte[] data = NONE;
        long n = 0;
        double uptimeMs = 0;
        double[] gauges = {};
        try (JsonParser in = jsonFactory.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
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
                    case "took" -> uptimeMs = in.getValueAsDouble();
                    case "gauges" -> gauges = parseGauges(in);
                    default -> in.skipChildren();
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            sink.onUnknownNotice(e.getMessage());
            return;
        }
        switch (type) {
            case "BOOTED" -> sink.onBooted(state.equals("new"), (long) Math.ceil(uptimeMs * 10));
            case "REAP" -> sink.onRunEnded(n, job, RunEnd.of(state), data);
            case "IOREQ" -> sink.onCall(n, job, data);
            case "INFO" -> sink.onGauges(ref, gauges);
            case "EINVAL" -> sink.onCommandFailed(state, job);
            case "DMESG" -> sink.onMessage(n, state);
            default -> sink.onUnknownNotice("type '" + type + "'");
        }
    }

    private static double[] parseGauges(JsonParser in) throws IOException {
        double[] values = new double[MAX_GAUGES];
        int count = 0;
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new IOException("gauges is not an array");
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (count < MAX_GAUGES) {
                values[count++] = in.getValueAsDouble();
            }
            in.skipChildren();
        }
        return java.util.Arrays.copyOf(values, count);
    }
}
