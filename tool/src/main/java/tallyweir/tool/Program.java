package tallyweir.tool;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The real program in a process of its own, on loopback, for drills and benches: started, asked to leave, killed, measured. */
public final class Program implements AutoCloseable {
    /** What memory its configuration allows, MB. */
    public static final int MEMORY_MB = 192;

    private final Path dir;
    private final List<String> flags;
    private final boolean operators;
    private final int port;
    private final Map<String, String> environment = new LinkedHashMap<>();
    private int heapMb = 48;
    private volatile boolean listening;
    private volatile int turn;
    private Process process;
    private long memoryMost;

    /**
     * @param dir for its files: {@code config.json}, {@code operators.json}, {@code program.log}
     * @param operators whether it gets the operators' file
     * @param flags of its virtual machine, beside the usual ones
     */
    public Program(Path dir, boolean operators, List<String> flags) throws IOException {
        this.dir = dir;
        this.flags = flags;
        this.operators = operators;
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            port = s.getLocalPort();
        }
    }

    /** The heap that its next process may take, MB; 48 otherwise. */
    void heap(int mb) {
        heapMb = mb;
    }

    /** What its environment holds beside the usual. */
    public void environment(Map<String, String> more) {
        environment.putAll(more);
    }

    public int port() {
        return port;
    }

    /** Changes with everything that this side does to it. */
    int turn() {
        return turn;
    }

    /** It goes on after it stood still. */
    void again() {
        turn++;
        listening = true;
    }

    /** Whether it is up, as far as this side has brought that about. */
    boolean listening() {
        return listening;
    }

    /** The most memory any of its processes has held, MB. */
    public long memoryMost() {
        return memoryMost;
    }

    /** What a backend is told: one workload with an effect and one without, patience and times as given. */
    public static String config(int kernel, long seed, int cpus, long windowUs, int sockets, int stopMs) {
        return "{\"name\":\"drill\",\"kernel\":\"127.0.0.1:" + kernel
                + "\",\"announce\":\"127.0.0.1:9\",\"store\":\"127.0.0.1:9\",\"seed\":\"" + Long.toHexString(seed)
                + "\",\"stop_ms\":" + stopMs + ",\"limits\":{\"cores\":1.0,\"memory_mb\":" + MEMORY_MB + ",\"sockets\":"
                + sockets
                + "},\"settings\":{\"Classes\":[{\"Name\":\"reset\",\"Effect\":\"keyed\",\"TargetUs\":1000000,\"DeadlineUs\":1500000,"
                + "\"Worth\":3,\"RepeatWindowUs\":" + windowUs
                + "},{\"Name\":\"look\",\"Effect\":\"safe\",\"TargetUs\":1000000,"
                + "\"DeadlineUs\":1500000,\"Worth\":1}],\"FamilyInfo\":{\"Cpus\":" + cpus
                + ",\"MemLimitKb\":5000000,\"RunMemFactor\":2,"
                + "\"Halt\":\"off\",\"IdleUs\":30000000,\"PassesDeadline\":true,"
                + "\"Gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"]},"
                + "\"Permissions\":{\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000},\"RoundUs\":5000,"
                + "\"Rules\":{\"AnswerSlackUs\":60000,\"DrainGraceUs\":500000,\"FallMultiple\":8,\"FallUs\":3000000}}}";
    }

    /** A request of the workload with an effect, as a sidecar sends it. */
    static Map<String, String> parameters(String mark, String job, int patience) {
        Map<String, String> of = new LinkedHashMap<>();
        of.put("REQUEST_METHOD", "POST");
        of.put("SCRIPT_NAME", "/do/reset");
        of.put("HTTP_REQUEST_ID", job);
        of.put("HTTP_RECEIVED_AT", Long.toString(System.currentTimeMillis()));
        of.put("HTTP_SENT_BY", "1");
        of.put("HTTP_BUDGET_MS", Integer.toString(patience));
        of.put("HTTP_FOOTPRINT_KB", "4");
        of.put("HTTP_PRIORITY_RANK", "0.5");
        of.put("HTTP_ONCE_KEY", mark);
        return of;
    }

    /** Deletes the files of a directory, if it is there. */
    static void clear(Path of) throws IOException {
        if (Files.isDirectory(of)) {
            try (Stream<Path> files = Files.list(of)) {
                for (Path file : files.filter(f -> !Files.isDirectory(f)).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    /** Starts it and returns once it listens; how long that took, milliseconds. */
    public long start() throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
        command.add("-Xmx" + heapMb + "m");
        command.addAll(flags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "tallyweir.cli.Main", "serve"));
        ProcessBuilder of = new ProcessBuilder(command);
        of.environment().put("EDGE_CONFIG", dir.resolve("config.json").toString());
        of.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
        if (operators) {
            of.environment().put("EDGE_OPERATORS", dir.resolve("operators.json").toString());
        }
        of.environment().putAll(environment);
        long began = System.nanoTime();
        process = of.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        dir.resolve("program.log").toFile()))
                .start();
        while (!listening) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
                listening = true;
            } catch (IOException e) {
                if (System.nanoTime() - began > 20_000_000_000L || !process.isAlive()) {
                    throw new IOException("the program does not start: see " + dir.resolve("program.log"));
                }
                TimeUnit.MILLISECONDS.sleep(2);
            }
        }
        return (System.nanoTime() - began) / 1_000_000;
    }

    /** Ends it outright. */
    public void kill() throws IOException, InterruptedException {
        measure();
        turn++;
        listening = false;
        process.destroyForcibly().waitFor();
    }

    /** Gives it notice to leave and returns once it has gone, or kills it when it stays for longer than that. */
    boolean leave(long milliseconds) throws IOException, InterruptedException {
        measure();
        process.destroy();
        listening = false;
        boolean gone = process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
        process.destroyForcibly().waitFor();
        return gone;
    }

    /** Gives it notice to leave and returns at once. */
    public void terminate() throws IOException {
        measure();
        turn++;
        process.destroy();
    }

    /** Has it read its configuration again. */
    public void reload() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Stops it where it stands; it does not hear of it. */
    public void pause() throws IOException, InterruptedException {
        turn++;
        listening = false;
        signal("STOP");
    }

    /** Lets it go on. */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Whether it has ended within so many milliseconds. */
    boolean ended(long milliseconds) throws InterruptedException {
        return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Memory that it holds now, KB, 0 where it has gone. */
    public long memoryNow() throws IOException {
        return status("VmRSS:");
    }

    private long status(String what) throws IOException {
        Path status = Path.of("/proc/" + process.pid() + "/status");
        if (Files.exists(status)) {
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith(what)) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        }
        return 0;
    }

    public void measure() throws IOException {
        memoryMost = Math.max(memoryMost, status("VmHWM:") / 1_024);
    }

    @Override
    public void close() throws InterruptedException {
        listening = false;
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
