package tallyweir.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import tallyweir.ids.JobId;

/** The commands to the kernel as they are written. */
public final class Commands {
    private static final JsonFactory JSON = new JsonFactory();

    private Commands() {}

    private interface Rest {
        void write(JsonGenerator to) throws IOException;
    }

    /** The first on a link, with the number of the last notice that was read. */
    public static byte[] open(long n) {
        return line("OPEN", g -> g.writeNumberField("n", n));
    }

    public static byte[] run(JobId job, String kind, byte[] body) {
        return line("SCHED", g -> {
            g.writeStringField("job", job.value());
            g.writeStringField("kind", kind);
            g.writeBinaryField("data", body);
        });
    }

    public static byte[] stop(JobId job) {
        return line("PREEMPT", g -> g.writeStringField("job", job.value()));
    }

    public static byte[] reply(JobId job, byte[] body) {
        return line("IODONE", g -> {
            g.writeStringField("job", job.value());
            g.writeBinaryField("data", body);
        });
    }

    public static byte[] gauges(String tag) {
        return line("SYSINFO", g -> g.writeStringField("ref", tag));
    }

    private static byte[] line(String type, Rest rest) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator g = JSON.createGenerator(out)) {
            g.writeStartObject();
            g.writeStringField("type", type);
            rest.write(g);
            g.writeEndObject();
            g.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
