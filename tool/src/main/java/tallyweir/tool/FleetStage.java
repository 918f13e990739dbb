package tallyweir.tool;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import tallyweir.stand.FaultRelay;
import tallyweir.stand.History;
import tallyweir.stand.StandInKernel;
import tallyweir.stand.StandInSidecar;
import tallyweir.stand.StandInStore;

/**
 * A fleet of processes of the program, each with a kernel of its own, some stores, and a relay on every way from a server
 * to a voter. Servers are known by names; a hosts file of each process leads them over its own relays.
 */
final class FleetStage implements AutoCloseable {
    /** A tenant with a cap, where a revision gives it one, and one without. */
    static final String CAPPED = "ten";

    static final String FREE = "free";
    static final int WORK_MS = 50; // of a run, before its calls, between them and after
    private static final int CORES = 32;
    private static final int VOTERS = 3;
    private static final int HEAP_MB = 160;

    final List<Program> servers = new ArrayList<>();
    final List<StandInStore> stores = new ArrayList<>();
    private final List<StandInKernel> kernels = new ArrayList<>();
    private final Map<String, FaultRelay> relays = new LinkedHashMap<>(); // "0>1": from server 0 to voter 1
    private final AtomicInteger jobs = new AtomicInteger();
    private final Path dir;
    final Path operators;

    /**
     * @param history where runs are noted, null for nowhere
     * @param calls that each run makes
     * @param flags of the processes, beside those of the stage
     */
    FleetStage(Path dir, int size, int storesMade, History history, int calls, int leaseMs, List<String> flags)
            throws IOException, InterruptedException {
        this.dir = dir;
        List<String> voters = new ArrayList<>();
        for (int i = 0; i < storesMade; i++) {
            stores.add(new StandInStore());
        }
        for (int i = 0; i < VOTERS; i++) {
            try (ServerSocket s = new ServerSocket(0, 1, FaultRelay.pairAddress(i, i))) {
                voters.add("\"v" + i + "\":\"v" + i + ":" + s.getLocalPort() + "\"");
                for (int from = 0; from < size; from++) {
                    if (from != i) {
                        relays.put(
                                from + ">" + i,
                                new FaultRelay(
                                        new InetSocketAddress(FaultRelay.pairAddress(from, i), s.getLocalPort()),
                                        new InetSocketAddress(FaultRelay.pairAddress(i, i), s.getLocalPort())));
                    }
                }
            }
        }
        for (int i = 0; i < size; i++) {
            StandInKernel kernel = new StandInKernel(history, CORES, i, chance -> WORK_MS * 1_000);
            kernel.setCallsPerRun(calls);
            kernels.add(kernel);
            Path at = Files.createDirectories(dir.resolve("v" + i));
            Files.writeString(
                    at.resolve("config.json"),
                    Program.config(kernel.port(), i + 1, CORES, 1_000_000, 256, 500)
                            .replace("\"name\":\"drill\"", "\"name\":\"v" + i + "\"")
                            .replace(
                                    "\"FamilyInfo\":{",
                                    "\"Projects\":[{\"Name\":\"" + CAPPED + "\",\"QuotaPerS\":1000},{\"Name\":\"" + FREE
                                            + "\",\"QuotaPerS\":1000}],\"Servers\":" + size
                                            + ",\"FamilyInfo\":{\"ClassCalls\":[true,true],"));
            Files.writeString(
                    at.resolve("operators.json"),
                    "{\"fleet\":{\"name\":\"test\",\"voters\":{" + String.join(",", voters)
                            + "},\"dir\":\"" + at.resolve("log") + "\",\"lease_ms\":" + leaseMs
                            + ",\"linger_ms\":100,\"behind_ms\":" + 2 * leaseMs
                            + ",\"servers_most\":" + (size + 1) + ",\"floor_share\":0.5}}");
            List<String> all = new ArrayList<>(flags);
            all.add("-Djdk.net.hosts.file=" + Files.writeString(at.resolve("hosts"), hosts(i)));
            servers.add(new Program(at, true, all));
        }
        operators = dir.resolve("v0").resolve("operators.json");
        Files.writeString(dir.resolve("hosts"), hosts(-1));
        for (Program p : servers) {
            p.heap(HEAP_MB);
            p.start();
        }
    }

    /** Names as a server has them, or whoever stands beside the fleet and reaches every voter. */
    private static String hosts(int from) throws IOException {
        StringBuilder all = new StringBuilder("127.0.0.1 localhost\n");
        for (int to = 0; to < VOTERS; to++) {
            all.append(FaultRelay.pairAddress(from < 0 ? to : from, to).getHostAddress())
                    .append(" v")
                    .append(to)
                    .append('\n');
        }
        return all.toString();
    }

    /** The way from a server to a voter, which is not itself. */
    FaultRelay relay(int server, int voter) {
        return relays.get(server + ">" + voter);
    }

    /** The ways from a server to the voters, but for itself. */
    List<FaultRelay> from(int server) {
        return relays.entrySet().stream()
                .filter(e -> e.getKey().startsWith(server + ">"))
                .map(Map.Entry::getValue)
                .toList();
    }

    /** The ways from a server and to it. */
    List<FaultRelay> around(int server) {
        return relays.entrySet().stream()
                .filter(e -> e.getKey().startsWith(server + ">") || e.getKey().endsWith(">" + server))
                .map(Map.Entry::getValue)
                .toList();
    }

    List<FaultRelay> all() {
        return List.copyOf(relays.values());
    }

    String job() {
        return String.format("%016x", jobs.incrementAndGet());
    }

    /** A harmless query of a tenant. */
    static StandInSidecar.Answer ask(StandInSidecar of, String job, String tenant, int patienceMs) {
        return ask(of, job, tenant, "look", patienceMs);
    }

    /** At which stores a query has called. */
    List<Integer> storesOf(String job) {
        List<Integer> at = new ArrayList<>();
        for (int i = 0; i < stores.size(); i++) {
            if (stores.get(i).hasCalled(job)) {
                at.add(i);
            }
        }
        return at;
    }

    /** The two workloads of the servers. */
    static final List<String> WORKLOADS = List.of("look", "reset");

    /** A query of a tenant and a workload, with a mark of its own. */
    static StandInSidecar.Answer ask(StandInSidecar of, String job, String tenant, String workload, int patienceMs) {
        Map<String, String> p = Program.parameters("m" + job, job, 1_500);
        p.put("SCRIPT_NAME", "/do/" + workload);
        p.put("HTTP_ACCOUNT", tenant);
        return of.exchange(p, "m" + job, patienceMs);
    }

    /** A file with a revision that routes each workload by an entry of its own to the same store, and has so many other caps. */
    Path largeRevision(int store, int caps) throws IOException {
        List<String> routes = new ArrayList<>();
        for (String workload : WORKLOADS) {
            routes.add("{\"address\":\"" + stores.get(store).address() + "\",\"workloads\":[\"" + workload + "\"]}");
        }
        List<String> all = new ArrayList<>();
        for (int i = 0; i < caps; i++) {
            all.add("\"tenant-" + store + "-" + i + "\":" + (i + 1));
        }
        return Files.writeString(
                dir.resolve("large-" + store + ".json"),
                "{\"stores\":[" + String.join(",", routes) + "],\"caps\":{" + String.join(",", all) + "}}");
    }

    /** A file with a change by key, that has the two entries of a large revision say another store. */
    Path largeMove(int from, int to) throws IOException {
        List<String> put = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        for (String workload : WORKLOADS) {
            put.add("{\"address\":\"" + stores.get(to).address() + "\",\"workloads\":[\"" + workload + "\"]}");
            removed.add("\"" + stores.get(from).address() + " " + workload + "\"");
        }
        return Files.writeString(
                dir.resolve("move.json"),
                "{\"put\":{\"stores\":[" + String.join(",", put) + "]},\"remove\":{\"stores\":["
                        + String.join(",", removed) + "]}}");
    }

    /** A file with a change by key, that routes to one store and no other, and gives a tenant a cap. */
    Path change(int store, String tenant, int cap) throws IOException {
        List<String> others = new ArrayList<>();
        for (int i = 0; i < stores.size(); i++) {
            if (i != store) {
                others.add("\"" + stores.get(i).address() + "\"");
            }
        }
        return Files.writeString(
                dir.resolve("change-" + tenant + ".json"),
                "{\"put\":{\"stores\":[{\"address\":\"" + stores.get(store).address() + "\"}],\"caps\":{\"" + tenant
                        + "\":" + cap + "}},\"remove\":{\"stores\":[" + String.join(",", others) + "]}}");
    }

    /** A file with a revision that routes to one store. */
    Path revision(int store, String more) throws IOException {
        return Files.writeString(
                dir.resolve("revision.json"),
                "{\"stores\":[{\"address\":\"" + stores.get(store).address() + "\"}]" + more + "}");
    }

    /** Runs an operator's command in a process of its own, and returns what it said. */
    List<String> command(String... args) throws IOException, InterruptedException {
        List<String> all = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Djdk.net.hosts.file=" + dir.resolve("hosts"),
                "-cp",
                System.getProperty("java.class.path"),
                "tallyweir.tool.Main",
                "fleet"));
        all.addAll(List.of(args));
        Process p = new ProcessBuilder(all)
                .redirectError(dir.resolve("operator.log").toFile())
                .start();
        List<String> said = p.inputReader().lines().toList();
        p.waitFor();
        return said;
    }

    /** The server whose log says last that it leads, -1 for none. */
    int leader() throws IOException {
        int leader = -1;
        String latest = "";
        for (int i = 0; i < VOTERS; i++) {
            for (String line : log(i)) {
                if (line.contains("leads the fleet") && line.substring(0, 12).compareTo(latest) > 0) {
                    leader = i;
                    latest = line.substring(0, 12);
                }
            }
        }
        return leader;
    }

    List<String> log(int server) throws IOException {
        return Files.readAllLines(dir.resolve("v" + server).resolve("program.log"));
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (Program p : servers) {
            p.close();
        }
        for (StandInKernel k : kernels) {
            k.close();
        }
        for (StandInStore s : stores) {
            s.close();
        }
        for (FaultRelay r : relays.values()) {
            r.close();
        }
    }

    /** A query that was answered well stood open from this moment at the latest to that. */
    record Open(long from, long to) {
        static Open until(long now, int calls) {
            return new Open(now - (calls + 1) * WORK_MS * 1_000_000L, now);
        }

        /** The most that were open at once. */
        static int most(List<Open> all) {
            int most = 0;
            for (Open o : all) {
                most = Math.max(most, (int) all.stream()
                        .filter(x -> x.from <= o.from && o.from < x.to)
                        .count());
            }
            return most;
        }
    }
}
