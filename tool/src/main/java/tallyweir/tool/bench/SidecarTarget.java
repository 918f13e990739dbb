package tallyweir.tool.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tallyweir.fastcgi.RequestFields;
import tallyweir.stand.MultiplexedSidecar;

/** Sends queries to a server as sidecars do, over a fixed number of FastCGI connections in turn. */
final class SidecarTarget implements QueryTarget, AutoCloseable {
    private static final int PATIENCE_MILLIS = 1_500;
    private static final String BODY = "bench ";

    private final List<MultiplexedSidecar> connections = new ArrayList<>();
    private int next;

    SidecarTarget(int port, int connectionCount) throws IOException {
        for (int i = 0; i < connectionCount; i++) {
            connections.add(new MultiplexedSidecar(port));
        }
    }

    /** The parameters of a harmless query. */
    static Map<String, String> parameters(Arrival arrival, int sidecar) {
        Map<String, String> parameters = new LinkedHashMap<>();
        parameters.put(RequestFields.METHOD, "POST");
        parameters.put(RequestFields.PATH, "/do/" + ServerConfig.QUERY_WORKLOAD);
        parameters.put(RequestFields.ID, String.format("%016x", arrival.requestId()));
        parameters.put(RequestFields.RECEIVED_AT, Long.toString(System.currentTimeMillis()));
        parameters.put(RequestFields.CALLER, Integer.toString(sidecar));
        parameters.put(RequestFields.TENANT, ServerConfig.tenant(arrival.tenant()));
        parameters.put(RequestFields.TIMEOUT_MS, Integer.toString(PATIENCE_MILLIS));
        parameters.put(RequestFields.SIZE_KB, "4");
        parameters.put(RequestFields.RANK, "0.5");
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
        for (MultiplexedSidecar connection : connections) {
            connection.close();
        }
    }
}
