package tallyweir.tool.bench;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.backend.Backend;

/** Works out how many connections a server sees, and measures what happens when there are more callers than places. */
@Command(
        name = "connections",
        mixinStandardHelpOptions = true,
        description =
                "Draws how many connections each server of a fleet sees under the subsets that callers keep to, beside the"
                        + " places that its limit on sockets leaves. With --measure, loads one server with fewer and with"
                        + " more callers than places. Exit code 1 if one server in a thousand has more than its places.")
public final class ConnectionBench implements Callable<Integer> {
    private static final double TAIL_PERCENT = 99.9;
    private static final int ONE_POOL = 1;

    /** Of the callers' descriptors, one in so many is let in only until others have given way, as in Backend. */
    private static final int PLACES_APART = 8;

    private static final int HEAP_MB = 48;
    private static final double[] CALLERS_OVER_PLACES = {0.5, 0.9, 1.1, 1.5, 2};

    @Option(
            names = "--callers",
            defaultValue = "82000",
            description = "Callers, each with a sidecar (${DEFAULT-VALUE}).")
    private int callers;

    @Option(names = "--servers", defaultValue = "6000", description = "Servers of the fleet (${DEFAULT-VALUE}).")
    private int servers;

    @Option(names = "--services", defaultValue = "2500", description = "Services (${DEFAULT-VALUE}).")
    private int services;

    @Option(
            names = "--subset",
            split = ",",
            defaultValue = "12,24",
            description = "Servers that a caller keeps to (${DEFAULT-VALUE}).")
    private int[] subsets;

    @Option(names = "--rate", defaultValue = "183", description = "Queries a second for a server (${DEFAULT-VALUE}).")
    private int rate;

    @Option(
            names = "--idle-s",
            defaultValue = "30",
            description = "After which callers close idle connections, seconds (${DEFAULT-VALUE}).")
    private int idleSeconds;

    @Option(names = "--sockets", defaultValue = "1024", description = "limits.sockets of a server (${DEFAULT-VALUE}).")
    private int sockets;

    @Option(names = "--seed", defaultValue = "1", description = "Everything is drawn from it (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--measure",
            description = "Load a server of this limit with fewer and with more callers than places.")
    private boolean measure;

    @Option(
            names = "--seconds",
            defaultValue = "8",
            description = "Of load for each number of callers (${DEFAULT-VALUE}).")
    private int seconds;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        checkOptions();
        int places = places(sockets);
        int over = 0;
        for (int subset : subsets) {
            over += print(ONE_POOL, subset, false, places);
            over += print(ONE_POOL, subset, true, places);
            over += print(services, subset, false, places);
        }
        if (measure) {
            measure(places);
        }
        line(
                "connections: callers %d, servers %d, sockets %d, places %d, cases over %d",
                callers, servers, sockets, places, over);
        return over == 0 ? 0 : 1;
    }

    /** Callers' connections that a server holds before it closes others for a new one. */
    static int places(int sockets) {
        int accepted = Backend.maxCallerConnections(sockets);
        return accepted - accepted / PLACES_APART;
    }

    /** Prints one drawn case; 1 if its tail is over the places, else 0. */
    private int print(int pools, int subset, boolean uneven, int places) {
        ConnectionModel model = new ConnectionModel(callers, servers, pools, subset, rate, idleSeconds);
        int[] connections = model.draw(uneven, seed);
        int tail = ConnectionModel.percentile(connections, TAIL_PERCENT);
        line(
                "subset %d of %s, callers %s: mean %.1f, p99.9 %d, most %d of %d places (%.2f of them at p99.9)",
                subset,
                pools == ONE_POOL ? "all servers" : "each service's",
                uneven ? "by Zipf" : "alike",
                ConnectionModel.mean(connections),
                tail,
                connections[connections.length - 1],
                places,
                (double) tail / places);
        return tail > places ? 1 : 0;
    }

    private void measure(int places) throws Exception {
        Path files = Files.createTempDirectory("fleet-connections");
        for (double share : CALLERS_OVER_PLACES) {
            int count = (int) (share * places);
            Path directory = files.resolve("server-" + count);
            try (ServerProcess server = ServerProcess.start(directory, 1, sockets, HEAP_MB, null)) {
                server.awaitReady();
                CallerFleet.Result result = CallerFleet.run(server.port(), count, rate, seconds, seed);
                print(count, places, result, server.counters());
            }
        }
    }

    private void print(int count, int places, CallerFleet.Result result, Map<String, Long> counters) {
        LoadResult load = result.load();
        line(
                "%d callers on %d places: handled %.1f/s, p50 %.1f ms p99 %.1f ms p99.9 %.1f ms, refused %d, failed %d,"
                        + " gave up %d; connections opened %d, closed under a query %d; server: accepted %d, closed idle"
                        + " %d, dropped %d, times full %d",
                count,
                places,
                load.handledPerSecond(),
                load.percentileMillis(50),
                load.percentileMillis(99),
                load.percentileMillis(TAIL_PERCENT),
                load.count(QueryOutcome.REFUSED),
                load.count(QueryOutcome.FAILED),
                load.count(QueryOutcome.DISCONNECTED),
                result.connectionsOpened(),
                result.closedUnderQuery(),
                counters.getOrDefault("connections_accepted", 0L),
                counters.getOrDefault("connections_closed_idle", 0L),
                counters.getOrDefault("connections_dropped", 0L),
                counters.getOrDefault("connections_waited", 0L));
    }

    private void line(String format, Object... values) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(String.format(Locale.ROOT, format, values));
        out.flush();
    }

    private void checkOptions() {
        check("--callers", callers, 1_000_000);
        check("--servers", servers, 1_000_000);
        check("--services", services, servers);
        for (int subset : subsets) {
            check("--subset", subset, servers);
        }
        check("--rate", rate, 20_000);
        check("--idle-s", idleSeconds, 3_600);
        check("--seconds", seconds, 600);
        if (places(sockets) < 1 || sockets > 1 << 20) {
            throw new ParameterException(spec.commandLine(), "--sockets is " + sockets + ": it leaves no place");
        }
    }

    private void check(String option, int value, int most) {
        if (value < 1 || value > most) {
            throw new ParameterException(spec.commandLine(), option + " is " + value + ": 1 to " + most + " is needed");
        }
    }
}
