package tallyweir.tool.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;

/** Writes the configuration and the operators' file of the servers that a bench starts. */
final class ServerConfig {
    /** The workload of all queries that a bench sends. */
    static final String QUERY_WORKLOAD = "look";

    /** A workload that is configured and never asked for. */
    static final String OTHER_WORKLOAD = "list";

    /** Cores of a kernel, far more than the load needs, so that nothing waits for one. */
    static final int CORES = 64;

    /** Servers that a fleet has room for: with the caps of a bench, all of a server's share is its floor. */
    private static final int FLEET_PLACES = 4;

    private static final double FLOOR_SHARE = 0.5;
    private static final int TARGET_MICROS = 1_000_000;
    private static final int DEADLINE_MICROS = 1_500_000;
    private static final int QUOTA_PER_SECOND = 1_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private ServerConfig() {}

    /** The name of the tenant of a rank. */
    static String tenant(int rank) {
        return "t" + rank;
    }

    /** The file that {@code EDGE_CONFIG} names. */
    static void writeConfig(Path file, String name, StandInPeers peers, int tenants, int sockets) throws IOException {
        ObjectNode config = JSON.createObjectNode();
        config.put("name", name);
        config.put("kernel", peers.kernelAddress());
        config.put("store", peers.storeAddresses().get(0));
        config.put("announce", peers.announceAddress());
        config.put("seed", "1");
        config.put("stop_ms", 500);
        ObjectNode limits = config.putObject("limits");
        limits.put("cores", 1.0).put("memory_mb", 192).put("sockets", sockets);
        settings(config.putObject("settings"), tenants);
        JSON.writeValue(file.toFile(), config);
    }

    private static void settings(ObjectNode settings, int tenants) {
        ArrayNode classes = settings.putArray("Classes");
        workload(classes.addObject(), QUERY_WORKLOAD);
        workload(classes.addObject(), OTHER_WORKLOAD);
        ArrayNode projects = settings.putArray("Projects");
        for (int rank = 0; rank < tenants; rank++) {
            projects.addObject().put("Name", tenant(rank)).put("QuotaPerS", QUOTA_PER_SECOND);
        }
        settings.put("Servers", 1);
        ObjectNode info = settings.putObject("FamilyInfo");
        info.putArray("ClassCalls").add(true).add(true);
        info.put("Cpus", CORES).put("MemLimitKb", 5_000_000).put("RunMemFactor", 2);
        info.put("Halt", "off").put("IdleUs", 30_000_000).put("PassesDeadline", true);
        info.putArray("Gauges")
                .add("core_use")
                .add("on_cores")
                .add("heap_share")
                .add("links");
        settings.putObject("Permissions").put("RetryAfter", true).put("MaxRetryAfterUs", 1_000_000);
        settings.put("RoundUs", 5_000);
        ObjectNode rules = settings.putObject("Rules");
        rules.put("AnswerSlackUs", 60_000).put("DrainGraceUs", 500_000);
        rules.put("FallMultiple", 8).put("FallUs", 3_000_000);
    }

    private static void workload(ObjectNode workload, String name) {
        workload.put("Name", name).put("Effect", "safe").put("Worth", 1);
        workload.put("TargetUs", TARGET_MICROS).put("DeadlineUs", DEADLINE_MICROS);
    }

    /** The file that {@code EDGE_OPERATORS} names, for a fleet with one voter. */
    static void writeOperators(Path file, String voterName, int voterPort, Path logDirectory) throws IOException {
        ObjectNode operators = JSON.createObjectNode();
        ObjectNode fleet = operators.putObject("fleet");
        fleet.put("name", "bench").put("dir", logDirectory.toString());
        fleet.putObject("voters").put(voterName, "127.0.0.1:" + voterPort);
        fleet.put("servers_most", FLEET_PLACES).put("floor_share", FLOOR_SHARE);
        JSON.writeValue(file.toFile(), operators);
    }
}
