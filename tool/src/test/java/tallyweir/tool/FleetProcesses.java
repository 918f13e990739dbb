package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.config.OperatorSettings;
import tallyweir.fleet.ratis.RatisFleetClient;
import tallyweir.stand.StandInSidecar;

/** A fleet of processes for a test, and what operators do to it. */
abstract class FleetProcesses {
    static final int LEASE_MS = 2_000;
    private static final int PATIENCE_MS = 40_000;
    private static final int GIVE_UP_MS = 10_000;

    @TempDir
    Path dir;

    FleetStage stage;
    RatisFleetClient link;
    private final List<RouteWatcher> watchers = new ArrayList<>();

    void start(int servers, int stores) throws Exception {
        stage = new FleetStage(dir, servers, stores, null, 1, LEASE_MS, List.of());
        OperatorSettings operators = OperatorSettings.read(stage.operators);
        link = new RatisFleetClient(operators.fleetName(), operators.voters(), GIVE_UP_MS);
        until("all are in", () -> acting(0) == servers);
    }

    @AfterEach
    void end() throws Exception {
        for (RouteWatcher watcher : watchers) {
            watcher.close();
        }
        if (link != null) {
            link.close();
        }
        if (stage != null) {
            stage.close();
        }
    }

    /** Something that a test waits for. */
    interface Check {
        boolean holds() throws Exception;
    }

    void until(String what, Check check) throws Exception {
        long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        while (!check.holds()) {
            assertTrue(System.nanoTime() < end, () -> "not in time: " + what + "; " + auditText());
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private String auditText() {
        try {
            return link.audit().toJson().toString();
        } catch (RuntimeException e) {
            return "no audit: " + e.getMessage();
        }
    }

    /** How many live servers act on a revision, if it is in force; -1 while that cannot be known. */
    int acting(long revision) {
        try {
            JsonNode audit = link.audit().toJson();
            int acting = 0;
            for (JsonNode server : audit.get("servers")) {
                boolean live = server.get("standing").textValue().equals("LIVE")
                        && !server.get("silent").booleanValue()
                        && !server.get("odd").booleanValue();
                acting += live && server.get("acting").longValue() == revision ? 1 : 0;
            }
            return audit.get("in_force").longValue() == revision ? acting : -1;
        } catch (RuntimeException e) {
            return -1; // nobody leads at the moment
        }
    }

    /** Runs an operator's command here. */
    int command(String... args) {
        return command(new StringWriter(), args);
    }

    int command(StringWriter said, String... args) {
        List<String> all = new ArrayList<>(List.of("fleet"));
        all.addAll(List.of(args));
        all.addAll(List.of("--operators", stage.operators.toString()));
        int code = Main.run(new PrintWriter(said, true), new PrintWriter(said, true), all.toArray(new String[0]));
        System.out.println(String.join(" ", args) + ": " + code + " " + said);
        return code;
    }

    int publish(Path file) {
        return command("publish", file.toString(), "--why", file.getFileName().toString());
    }

    RouteWatcher watch(int server) {
        RouteWatcher watcher = new RouteWatcher(stage, server);
        watchers.add(watcher);
        return watcher;
    }

    /** How often a server has said that it acts on a revision. */
    long timesActing(int server) throws IOException {
        return stage.log(server).stream()
                .filter(line -> line.contains("acts on a revision"))
                .count();
    }

    /** The store that a query of each workload, read by this server now, calls. */
    int storeOf(int server) throws IOException {
        int store = -1;
        for (String workload : FleetStage.WORKLOADS) {
            String job = stage.job();
            try (StandInSidecar sidecar =
                    new StandInSidecar(stage.servers.get(server).port())) {
                assertEquals(
                        200,
                        FleetStage.ask(sidecar, job, FleetStage.FREE, workload, 5_000)
                                .status());
            }
            List<Integer> stores = stage.storesOf(job);
            assertEquals(1, stores.size());
            assertTrue(store < 0 || store == stores.get(0), "workloads under two revisions");
            store = stores.get(0);
        }
        return store;
    }
}
