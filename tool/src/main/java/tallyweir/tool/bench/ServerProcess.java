package tallyweir.tool.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tallyweir.stand.StandInSidecar;

/** One {@code serve} process of the program between stand-ins of its own. */
final class ServerProcess implements AutoCloseable {
    private static final String MAIN_CLASS = "tallyweir.cli.Main";
    private static final long READY_NANOS = 60_000_000_000L;
    private static final int PROBE_MILLIS = 2_000;
    private static final int POLL_MILLIS = 20;

    private final StandInPeers peers;
    private final JavaProcess process;

    private ServerProcess(StandInPeers peers, JavaProcess process) {
        this.peers = peers;
        this.process = process;
    }

    /**
     * Starts a server whose files lie in a directory of its own.
     *
     * @param tenants how many its settings name
     * @param sockets descriptors that it may hold
     * @param operators the operators' file, null for none
     */
    static ServerProcess start(Path directory, int tenants, int sockets, int heapMb, Path operators)
            throws IOException, InterruptedException {
        Files.createDirectories(directory);
        String name = directory.getFileName().toString();
        Path config = directory.resolve("config.json");
        StandInPeers peers = new StandInPeers(1);
        try {
            ServerConfig.writeConfig(config, name, peers, tenants, sockets);
            int port = JavaProcess.freePort();
            Map<String, String> environment = new HashMap<>();
            environment.put("EDGE_CONFIG", config.toString());
            environment.put("EDGE_LISTEN", "127.0.0.1:" + port);
            if (operators != null) {
                environment.put("EDGE_OPERATORS", operators.toString());
            }
            List<String> command = JavaProcess.command(heapMb, MAIN_CLASS, List.of("serve"));
            JavaProcess process = JavaProcess.start(command, environment, port, directory.resolve("program.log"));
            return new ServerProcess(peers, process);
        } catch (IOException | InterruptedException e) {
            peers.close();
            throw e;
        }
    }

    /** Returns once it handles queries. */
    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_NANOS;
        for (long probe = 1; System.nanoTime() < end; probe++) {
            try (StandInSidecar sidecar = new StandInSidecar(port())) {
                Arrival arrival = new Arrival(0, 0, probe);
                StandInSidecar.Answer answer =
                        sidecar.exchange(SidecarTarget.parameters(arrival, 0), "probe " + probe, PROBE_MILLIS);
                if (QueryOutcome.of(answer.status()) == QueryOutcome.HANDLED) {
                    return;
                }
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        throw new IOException("a server does not handle queries");
    }

    /** Its counters by name. */
    Map<String, Long> counters() throws IOException {
        Map<String, Long> counters = new LinkedHashMap<>();
        try (StandInSidecar sidecar = new StandInSidecar(port())) {
            Map<String, String> request = Map.of("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/counters");
            String text = sidecar.exchange(request, "", PROBE_MILLIS).body();
            for (String line : text.split("\n")) {
                String[] words = line.strip().split(" ");
                if (words.length == 2) {
                    counters.put(words[0], Long.parseLong(words[1]));
                }
            }
        }
        return counters;
    }

    int port() {
        return process.port();
    }

    List<String> storeAddresses() {
        return peers.storeAddresses();
    }

    JavaProcess process() {
        return process;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        process.close();
        peers.close();
    }
}
