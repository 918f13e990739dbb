package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tallyweir.config.OperatorSettings;
import tallyweir.fleet.ratis.RatisFleetClient;
import tallyweir.stand.FaultRelay;
import tallyweir.stand.StandInSidecar;

/**
 * Three processes of the program that keep a fleet's log and serve, killed while revisions change. Each revision routes
 * calls to a store of its own, so which revision a query was under is seen there, not asked of the servers.
 */
class FleetTest {
    private static final int SERVERS = 3;
    private static final int PATIENCE_MS = 30_000;

    @TempDir
    private Path dir;

    private FleetStage stage;
    private List<Program> servers;
    private Path operators;
    private RatisFleetClient link;

    @BeforeEach
    void start() throws Exception {
        stage = new FleetStage(dir, SERVERS, SERVERS, null, 1, 2_000, List.of());
        operators = stage.operators;
        servers = stage.servers;
        OperatorSettings o = OperatorSettings.read(operators);
        link = new RatisFleetClient(o.fleetName(), o.voters(), 10_000);
        until("all are in", () -> acting(0, SERVERS));
    }

    @AfterEach
    void end() throws Exception {
        if (link != null) {
            link.close();
        }
        stage.close();
    }

    private interface Check {
        boolean holds() throws Exception;
    }

    private void until(String what, Check check) throws Exception {
        long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        while (!check.holds()) {
            assertTrue(
                    System.nanoTime() < end,
                    "not in time: " + what + "; " + link.audit().toJson());
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Whether so many live servers say that they act on a revision. */
    private boolean acting(long revision, int servers) {
        try {
            JsonNode a = link.audit().toJson();
            int is = 0;
            for (JsonNode s : a.get("servers")) {
                is += s.get("standing").textValue().equals("LIVE")
                                && s.get("acting").longValue() == revision
                        ? 1
                        : 0;
            }
            return a.get("in_force").longValue() == revision && is >= servers;
        } catch (RuntimeException e) {
            return false; // nobody leads at the moment
        }
    }

    private int command(String... args) {
        StringWriter said = new StringWriter();
        int code = Main.run(new PrintWriter(said, true), new PrintWriter(said, true), args);
        System.out.println(String.join(" ", args) + ": " + code + " " + said);
        return code;
    }

    private int publish(int store, String more) throws IOException {
        return command(
                "fleet",
                "publish",
                stage.revision(store, more).toString(),
                "--operators",
                operators.toString(),
                "--why",
                "store " + store);
    }

    /** The store that a query read by this server now calls. */
    private int storeOf(int server) throws Exception {
        try (StandInSidecar s = new StandInSidecar(servers.get(server).port())) {
            String job = stage.job();
            assertEquals(200, FleetStage.ask(s, job, FleetStage.FREE, 5_000).status(), "server " + server);
            assertEquals(1, stage.storesOf(job).size());
            return stage.storesOf(job).get(0);
        }
    }

    @Test
    void aQueryIsRoutedByTheRevisionInForceThroughKillsOfTheLeaderAndARollback() throws Exception {
        assertEquals(0, publish(0, ""));
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(0, storeOf(i));
        }
        int killed = stage.leader();
        assertTrue(killed >= 0, "somebody leads");
        servers.get(killed).kill();
        assertEquals(0, publish(1, ""), "under the next leader, with one of three gone");
        for (int i = 0; i < SERVERS; i++) {
            if (i != killed) {
                assertEquals(1, storeOf(i));
            }
        }
        servers.get(killed).start();
        until("the killed one is back", () -> acting(2, SERVERS));
        assertEquals(1, storeOf(killed), "brought up to what came into force without it");
        assertEquals(
                0, command("fleet", "rollback", "--to", "1", "--operators", operators.toString(), "--why", "worse"));
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(0, storeOf(i));
        }
        assertEquals(
                11,
                command(
                        "fleet",
                        "rollback",
                        "--to",
                        "2",
                        "--expected",
                        "2",
                        "--operators",
                        operators.toString(),
                        "--why",
                        "late"),
                "somebody else was first");
        assertEquals(12, publish(0, ",\"caps\":{\"ten\":-1},\"colour\":1"));
        assertEquals(0, command("fleet", "audit", "--operators", operators.toString()));
    }

    /** How many of so many queries at once a server takes of a tenant, each on a connection of its own. */
    private int taken(int server, String tenant, int queries) throws Exception {
        AtomicInteger taken = new AtomicInteger();
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < queries; i++) {
            Thread t = new Thread(() -> {
                try (StandInSidecar s = new StandInSidecar(servers.get(server).port())) {
                    taken.addAndGet(
                            FleetStage.ask(s, stage.job(), tenant, 5_000).status() == 200 ? 1 : 0);
                } catch (IOException e) {
                    taken.addAndGet(queries); // it must answer
                }
            });
            all.add(t);
            t.start();
        }
        for (Thread t : all) {
            t.join();
        }
        return taken.get();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLeaderThatIsCutOffServesOnUnderWhatItHasAndIsBroughtUpWhenTheCutIsMended(boolean inSilence) throws Exception {
        assertEquals(0, publish(0, ",\"caps\":{\"ten\":16}")); // of which each of four places has a floor of two
        until("shares are lent to who asks", () -> taken(stage.leader(), "ten", 8) >= 5);
        int alone = stage.leader();
        stage.around(alone).forEach(r -> {
            if (inSilence) {
                r.stall(true, true);
            } else {
                r.resetAll();
            }
        });
        TimeUnit.MILLISECONDS.sleep(2_500); // its lease is over by its own clock
        assertTrue(taken(alone, "ten", 8) <= 2, "no more than its floor");
        assertEquals(8, taken(alone, "free", 8), "whoever has no cap goes on");
        try (RatisFleetClient rest = new RatisFleetClient(link.fleetName(), others(alone), 10_000)) {
            link.close();
            link = rest;
            publishTo(1, alone);
            assertEquals(0, storeOf(alone), "it cannot know of the next revision");
            for (int i = 0; i < SERVERS; i++) {
                assertEquals(i == alone ? 0 : 1, storeOf(i));
            }
        }
        stage.around(alone).forEach(FaultRelay::endFaults);
        OperatorSettings o = OperatorSettings.read(operators);
        link = new RatisFleetClient(o.fleetName(), o.voters(), 10_000);
        until("it is brought up", () -> acting(2, SERVERS));
        assertEquals(1, storeOf(alone));
    }

    private Map<String, String> others(int alone) {
        Map<String, String> all =
                new LinkedHashMap<>(OperatorSettings.read(operators).voters());
        all.remove("v" + alone);
        return all;
    }

    /** Publishes by an operator who reaches only the others. */
    private void publishTo(int store, int alone) throws IOException {
        Path file = Files.writeString(
                dir.resolve("others.json"),
                Files.readString(operators)
                        .replaceAll("\"v" + alone + "\":\"v[0-9]:([0-9]+)\"", "\"v" + alone + "\":\"127.0.0.1:1\""));
        Path before = operators;
        operators = file;
        assertEquals(0, publish(store, ",\"caps\":{\"ten\":16}"));
        operators = before;
    }

    @Test
    void withoutAnyMajorityEveryServerGoesOnAndNothingIsAcknowledged() throws Exception {
        assertEquals(0, publish(0, ""));
        stage.all().forEach(FaultRelay::resetAll);
        TimeUnit.MILLISECONDS.sleep(3_000);
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(4, taken(i, "free", 4), "server " + i);
            assertEquals(0, storeOf(i));
        }
        assertEquals(10, publish(1, ""), "nobody leads");
        stage.all().forEach(FaultRelay::endFaults);
        until("somebody leads again", () -> acting(1, SERVERS));
        assertEquals(0, publish(1, ""));
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(1, storeOf(i));
        }
    }

    /** Asks on and on, each time on a connection of its own, and notes what was open when. */
    private Thread client(
            int server, String tenant, List<FleetStage.Open> opened, AtomicInteger turnedDown, AtomicBoolean stop) {
        Thread t = new Thread(() -> {
            while (!stop.get()) {
                try (StandInSidecar s = new StandInSidecar(servers.get(server).port())) {
                    int status = FleetStage.ask(s, stage.job(), tenant, 5_000).status();
                    long now = System.nanoTime();
                    if (status == 200) {
                        opened.add(FleetStage.Open.until(now, 1)); // work before its call and after it
                    } else {
                        turnedDown.incrementAndGet();
                        TimeUnit.MILLISECONDS.sleep(30);
                    }
                } catch (IOException | InterruptedException e) {
                    pause();
                }
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    @Test
    void aRevisionThatCutsTheFleetOffFromItsStoreIsTakenBackByItself() throws Exception {
        assertEquals(0, publish(0, ""));
        List<FleetStage.Open> opened = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger down = new AtomicInteger();
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            for (int n = 0; n < 8; n++) {
                clients.add(client(i, FleetStage.FREE, opened, down, stop));
            }
        }
        TimeUnit.SECONDS.sleep(2);
        assertEquals(0, down.get(), "all is well before");
        Path wrong = Files.writeString(dir.resolve("wrong.json"), "{\"stores\":[{\"address\":\"127.0.0.1:1\"}]}");
        assertEquals(
                0,
                command("fleet", "publish", wrong.toString(), "--operators", operators.toString(), "--why", "a slip"));
        until("it is taken back", () -> acting(3, SERVERS));
        JsonNode back = link.audit().toJson().get("revisions").get(2);
        assertEquals("probation", back.get("by").textValue());
        assertEquals(1, back.get("of").longValue());
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(0, storeOf(i));
        }
        stop.set(true);
        for (Thread t : clients) {
            t.join();
        }
        assertEquals(3, link.audit().toJson().get("in_force").longValue(), "once");
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(30);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aTenantsConnectionsStayUnderItsCapThroughAKillAndAStopPastTheLeaseAndOthersGoOn() throws Exception {
        int cap = 12;
        assertEquals(0, publish(0, ",\"caps\":{\"ten\":" + cap + "}"));
        List<FleetStage.Open> opened = Collections.synchronizedList(new ArrayList<>());
        List<FleetStage.Open> others = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger turnedDown = new AtomicInteger();
        AtomicInteger othersDown = new AtomicInteger();
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            for (int n = 0; n < 10; n++) {
                clients.add(client(i, "ten", opened, turnedDown, stop));
            }
        }
        clients.add(client(0, "free", others, othersDown, stop));
        TimeUnit.SECONDS.sleep(4);
        int before = FleetStage.Open.most(new ArrayList<>(opened));
        int aside = 1 + stage.leader() % 2; // the first one stays, for the tenant without a cap
        servers.get(aside).pause();
        TimeUnit.SECONDS.sleep(6); // lease, longest hard limit and linger are over, and its share is lent on
        int stopped = opened.size();
        servers.get(aside).resume();
        TimeUnit.SECONDS.sleep(3);
        servers.get(3 - aside).kill();
        TimeUnit.SECONDS.sleep(1);
        servers.get(3 - aside).start();
        TimeUnit.SECONDS.sleep(4);
        stop.set(true);
        for (Thread t : clients) {
            t.join();
        }
        int most = FleetStage.Open.most(opened);
        System.out.println("cap " + cap + ": " + before + " before the stop, " + most + " at the most, " + opened.size()
                + " handled, " + turnedDown + " turned down; others " + others.size() + " handled, " + othersDown
                + " turned down");
        assertTrue(most <= cap, "over cap: " + most);
        assertTrue(before >= cap * 3 / 4, "the cap was not used: " + before);
        assertTrue(opened.size() > stopped + 100, "it went on after the stop");
        assertTrue(turnedDown.get() > 0, "nothing was turned down, so nothing was held at the cap");
        assertEquals(0, othersDown.get(), "of a tenant without a cap");
        assertTrue(others.size() > 50);
    }
}
