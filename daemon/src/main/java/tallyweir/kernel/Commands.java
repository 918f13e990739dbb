package tallyweir.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import tallyweir.ids.JobId;

/** Encodes the commands to the kernel, one JSON object per line. */
public final class Commands {
    private static final JsonFactory JSON = new JsonFactory();

    private Commands() {}

    private interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    /**
     * The first command on a link.
     *
     * @param lastNotice the number of the last notice read, 0 for none
     */
    public static byte[] open(long lastNotice) {
        return line("OPEN", json -> json.writeNumberField("n", lastNotice));
    }

    /** Starts a run of the given kind. */
    public static byte[] run(JobId job, String kind, byte[] body) {
        return line("SCHED", json -> {
            json.writeStringField("job", job.value());
            json.writeStringField("kind", kind);
            json.writeBinaryField("data", body);
        });
    }

    /** Stops a run. */
    public static byte[] stop(JobId job) {
        return line("PREEMPT", json -> json.writeStringField("job", job.value()));
    }

    /** Gives a blocked run the reply to its call. */
    public static byte[] reply(JobId job, byte[] body) {
        return line("IODONE", json -> {
            json.writeStringField("job", job.value());
            json.writeBinaryField("data", body);
        });
    }

    /** Requests the gauges; the notice that answers carries the tag. */
    public static byte[] gauges(String tag) {
        return line("SYSINFO", json -> json.writeStringField("ref", tag));
    }

    private static byte[] line(String type, FieldWriter fields) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("type", type);
            fields.write(json);
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
