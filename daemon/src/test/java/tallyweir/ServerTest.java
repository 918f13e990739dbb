package tallyweir;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.config.Config;
import tallyweir.config.InvalidSettingException;
import tallyweir.net.Server;

/** The configuration, and one server on loopback sockets whose kernel is played by the test. */
public class ServerTest {
    static final int TIMEOUT_MS = 20_000; // only bounds a failing test; no test measures time by it

    /** A configuration with one class, which is one-shot, without tenants, calls and therefore a store. */
    private static final String CONFIG_WITHOUT_STORE = """
            {"name":"n3","listen":"127.0.0.1:0","kernel":"127.0.0.1:1","announce":"127.0.0.1:2",
             "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},
             "settings":{"Classes":[{"Name":"c","Effect":"unsafe","TargetUs":1800000,"DeadlineUs":4600000,"Worth":1}],
              "FamilyInfo":{"Below":"off","Cpus":2,"MemLimitKb":9000,"Halt":"off","IdleUs":30000000,
               "Gauges":["core_use","on_cores"],"ClassCalls":[false]},"RoundUs":5000,"Servers":1,
              "Rules":{"AnswerSlackUs":60000,"DrainGraceUs":1000000,"FallMultiple":8,"FallUs":3000000}}}""";

    private final List<Thread> decisionThreads = new ArrayList<>();

    /**
     * Otherwise the threads would go on connecting to their peers, and reach those of a later test on the same port.
     */
    @AfterEach
    void end() {
        decisionThreads.forEach(Thread::interrupt);
    }

    private static void assertFaulty(String from, String to, String key) {
        String text = Simulation.CONFIG.replace(from, to);
        assertTrue(!text.equals(Simulation.CONFIG), from);
        InvalidSettingException e =
                assertThrows(InvalidSettingException.class, () -> Config.parse(text.getBytes(UTF_8), Map.of()));
        assertTrue(e.getMessage().contains(key), e.getMessage());
    }

    @Test
    void aFaultyKeyIsNamed() {
        assertFaulty("\"name\":\"n3\"", "\"name\":\"a b\"", "name");
        assertFaulty("127.0.0.1:0", "here:80", "listen");
        assertFaulty("127.0.0.1:1", "127.0.0.1:99999", "kernel");
        assertFaulty("\"store\":\"127.0.0.1:3\",", "", "store");
        assertFaulty("\"announce\":\"127.0.0.1:2\"", "\"announce\":7", "announce");
        assertFaulty("8c1f30d27a5be964", "x", "seed");
        assertFaulty("3200", "-1", "stop_ms");
        assertFaulty("\"sockets\":64", "\"sockets\":6", "limits.sockets");
        assertFaulty("\"Classes\"", "\"Others\"", "settings.Classes");
        assertFaulty("\"TargetUs\":1800000", "\"TargetUs\":\"x\"", "settings.Classes[0].TargetUs");
        assertFaulty("\"Cpus\":2", "\"Cpus\":2.5", "settings.FamilyInfo.Cpus");
        assertFaulty("\"MemLimitKb\":9000,", "", "settings.FamilyInfo.MemLimitKb");
        assertFaulty("\"QuotaPerS\":80", "\"QuotaPerS\":[]", "settings.Projects[0].QuotaPerS");
        assertFaulty("\"Rules\":{", "\"Rules\":[{", "JSON");
        assertNull(Config.parse(CONFIG_WITHOUT_STORE.getBytes(UTF_8), Map.of()).store);
        InvalidSettingException e = assertThrows(InvalidSettingException.class, () -> Config.read(Map.of()));
        assertTrue(e.getMessage().contains("EDGE_CONFIG"));
    }

    static ServerSocket listener() throws IOException {
        ServerSocket at = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        at.setSoTimeout(TIMEOUT_MS);
        return at;
    }

    public static Config config() {
        return Config.parse(Simulation.CONFIG.getBytes(UTF_8), Map.of());
    }

    private Server startServer(int kernelPort, int announcePort) throws Exception {
        return startServer(Simulation.CONFIG
                .replace("127.0.0.1:1\"", "127.0.0.1:" + kernelPort + "\"")
                .replace("127.0.0.1:2\"", "127.0.0.1:" + announcePort + "\""));
    }

    private Server startServer(String config) throws Exception {
        CompletableFuture<Server> bound = new CompletableFuture<>();
        Thread decisionThread = new Thread(() -> {
            Server server = new Server(Config.parse(config.getBytes(UTF_8), Map.of()));
            try {
                server.bind();
                bound.complete(server);
                server.run();
            } catch (IOException e) {
                bound.completeExceptionally(e);
            }
        });
        decisionThread.setDaemon(true);
        decisionThread.start();
        decisionThreads.add(decisionThread);
        return bound.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    public static int check(SocketAddress at) throws IOException {
        try (Socket s = dial(at)) {
            s.getOutputStream().write(Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
            return answer(s.getInputStream()).status();
        }
    }

    static Socket dial(SocketAddress at) throws IOException {
        Socket s = new Socket();
        s.connect(at, TIMEOUT_MS);
        s.setSoTimeout(TIMEOUT_MS);
        return s;
    }

    /** Reads records up to the end of the next answer. */
    static Model.FcgiAnswer answer(InputStream in) throws IOException {
        byte[] all = {};
        while (true) {
            byte[] head = in.readNBytes(8);
            assertEquals(8, head.length, "the connection ended early");
            byte[] rest = in.readNBytes(((head[4] & 0xff) << 8 | head[5] & 0xff) + (head[6] & 0xff));
            all = Model.join(all, head, rest);
            if (head[1] == 3) {
                return Model.answers(all).get(0);
            }
        }
    }

    static byte[] query(int id, String job) {
        return query(id, job, "c");
    }

    static byte[] query(int id, String job, String workload) {
        return Model.request(
                id,
                "asked".getBytes(UTF_8),
                false,
                0,
                "REQUEST_METHOD",
                "POST",
                "SCRIPT_NAME",
                "/do/" + workload,
                "HTTP_REQUEST_ID",
                job,
                "HTTP_RECEIVED_AT",
                "" + System.currentTimeMillis(),
                "HTTP_SENT_BY",
                "1",
                "HTTP_ACCOUNT",
                "a",
                "HTTP_BUDGET_MS",
                "4600",
                "HTTP_FOOTPRINT_KB",
                "20",
                "HTTP_PRIORITY_RANK",
                "0.5");
    }

    static String awaitCommand(BufferedReader from, String type) throws IOException {
        String line = from.readLine();
        while (!line.contains("\"" + type + "\"")) {
            line = from.readLine();
        }
        return line;
    }

    @Test
    void aQueryRunsInTheKernelAndItsResultIsReturnedAlsoWhileDraining() throws Exception {
        try (ServerSocket kernelListener = listener();
                DatagramSocket announce = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            Server server = startServer(kernelListener.getLocalPort(), announce.getLocalPort());
            announce.setSoTimeout(TIMEOUT_MS);
            DatagramPacket report = new DatagramPacket(new byte[64], 64);
            announce.receive(report);
            assertEquals("announce n3 true", new String(report.getData(), 0, report.getLength(), UTF_8));
            try (Socket kernel = kernelListener.accept();
                    Socket caller = dial(server.address());
                    Socket malformed = dial(server.address())) {
                BufferedReader commands = new BufferedReader(new InputStreamReader(kernel.getInputStream(), UTF_8));
                assertEquals("{\"type\":\"OPEN\",\"n\":0}", commands.readLine());
                kernel.getOutputStream().write("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":1}\n".getBytes(UTF_8));
                awaitCommand(commands, "SYSINFO");
                for (int i = 1; i < 3; i++) {
                    String job = "000000000000000" + i;
                    caller.getOutputStream().write(query(7, job));
                    assertTrue(awaitCommand(commands, "SCHED")
                            .contains("\"job\":\"" + job + "\",\"kind\":\"c\",\"data\":\"YXNrZWQ=\""));
                    kernel.getOutputStream()
                            .write(("{\"type\":\"REAP\",\"n\":" + i + ",\"job\":\"" + job
                                            + "\",\"state\":\"good\",\"took\":1,\"data\":\"bWFkZQ==\"}\n")
                                    .getBytes(UTF_8));
                    Model.FcgiAnswer w = answer(caller.getInputStream());
                    assertEquals(List.of(7, 200, "made"), List.of(w.id(), w.status(), w.body()));
                    server.drain(); // queries that arrive within the drain grace still run
                }
                malformed.getOutputStream().write(new byte[8]);
                assertEquals(-1, malformed.getInputStream().read(), "closed after a bad record");
                assertEquals(503, check(server.address()), "draining");
                assertTrue(server.counters().contains("answered_handled=2"), server.counters());
            }
        }
    }

    /**
     * When descriptors had run out before the first line was logged, logging it failed and no caller was accepted
     * again.
     */
    @Test
    void theServerAcceptsAgainOnceDescriptorsAreFree(@TempDir Path dir) throws Exception {
        Path config = Files.writeString(
                dir.resolve("config.json"), Simulation.CONFIG.replace("\"sockets\":64", "\"sockets\":1024"));
        Process backend = startProgram("ulimit -n 100; ", config, dir.resolve("none"));
        try (BufferedReader log = backend.inputReader(UTF_8)) {
            InetSocketAddress at = awaitAddress(log);
            assertEquals(200, check(at)); // loads the classes, which needs descriptors if they are in a directory
            List<Socket> idleCallers = new ArrayList<>();
            for (int i = 0; i < 150; i++) {
                idleCallers.add(new Socket());
                idleCallers.get(i).connect(at, TIMEOUT_MS);
            }
            awaitLine(log, "Too many open files");
            for (Socket s : idleCallers) {
                s.close();
            }
            assertEquals(200, check(at));
        } finally {
            backend.destroyForcibly();
        }
    }

    /** SIGHUP used to end the process. It has to apply new addresses, and a faulty file must change nothing. */
    @Test
    void aNewConfigurationIsAppliedOnTheSignal(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket first = listener();
                ServerSocket second = listener();
                DatagramSocket announce = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            Files.writeString(
                    file, Simulation.CONFIG.replace("127.0.0.1:1\"", "127.0.0.1:" + first.getLocalPort() + "\""));
            Process backend = startProgram(file, dir.resolve("none"));
            try (BufferedReader log = backend.inputReader(UTF_8);
                    Socket old = first.accept()) {
                old.getOutputStream()
                        .write(("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":1}\n"
                                        + "{\"type\":\"DMESG\",\"n\":7,\"state\":\"hello\"}\n")
                                .getBytes(UTF_8));
                awaitLine(log, "the kernel is up");
                Files.writeString(file, "{\"name\":\"n3\"}");
                sendHangup(backend);
                assertTrue(awaitLine(log, "the old one stays in force").contains("listen is"));
                Files.writeString(
                        file,
                        Simulation.CONFIG
                                .replace("127.0.0.1:1\"", "127.0.0.1:" + second.getLocalPort() + "\"")
                                .replace("127.0.0.1:2\"", "127.0.0.1:" + announce.getLocalPort() + "\""));
                sendHangup(backend);
                try (Socket kernel = second.accept()) {
                    kernel.setSoTimeout(TIMEOUT_MS);
                    assertEquals(
                            "{\"type\":\"OPEN\",\"n\":7}",
                            new String(kernel.getInputStream().readNBytes(22), UTF_8).strip());
                }
                announce.setSoTimeout(TIMEOUT_MS);
                announce.receive(new DatagramPacket(new byte[64], 64));
                assertTrue(backend.isAlive());
            } finally {
                backend.destroyForcibly();
            }
        }
    }

    /**
     * When the signal was lost, or came before the file was complete, the file was not read again and the server stayed
     * without its kernel.
     */
    @Test
    void theConfigurationIsReadAgainWhenTheKernelCannotBeReached(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("config.json");
        ServerSocket first = listener();
        try (ServerSocket second = listener()) {
            Files.writeString(file, configWithKernel(first));
            Process backend = startProgram(file, dir.resolve("none"));
            try (BufferedReader log = backend.inputReader(UTF_8)) {
                Socket old = first.accept();
                old.getOutputStream().write("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":1}\n".getBytes(UTF_8));
                awaitLine(log, "the kernel is up");
                first.close();
                old.close();
                assertTrue(awaitLine(log, "cannot be reached").contains("KERNEL"));
                Files.writeString(file, configWithKernel(second)); // without a signal
                try (Socket kernel = second.accept()) {
                    assertEquals('{', kernel.getInputStream().read());
                }
                awaitLine(log, "a peer is there again");
            } finally {
                backend.destroyForcibly();
            }
        }
    }

    /**
     * A file that was being written when the signal came is read again until it is complete. Of two changes the last
     * one is applied.
     */
    @Test
    void anIncompleteFileIsReadAgainAndTheLastOfTwoChangesIsApplied(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket first = listener();
                ServerSocket second = listener();
                ServerSocket third = listener()) {
            Files.writeString(file, configWithKernel(first));
            Process backend = startProgram(file, dir.resolve("none"));
            try (BufferedReader log = backend.inputReader(UTF_8);
                    Socket old = first.accept()) {
                old.getOutputStream().write("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":1}\n".getBytes(UTF_8));
                awaitLine(log, "the kernel is up");
                Files.writeString(file, configWithKernel(second).substring(0, 200));
                sendHangup(backend);
                awaitLine(log, "stays in force");
                Files.writeString(file, configWithKernel(second));
                try (Socket kernel = second.accept()) {
                    kernel.getOutputStream()
                            .write("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":1}\n".getBytes(UTF_8));
                    sendHangup(backend);
                    Files.writeString(file, configWithKernel(third));
                    sendHangup(backend);
                    try (Socket last = third.accept()) {
                        assertEquals('{', last.getInputStream().read());
                    }
                }
            } finally {
                backend.destroyForcibly();
            }
        }
    }

    /**
     * A process started with SIGHUP ignored, as by nohup, never got the signal and missed new addresses. It has to poll
     * the file.
     */
    @Test
    void aNewAddressIsAppliedThoughTheSignalIsIgnored(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket first = listener();
                ServerSocket second = listener()) {
            Files.writeString(file, configWithKernel(first));
            Process backend = startProgram("trap '' HUP; ", file, dir.resolve("none"));
            try (BufferedReader log = backend.inputReader(UTF_8);
                    Socket old = first.accept()) {
                old.getOutputStream().write("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":1}\n".getBytes(UTF_8));
                awaitLine(log, "the kernel is up");
                Files.writeString(file, configWithKernel(second));
                sendHangup(backend);
                try (Socket kernel = second.accept()) {
                    assertEquals('{', kernel.getInputStream().read());
                }
                assertTrue(backend.isAlive());
            } finally {
                backend.destroyForcibly();
            }
        }
    }

    private static String configWithKernel(ServerSocket to) {
        return Simulation.CONFIG.replace("127.0.0.1:1\"", "127.0.0.1:" + to.getLocalPort() + "\"");
    }

    /** Shadow settings are checked at the start. On the signal a faulty key is logged and the old settings stay. */
    @Test
    void shadowSettingsAreCheckedAndAppliedOnTheSignal(@TempDir Path dir) throws Exception {
        Path operators = dir.resolve("operators.json");
        String watch = "{\"watch\":{\"settings\":{\"FamilyInfo\":{\"Cpus\":%s}}}}";
        try (ServerSocket kernelListener = listener()) {
            Path file = Files.writeString(
                    dir.resolve("config.json"),
                    Simulation.CONFIG.replace("127.0.0.1:1\"", "127.0.0.1:" + kernelListener.getLocalPort() + "\""));
            Files.writeString(operators, watch.formatted("0.5"));
            Process refused = startProgram(file, operators);
            assertTrue(new String(refused.getInputStream().readAllBytes(), UTF_8)
                    .contains("watch.settings.FamilyInfo.Cpus is 0.5"));
            assertEquals(2, refused.waitFor());
            Files.writeString(operators, watch.formatted("1"));
            Process backend = startProgram(file, operators);
            try (BufferedReader log = backend.inputReader(UTF_8);
                    Socket kernel = kernelListener.accept()) {
                BufferedReader commands = new BufferedReader(new InputStreamReader(kernel.getInputStream(), UTF_8));
                InetSocketAddress at = awaitAddress(log);
                kernel.getOutputStream().write("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":1}\n".getBytes(UTF_8));
                awaitLine(log, "the kernel is up");
                try (Socket two = dial(at)) {
                    two.getOutputStream().write(Model.join(query(1, "00000000000000aa"), query(2, "00000000000000ab")));
                    awaitCommand(commands, "SCHED");
                    awaitCommand(commands, "SCHED");
                    assertEquals(1, shadowRuns(at), "with one core the second query would have to wait");
                    Files.writeString(operators, watch.formatted("\"x\""));
                    sendHangup(backend);
                    assertTrue(awaitLine(log, "what is watched stays as it was")
                            .contains("watch.settings.FamilyInfo.Cpus"));
                    awaitLineEnd(log, "told to read the configuration again"); // new addresses are applied all the same
                    assertEquals(1, shadowRuns(at), "the old shadow settings stay");
                    Files.writeString(operators, "{}");
                    sendHangup(backend);
                    awaitLineEnd(log, "told to read the configuration again");
                    assertEquals(-1, shadowRuns(at), "no shadow settings");
                }
            } finally {
                backend.destroyForcibly();
            }
        }
    }

    /** The counter of runs that the shadow settings would have decided otherwise, -1 if it is not printed. */
    private static long shadowRuns(SocketAddress at) throws IOException {
        try (Socket s = dial(at)) {
            s.getOutputStream().write(Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/counters"));
            return answer(s.getInputStream())
                    .body()
                    .lines()
                    .filter(l -> l.startsWith("watch_run "))
                    .mapToLong(l -> Long.parseLong(l.substring(10)))
                    .findFirst()
                    .orElse(-1);
        }
    }

    static Process startProgram(Path config, Path operators) throws IOException {
        return startProgram("", config, operators);
    }

    /**
     * Starts the program with the default action for SIGHUP, even if the tests run with it ignored, unless the shell
     * commands set it.
     *
     * @param before shell commands to run before the program
     */
    static Process startProgram(String before, Path config, Path operators) throws IOException {
        String exec = before.contains("HUP") ? "exec " : "exec env --default-signal=HUP ";
        ProcessBuilder of = new ProcessBuilder(
                "sh",
                "-c",
                before + exec + "\"$0\" -Xmx64m -cp \"$1\" tallyweir.cli.Main serve",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                System.getProperty("java.class.path"));
        of.environment().put("EDGE_CONFIG", config.toString());
        of.environment().put("EDGE_OPERATORS", Files.exists(operators) ? operators.toString() : "");
        return of.redirectErrorStream(true).start();
    }

    static InetSocketAddress awaitAddress(BufferedReader log) throws IOException {
        return new InetSocketAddress(
                "127.0.0.1",
                Integer.parseInt(awaitLine(log, "listens").replaceAll(".*address=\\S*:([0-9]+) .*", "$1")));
    }

    static String awaitLine(BufferedReader log, String what) throws IOException {
        String line = log.readLine();
        while (!line.contains(what)) {
            line = log.readLine();
        }
        return line;
    }

    /** Tells a message from a longer one that begins with it: the key-value pairs are printed before the message. */
    private static void awaitLineEnd(BufferedReader log, String end) throws IOException {
        String line = log.readLine();
        while (!line.endsWith(end)) {
            line = log.readLine();
        }
    }

    static void sendHangup(Process program) throws Exception {
        signal("HUP", program);
    }

    static void signal(String name, Process program) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, "" + program.pid())
                        .start()
                        .waitFor());
    }

    /**
     * A backend none of whose workloads calls the store has none configured; it refused to start. A run that calls it
     * all the same has to fail.
     */
    @Test
    void noStoreIsNeededIfNoWorkloadCallsIt() throws Exception {
        try (ServerSocket kernelListener = listener()) {
            Server server = startServer(
                    CONFIG_WITHOUT_STORE.replace("127.0.0.1:1\"", "127.0.0.1:" + kernelListener.getLocalPort() + "\""));
            try (Socket kernel = kernelListener.accept();
                    Socket caller = dial(server.address())) {
                BufferedReader commands = new BufferedReader(new InputStreamReader(kernel.getInputStream(), UTF_8));
                kernel.getOutputStream()
                        .write("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":100000}\n".getBytes(UTF_8));
                awaitCommand(commands, "SYSINFO");
                caller.getOutputStream().write(query(1, "00000000000000aa"));
                awaitCommand(commands, "SCHED");
                kernel.getOutputStream()
                        .write("{\"type\":\"IOREQ\",\"n\":1,\"job\":\"00000000000000aa\",\"data\":\"\"}\n"
                                .getBytes(UTF_8));
                caller.getOutputStream().write(query(2, "00000000000000ab"));
                awaitCommand(commands, "SCHED");
                kernel.getOutputStream()
                        .write(("{\"type\":\"REAP\",\"n\":2,\"job\":\"00000000000000ab\",\"state\":\"good\",\"took\":1,"
                                        + "\"data\":\"bWFkZQ==\"}\n")
                                .getBytes(UTF_8));
                Model.FcgiAnswer w = answer(caller.getInputStream());
                assertEquals(List.of(2, 200, "made"), List.of(w.id(), w.status(), w.body()));
                w = answer(caller.getInputStream());
                assertEquals(List.of(1, 500), List.of(w.id(), w.status()));
            }
        }
    }

    @Test
    void theKernelMayStartLateAndItsLinkMayBreak() throws Exception {
        try (ServerSocket kernelListener = listener()) {
            Server server = startServer(kernelListener.getLocalPort(), 2);
            try (Socket caller = dial(server.address())) {
                caller.getOutputStream().write(query(1, "00000000000000aa"));
                assertEquals(503, answer(caller.getInputStream()).status(), "the kernel is not up yet");
            }
            for (int i = 0; i < 2; i++) {
                try (Socket kernel = kernelListener.accept()) {
                    kernel.setSoTimeout(TIMEOUT_MS);
                    byte[] first = kernel.getInputStream().readNBytes(22);
                    assertEquals("{\"type\":\"OPEN\",\"n\":" + i + "}", new String(first, UTF_8).strip());
                    kernel.getOutputStream()
                            .write("{\"type\":\"DMESG\",\"n\":1,\"state\":\"hello\"}\n".getBytes(UTF_8));
                }
            }
        }
    }
}
