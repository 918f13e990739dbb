package tallyweir.tool.bench;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Writes a revision of a fleet of a given size, as {@code fleet publish} takes it. The workload that is asked for has a few
 * routes, all to one store that answers; the other routes are of a workload that nobody asks for.
 */
final class RevisionFile {
    /** Routes of one workload: 31,000 routes of 2,500 services are 12.4 of each. */
    private static final int ROUTES_PER_WORKLOAD = 12;

    private static final int CAP = 1_000;
    private static final int FIRST_PORT = 10_000;
    private static final int HOSTS = 250;

    private RevisionFile() {}

    static void write(Path file, String storeAddress, int routes, int tenants) throws IOException {
        int asked = Math.min(ROUTES_PER_WORKLOAD, routes / 2); // every workload needs a route
        try (JsonGenerator out = new JsonFactory().createGenerator(file.toFile(), JsonEncoding.UTF8)) {
            out.writeStartObject();
            out.writeArrayFieldStart("stores");
            for (int i = 0; i < routes; i++) {
                writeRoute(out, storeAddress, i, i < asked);
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

    private static void writeRoute(JsonGenerator out, String storeAddress, int index, boolean asked)
            throws IOException {
        out.writeStartObject();
        out.writeStringField("address", asked ? storeAddress : otherAddress(index));
        out.writeArrayFieldStart("workloads");
        out.writeString(asked ? ServerConfig.QUERY_WORKLOAD : ServerConfig.OTHER_WORKLOAD);
        out.writeEndArray();
        out.writeEndObject();
    }

    private static String otherAddress(int index) {
        return "10.0.0." + (1 + index % HOSTS) + ":" + (FIRST_PORT + index / HOSTS);
    }
}
