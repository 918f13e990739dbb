package tallyweir.tool.bench;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Writes a revision of a fleet of a given size, as {@code fleet publish} takes it. The workload that is asked for has a few
 * routes, all to stores that answer; the other routes are of a workload that nobody asks for.
 */
final class RevisionFile {
    private static final int CAP = 1_000;
    private static final int FIRST_PORT = 10_000;
    private static final int HOSTS = 250;

    private RevisionFile() {}

    static void write(Path file, List<String> answering, int routes, int tenants) throws IOException {
        int asked = Math.min(answering.size(), routes / 2); // every workload needs a route
        try (JsonGenerator out = new JsonFactory().createGenerator(file.toFile(), JsonEncoding.UTF8)) {
            out.writeStartObject();
            out.writeArrayFieldStart("stores");
            for (int i = 0; i < routes; i++) {
                writeRoute(out, i < asked ? answering.get(i) : otherAddress(i), i < asked);
            }
            out.writeEndArray();
            out.writeObjectFieldStart("caps");
            for (int rank = 0; rank < tenants; rank++) {
                out.writeNumberField(ServerConfig.tenant(rank), CAP);
            }
            out.writeEndObject();
            out.writeEndObject();
        }
    }

    private static void writeRoute(JsonGenerator out, String address, boolean asked) throws IOException {
        out.writeStartObject();
        out.writeStringField("address", address);
        out.writeArrayFieldStart("workloads");
        out.writeString(asked ? ServerConfig.QUERY_WORKLOAD : ServerConfig.OTHER_WORKLOAD);
        out.writeEndArray();
        out.writeEndObject();
    }

    private static String otherAddress(int index) {
        return "10.0.0." + (1 + index % HOSTS) + ":" + (FIRST_PORT + index / HOSTS);
    }
}
