package tallyweir.tool;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.durable.Both;
import tallyweir.durable.Durable;
import tallyweir.durable.FileDisk;
import tallyweir.durable.FileStore;
import tallyweir.durable.View;
import tallyweir.results.DurableShelf;
import tallyweir.results.Marks;
import tallyweir.stand.History;
import tallyweir.stand.StandKernel;
import tallyweir.stand.StandSidecar;

@Command(name = "drill", mixinStandardHelpOptions = true,
        description = "Runs a backend that keeps results, on loopback, between stand-ins for its kernel and its sidecars, and"
                + " kills it and its kernel at random moments. Exit code 1 if a mark ran twice, answers differ, or one"
                + " is missing.")
final class ResultsDrill implements Callable<Integer> {
    private static final int CLIENTS = 24;
    private static final int PATIENCE = 1_500;
    private static final int SLACK = 3_000;  // past the due time: a machine that stands still is not a missing answer
    private static final int BOUND_MB = 4;
    private static final int FORCE_EVERY_MS = 25;  // as a slow disk would: kills fall between a write and its force
    private static final int MEMORY_MB = 192;

    @Option(names = "--seed", defaultValue = "1", description = "All chance hangs on it, but for what clocks and threads"
            + " bring (${DEFAULT-VALUE}).")
    private long seed;
    @Option(names = "--seconds", defaultValue = "20", description = "How long (${DEFAULT-VALUE}).")
    private int seconds;
    @Option(names = "--dir", required = true, description = "A directory for the drill's own files; made if not there.")
    private Path dir;
    @Option(names = "--without", description = "Switch a guard off, to see that it is needed: ${COMPLETION-CANDIDATES}.")
    private Marks.Guard[] without = {};
    @Option(names = "--results", defaultValue = "on", description = "on, or off to see that it fails without.")
    private String results;
    @Spec
    private CommandSpec spec;

    private final History history = new History();
    private final AtomicInteger marks = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean stop;
    private volatile int port;
    private volatile boolean listening;
    private Process program;
    private long memoryMost;
    private int kills;

    @Override
    public Integer call() throws Exception {
        if (seconds < 1 || seconds > 3_600 || !Set.of("on", "off").contains(results)) {
            throw new ParameterException(spec.commandLine(), "--seconds takes 1 to 3600, --results on or off");
        }
        PrintWriter out = spec.commandLine().getOut();
        Files.createDirectories(dir);
        for (String copy : List.of("store/first", "store/second")) {
            clear(dir.resolve(copy));
        }
        SplittableRandom chance = new SplittableRandom(seed);
        try (StandKernel kernel = new StandKernel(history, 2, chance.nextLong())) {
            port = freePort();
            Files.writeString(dir.resolve("config.json"), config(kernel.port()));
            Files.writeString(dir.resolve("operators.json"), "{\"results\":{\"bound_mb\":" + BOUND_MB
                    + "},\"durable\":{\"dir\":\"" + dir.resolve("store") + "\",\"segment_mb\":1,\"force_every_ms\":" + FORCE_EVERY_MS + "}}");
            start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SplittableRandom own = chance.split();
                Thread t = new Thread(() -> client(own), "client");
                clients.add(t);
                t.start();
            }
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            while (System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(chance.nextInt(300, 4_000));
                int who = chance.nextInt(4);
                if (who == 0) {
                    kernel.kill();
                } else {
                    kill();
                    if (who == 1) {
                        kernel.kill();
                    }
                    start();
                }
                kills++;
            }
            stop = true;
            for (Thread t : clients) {
                t.join();
            }
            measure();
            kill();
        } finally {
            stop = true;
            if (program != null) {
                program.destroyForcibly().waitFor();
            }
        }
        return verdict(out);
    }

    private int verdict(PrintWriter out) throws IOException {
        long over = 0;
        if (results.equals("on")) {
            try (Durable d = new Durable(new FileDisk(dir.resolve("store/first")), new FileDisk(dir.resolve("store/second")),
                    Both.IN_TURN, 1 << 20, 4_096, 0.5, 0, List.of(), seed, FileStore::clock, Runnable::run, Set.of());
                    View view = d.view()) {
                over = view.bytes(DurableShelf.RESULTS) > (long) BOUND_MB << 20 ? 1 : 0;
            }
        }
        History.Verdict v = history.verdict();
        out.println("handled marks " + v.handled() + ", of them handled more than once " + v.repeatsHandled()
                + ", requests " + requests.get());
        out.println("results drill: kills " + kills + ", keys " + v.keys() + ", ran twice " + v.ranTwice()
                + ", answers differing " + v.differing() + ", unanswered " + v.unanswered() + ", over bound " + over
                + ", memory max " + memoryMost + " MB of " + MEMORY_MB);
        boolean good = v.ranTwice() + v.differing() + v.unanswered() + over == 0 && memoryMost <= MEMORY_MB
                && v.handled() > 0 && kills > 0;
        return good ? 0 : 1;
    }

    private static void clear(Path of) throws IOException {
        if (Files.isDirectory(of)) {
            try (Stream<Path> files = Files.list(of)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return s.getLocalPort();
        }
    }

    private String config(int kernel) {
        return "{\"name\":\"drill\",\"listen\":\"127.0.0.1:" + port + "\",\"kernel\":\"127.0.0.1:" + kernel
                + "\",\"announce\":\"127.0.0.1:9\",\"store\":\"127.0.0.1:9\",\"seed\":\"" + Long.toHexString(seed)
                + "\",\"stop_ms\":1000,\"limits\":{\"cores\":1.0,\"memory_mb\":" + MEMORY_MB + ",\"sockets\":256},\"settings\":{"
                + "\"Classes\":[{\"Name\":\"reset\",\"Effect\":\"keyed\",\"TargetUs\":1000000,\"DeadlineUs\":1500000,\"Worth\":3,"
                + "\"RepeatWindowUs\":3600000000},{\"Name\":\"look\",\"Effect\":\"safe\",\"TargetUs\":1000000,"
                + "\"DeadlineUs\":1500000,\"Worth\":1}],\"FamilyInfo\":{\"Cpus\":2,\"MemLimitKb\":5000000,\"RunMemFactor\":2,"
                + "\"Halt\":\"off\",\"IdleUs\":30000000,\"PassesDeadline\":true,"
                + "\"Gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"]},"
                + "\"Permissions\":{\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000},\"RoundUs\":5000,"
                + "\"Rules\":{\"AnswerSlackUs\":60000,\"DrainGraceUs\":500000,\"FallMultiple\":8,\"FallUs\":3000000}}}";
    }

    private void start() throws IOException, InterruptedException {
        ProcessBuilder of = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Dtallyweir.drill.without="
                + String.join(",", Arrays.stream(without).map(Enum::name).toList()), "-cp", System.getProperty("java.class.path"),
                "tallyweir.cli.Main", "serve");
        of.environment().put("EDGE_CONFIG", dir.resolve("config.json").toString());
        if (results.equals("on")) {
            of.environment().put("EDGE_OPERATORS", dir.resolve("operators.json").toString());
        }
        program = of.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(dir.resolve("program.log").toFile())).start();
        long end = System.nanoTime() + 20_000_000_000L;
        while (!listening) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
                listening = true;
            } catch (IOException e) {
                if (System.nanoTime() > end || !program.isAlive()) {
                    throw new IOException("the program does not start: see " + dir.resolve("program.log"));
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    private void kill() throws IOException, InterruptedException {
        measure();
        listening = false;
        program.destroyForcibly().waitFor();
    }

    private void measure() throws IOException {
        Path status = Path.of("/proc/" + program.pid() + "/status");
        if (Files.exists(status)) {
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("VmHWM:")) {
                    memoryMost = Math.max(memoryMost, Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024);
                }
            }
        }
    }

    /** Asks on and on: a new mark, or one asked before, by whoever. */
    private void client(SplittableRandom chance) {
        while (!stop) {
            try (StandSidecar s = new StandSidecar(port)) {
                boolean up = true;
                while (up && !stop) {
                    up = ask(s, chance);
                }
            } catch (IOException e) {
                pause(20);
            }
        }
    }

    private static void pause(int milliseconds) {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean ask(StandSidecar s, SplittableRandom chance) {
        int known = marks.get();
        int recent = Math.min(known, 400);
        boolean again = recent > 0 && chance.nextInt(3) > 0;
        String mark = "m" + (again ? known - 1 - chance.nextInt(recent) : marks.getAndIncrement());
        String job = String.format("%08x%08x", chance.nextInt(), requests.incrementAndGet());
        Map<String, String> p = new LinkedHashMap<>();
        p.put("REQUEST_METHOD", "POST");
        p.put("SCRIPT_NAME", "/do/reset");
        p.put("HTTP_REQUEST_ID", job);
        p.put("HTTP_RECEIVED_AT", Long.toString(System.currentTimeMillis()));
        p.put("HTTP_SENT_BY", "1");
        p.put("HTTP_BUDGET_MS", Integer.toString(PATIENCE));
        p.put("HTTP_FOOTPRINT_KB", "4");
        p.put("HTTP_PRIORITY_RANK", "0.5");
        p.put("HTTP_ONCE_KEY", mark);
        history.add(History.What.ASKED, mark, job, "");
        long asked = System.nanoTime();
        StandSidecar.Answer a = s.ask(p, mark + " body", PATIENCE + SLACK);
        boolean wasUp = listening;
        History.What what = switch (a.status()) {
            case 200 -> History.What.HANDLED;
            case 429, 503 -> History.What.DEFERRED;
            case 0 -> History.What.BROKEN;
            case -1 -> wasUp ? History.What.NOTHING : History.What.BROKEN;
            default -> History.What.ERRORED;
        };
        boolean atOnce = System.nanoTime() - asked < PATIENCE / 2 * 1_000_000L;
        history.add(what, mark, job, what == History.What.ERRORED ? atOnce ? "at once" : "late" : a.body());
        if (what == History.What.DEFERRED) {
            pause(20);
        }
        return a.status() > 0;
    }
}
