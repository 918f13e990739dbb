package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import tallyweir.config.Operators;
import tallyweir.fleet.ratis.Link;
import tallyweir.stand.StandKernel;
import tallyweir.stand.StandRelay;
import tallyweir.stand.StandSidecar;
import tallyweir.stand.StandStore;

/**
 * Three processes of the program that keep a fleet's log and serve, killed while revisions change. Each revision routes
 * calls to a store of its own, so which revision a query was under is seen there, not asked of the servers.
 */
class FleetTest {
    private static final int SERVERS = 3;
    private static final int PATIENCE_MS = 30_000;
    private static final int WORK_MS = 50;

    @TempDir
    private Path dir;
    private final List<StandKernel> kernels = new ArrayList<>();
    private final List<StandStore> stores = new ArrayList<>();
    private final Map<String, StandRelay> relays = new LinkedHashMap<>();  // "0>1": from v0 to v1
    private final List<Program> servers = new ArrayList<>();
    private final AtomicInteger jobs = new AtomicInteger();
    private Path operators;
    private Link link;

    @BeforeEach
    void start() throws Exception {
        Map<String, String> voters = new LinkedHashMap<>();
        for (int i = 0; i < SERVERS; i++) {
            try (ServerSocket s = new ServerSocket(0, 1, StandRelay.pair(i, i))) {
                voters.put("v" + i, "\"v" + i + "\":\"v" + i + ":" + s.getLocalPort() + "\"");
                for (int from = 0; from < SERVERS; from++) {
                    if (from != i) {
                        relays.put(from + ">" + i, new StandRelay(new InetSocketAddress(StandRelay.pair(from, i), s.getLocalPort()),
                                new InetSocketAddress(StandRelay.pair(i, i), s.getLocalPort())));
                    }
                }
            }
            stores.add(new StandStore());
        }
        for (int i = 0; i < SERVERS; i++) {
            StandKernel kernel = new StandKernel(null, 32, i, chance -> WORK_MS * 1_000);
            kernel.runsCall();
            kernels.add(kernel);
            Path at = Files.createDirectories(dir.resolve("v" + i));
            Files.writeString(at.resolve("config.json"), Program.config(kernel.port(), i + 1, 32, 1_000_000, 256, 500)
                    .replace("\"name\":\"drill\"", "\"name\":\"v" + i + "\"")
                    .replace("\"FamilyInfo\":{", "\"Projects\":[{\"Name\":\"ten\",\"QuotaPerS\":1000},{\"Name\":\"free\",\"QuotaPerS\":1000}],"
                            + "\"Servers\":3,\"FamilyInfo\":{\"ClassCalls\":[true,true],"));
            operators = Files.writeString(at.resolve("operators.json"), "{\"fleet\":{\"name\":\"test\",\"voters\":{"
                    + String.join(",", voters.values()) + "},\"dir\":\"" + at.resolve("log")
                    + "\",\"lease_ms\":2000,\"linger_ms\":100,\"behind_ms\":4000,\"servers_most\":4,\"floor_share\":0.5}}");
            StringBuilder hosts = new StringBuilder("127.0.0.1 localhost\n");
            for (int to = 0; to < SERVERS; to++) {
                hosts.append(StandRelay.pair(i, to).getHostAddress()).append(" v").append(to).append('\n');
            }
            Path names = Files.writeString(at.resolve("hosts"), hosts);
            Program p = new Program(at, true, List.of("-Djdk.net.hosts.file=" + names));
            p.heap(160);
            servers.add(p);
            p.start();
        }
        Operators o = Operators.read(operators);
        link = new Link(o.fleetName(), o.voters(), 10_000);
        until("all are in", () -> acting(0, SERVERS));
    }

    @AfterEach
    void end() throws Exception {
        if (link != null) {
            link.close();
        }
        for (Program p : servers) {
            p.close();
        }
        for (StandKernel k : kernels) {
            k.close();
        }
        for (StandStore s : stores) {
            s.close();
        }
        for (StandRelay r : relays.values()) {
            r.close();
        }
    }

    private interface Check {
        boolean holds() throws Exception;
    }

    private void until(String what, Check check) throws Exception {
        long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        while (!check.holds()) {
            assertTrue(System.nanoTime() < end, "not in time: " + what + "; " + link.audit());
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Whether so many live servers say that they act on a revision. */
    private boolean acting(long revision, int servers) {
        try {
            JsonNode a = link.audit();
            int is = 0;
            for (JsonNode s : a.get("servers")) {
                is += s.get("standing").textValue().equals("LIVE") && s.get("acting").longValue() == revision ? 1 : 0;
            }
            return a.get("in_force").longValue() == revision && is >= servers;
        } catch (RuntimeException e) {
            return false;  // nobody leads at the moment
        }
    }

    private int command(String... args) {
        StringWriter said = new StringWriter();
        int code = Main.run(new PrintWriter(said, true), new PrintWriter(said, true), args);
        System.out.println(String.join(" ", args) + ": " + code + " " + said);
        return code;
    }

    private int publish(int store, String more) throws IOException {
        Path file = Files.writeString(dir.resolve("revision.json"), "{\"stores\":[{\"address\":\"" + stores.get(store).address()
                + "\"}]" + more + "}");
        return command("fleet", "publish", file.toString(), "--operators", operators.toString(), "--why", "store " + store);
    }

    private StandSidecar.Answer ask(StandSidecar of, String job, String tenant) {
        Map<String, String> p = Program.parameters("m" + job, job, 1_500);
        p.put("SCRIPT_NAME", "/do/look");
        p.put("HTTP_ACCOUNT", tenant);
        return of.ask(p, "m" + job, 5_000);
    }

    /** The store that a query read by this server now calls. */
    private int storeOf(int server) throws Exception {
        try (StandSidecar s = new StandSidecar(servers.get(server).port())) {
            String job = String.format("%016x", jobs.incrementAndGet());
            assertEquals(200, ask(s, job, "free").status(), "server " + server);
            for (int i = 0; i < stores.size(); i++) {
                if (stores.get(i).called(job)) {
                    return i;
                }
            }
        }
        return -1;
    }

    private int leader() throws IOException {
        int leader = -1;
        String latest = "";
        for (int i = 0; i < SERVERS; i++) {
            for (String line : Files.readAllLines(dir.resolve("v" + i).resolve("program.log"))) {
                if (line.contains("leads the fleet") && line.substring(0, 12).compareTo(latest) > 0) {
                    leader = i;
                    latest = line.substring(0, 12);
                }
            }
        }
        return leader;
    }

    @Test
    void aQueryIsRoutedByTheRevisionInForceThroughKillsOfTheLeaderAndARollback() throws Exception {
        assertEquals(0, publish(0, ""));
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(0, storeOf(i));
        }
        int killed = leader();
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
        assertEquals(0, command("fleet", "rollback", "--to", "1", "--operators", operators.toString(), "--why", "worse"));
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(0, storeOf(i));
        }
        assertEquals(11, command("fleet", "rollback", "--to", "2", "--expected", "2", "--operators", operators.toString(),
                "--why", "late"), "somebody else was first");
        assertEquals(12, publish(0, ",\"caps\":{\"ten\":-1},\"colour\":1"));
        assertEquals(0, command("fleet", "audit", "--operators", operators.toString()));
    }

    private List<StandRelay> between(int server) {
        return relays.entrySet().stream().filter(e -> e.getKey().startsWith(server + ">") || e.getKey().endsWith(">" + server))
                .map(Map.Entry::getValue).toList();
    }

    /** How many of so many queries at once a server takes of a tenant, each on a connection of its own. */
    private int taken(int server, String tenant, int queries) throws Exception {
        AtomicInteger taken = new AtomicInteger();
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < queries; i++) {
            Thread t = new Thread(() -> {
                try (StandSidecar s = new StandSidecar(servers.get(server).port())) {
                    taken.addAndGet(ask(s, String.format("%016x", jobs.incrementAndGet()), tenant).status() == 200 ? 1 : 0);
                } catch (IOException e) {
                    taken.addAndGet(queries);  // it must answer
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
        assertEquals(0, publish(0, ",\"caps\":{\"ten\":16}"));  // of which each of four places has a floor of two
        until("shares are lent to who asks", () -> taken(leader(), "ten", 8) >= 5);
        int alone = leader();
        between(alone).forEach(r -> {
            if (inSilence) {
                r.hold(true, true);
            } else {
                r.cut();
            }
        });
        TimeUnit.MILLISECONDS.sleep(2_500);  // its lease is over by its own clock
        assertTrue(taken(alone, "ten", 8) <= 2, "no more than its floor");
        assertEquals(8, taken(alone, "free", 8), "whoever has no cap goes on");
        try (Link rest = new Link(link.name(), others(alone), 10_000)) {
            link.close();
            link = rest;
            publishTo(1, alone);
            assertEquals(0, storeOf(alone), "it cannot know of the next revision");
            for (int i = 0; i < SERVERS; i++) {
                assertEquals(i == alone ? 0 : 1, storeOf(i));
            }
        }
        between(alone).forEach(StandRelay::mend);
        Operators o = Operators.read(operators);
        link = new Link(o.fleetName(), o.voters(), 10_000);
        until("it is brought up", () -> acting(2, SERVERS));
        assertEquals(1, storeOf(alone));
    }

    private Map<String, String> others(int alone) {
        Map<String, String> all = new LinkedHashMap<>(Operators.read(operators).voters());
        all.remove("v" + alone);
        return all;
    }

    /** Publishes by an operator who reaches only the others. */
    private void publishTo(int store, int alone) throws IOException {
        Path file = Files.writeString(dir.resolve("others.json"), Files.readString(operators)
                .replaceAll("\"v" + alone + "\":\"v[0-9]:([0-9]+)\"", "\"v" + alone + "\":\"127.0.0.1:1\""));
        Path before = operators;
        operators = file;
        assertEquals(0, publish(store, ",\"caps\":{\"ten\":16}"));
        operators = before;
    }

    @Test
    void withoutAnyMajorityEveryServerGoesOnAndNothingIsAcknowledged() throws Exception {
        assertEquals(0, publish(0, ""));
        relays.values().forEach(StandRelay::cut);
        TimeUnit.MILLISECONDS.sleep(3_000);
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(4, taken(i, "free", 4), "server " + i);
            assertEquals(0, storeOf(i));
        }
        assertEquals(10, publish(1, ""), "nobody leads");
        relays.values().forEach(StandRelay::mend);
        until("somebody leads again", () -> acting(1, SERVERS));
        assertEquals(0, publish(1, ""));
        for (int i = 0; i < SERVERS; i++) {
            assertEquals(1, storeOf(i));
        }
    }

    /** A query that was answered well stood open from this moment at the latest to that. */
    private record Open(long from, long to) {}

    /** The most that were open at once. */
    private static int most(List<Open> all) {
        int most = 0;
        for (Open o : all) {
            most = Math.max(most, (int) all.stream().filter(x -> x.from <= o.from && o.from < x.to).count());
        }
        return most;
    }

    /** Asks on and on, each time on a connection of its own, and notes what was open when. */
    private Thread client(int server, String tenant, List<Open> opened, AtomicInteger turnedDown, AtomicBoolean stop) {
        Thread t = new Thread(() -> {
            while (!stop.get()) {
                try (StandSidecar s = new StandSidecar(servers.get(server).port())) {
                    int status = ask(s, String.format("%016x", jobs.incrementAndGet()), tenant).status();
                    long now = System.nanoTime();
                    if (status == 200) {
                        opened.add(new Open(now - 2 * WORK_MS * 1_000_000L, now));  // work before its call and after it
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
        List<Open> opened = Collections.synchronizedList(new ArrayList<>());
        List<Open> others = Collections.synchronizedList(new ArrayList<>());
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
        int before = most(new ArrayList<>(opened));
        int aside = 1 + leader() % 2;            // the first one stays, for the tenant without a cap
        servers.get(aside).pause();
        TimeUnit.SECONDS.sleep(6);               // lease, longest hard limit and linger are over, and its share is lent on
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
        int most = most(opened);
        System.out.println("cap " + cap + ": " + before + " before the stop, " + most + " at the most, " + opened.size() + " handled, "
                + turnedDown + " turned down; others " + others.size() + " handled, " + othersDown + " turned down");
        assertTrue(most <= cap, "over cap: " + most);
        assertTrue(before >= cap * 3 / 4, "the cap was not used: " + before);
        assertTrue(opened.size() > stopped + 100, "it went on after the stop");
        assertTrue(turnedDown.get() > 0, "nothing was turned down, so nothing was held at the cap");
        assertEquals(0, othersDown.get(), "of a tenant without a cap");
        assertTrue(others.size() > 50);
    }
}
