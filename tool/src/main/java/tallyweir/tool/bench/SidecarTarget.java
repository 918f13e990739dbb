package tallyweir.tool.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tallyweir.fastcgi.Fields;
import tallyweir.stand.StandStream;

/** Sends queries to a server as sidecars do, over a fixed number of FastCGI connections in turn. */
final class SidecarTarget implements QueryTarget, AutoCloseable {
    private static final int PATIENCE_MILLIS = 1_500;
    private static final String BODY = "bench ";

    private final List<StandStream> connections = new ArrayList<>();
    private int next;

    SidecarTarget(int port, int connectionCount) throws IOException {
        for (int i = 0; i < connectionCount; i++) {
            connections.add(new StandStream(port));
        }
    }

    /** The parameters of a harmless query. */
    static Map<String, String> parameters(Arrival arrival, int sidecar) {
        Map<String, String> parameters = new LinkedHashMap<>();
        parameters.put(Fields.METHOD, "POST");
        parameters.put(Fields.PATH, "/do/" + ServerConfig.QUERY_WORKLOAD);
        parameters.put(Fields.ID, String.format("%016x", arrival.requestId()));
        parameters.put(Fields.RECEIVED_AT, Long.toString(System.currentTimeMillis()));
        parameters.put(Fields.CALLER, Integer.toString(sidecar));
        parameters.put(Fields.TENANT, ServerConfig.tenant(arrival.tenant()));
        parameters.put(Fields.TIMEOUT_MS, Integer.toString(PATIENCE_MILLIS));
        parameters.put(Fields.SIZE_KB, "4");
        parameters.put(Fields.RANK, "0.5");
        return parameters;
    }

    @Override
    public void send(Arrival arrival, Consumer<QueryOutcome> whenEnded) {
        int sidecar = next;
        next = (next + 1) % connections.size();
        connections
                .get(sidecar)
                .send(parameters(arrival, sidecar), BODY, answer -> whenEnded.accept(QueryOutcome.of(answer.status())));
    }

    @Override
    public void close() throws IOException {
        for (StandStream connection : connections) {
            connection.close();
        }
    }
}
