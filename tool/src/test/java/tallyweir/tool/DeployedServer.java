package tallyweir.tool;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import tallyweir.stand.SequentialCaller;

/** One server, started by the line {@code run} of the deploy file and bound to one core. */
final class DeployedServer implements AutoCloseable {
    private static final String ARCHIVE = "daemon/target/tallyweir.jar";
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"([^\"]*)\"");
    private static final Pattern OLD_GENERATION = Pattern.compile("tenured generation +total (\\d+)K, used (\\d+)K");
    private static final Pattern LAST_ALLOWED_CORE = Pattern.compile("(?m)^Cpus_allowed_list:.*?(\\d+)$");
    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int CONNECT_TIMEOUT_MS = 200;
    private static final int POLL_INTERVAL_MS = 20;

    private final Path log;
    private final int port;
    private final Process process;

    /** @param directory for the configuration, which has to be there, and the log */
    DeployedServer(Path directory) throws IOException, InterruptedException {
        log = directory.resolve("program.log");
        port = freePort();
        ProcessBuilder builder =
                new ProcessBuilder("taskset", "-c", lastAllowedCore(), "/bin/sh", "-c", runLine(repositoryRoot()));
        builder.directory(repositoryRoot().toFile());
        builder.environment()
                .put("EDGE_CONFIG", directory.resolve("config.json").toString());
        builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        awaitListening();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return socket.getLocalPort();
        }
    }

    private static Path repositoryRoot() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve("deploy/balancer.toml"))) {
            folder = folder.getParent();
        }
        return folder;
    }

    /** The line as it is, unless its archive is missing or older than the classes; then these take its place. */
    private static String runLine(Path root) throws IOException {
        Matcher line = RUN_LINE.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("the deploy file has no line run");
        }
        return isArchiveCurrent(root)
                ? line.group(1)
                : line.group(1)
                        .replace(
                                "-jar " + ARCHIVE,
                                "-cp '" + System.getProperty("java.class.path") + "' tallyweir.cli.Main");
    }

    private static boolean isArchiveCurrent(Path root) throws IOException {
        Path archive = root.resolve(ARCHIVE);
        if (!Files.exists(archive)) {
            return false;
        }
        FileTime built = Files.getLastModifiedTime(archive);
        for (String module : List.of("core", "daemon")) {
            try (Stream<Path> classes = Files.walk(root.resolve(module).resolve("target/classes"))) {
                for (Path file : classes.toList()) {
                    if (Files.getLastModifiedTime(file).compareTo(built) > 0) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    private static String lastAllowedCore() throws IOException {
        Matcher cores = LAST_ALLOWED_CORE.matcher(Files.readString(Path.of("/proc/self/status")));
        if (!cores.find()) {
            throw new IOException("the system does not tell the cores of this process");
        }
        return cores.group(1);
    }

    private void awaitListening() throws IOException, InterruptedException {
        long end = System.nanoTime() + START_TIMEOUT_NANOS;
        while (!accepts()) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IOException("the server does not start: " + Files.readString(log));
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    private boolean accepts() {
        try (Socket socket = new Socket()) {
            socket.connect(address(), CONNECT_TIMEOUT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    InetSocketAddress address() {
        return SequentialCaller.loopback(port);
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** The most memory that the process has held so far, in megabytes. */
    long peakMemoryMb() throws IOException {
        List<String> status = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"));
        return status.stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) >> 10)
                .findFirst()
                .orElse(0);
    }

    /** The share of the heap's old generation that is in use after a collection. */
    double usedHeapShare() throws IOException, InterruptedException {
        jcmd("GC.run");
        Matcher usage = OLD_GENERATION.matcher(jcmd("GC.heap_info"));
        if (!usage.find()) {
            throw new IOException("the virtual machine does not tell how much of its heap is in use");
        }
        return Double.parseDouble(usage.group(2)) / Double.parseDouble(usage.group(1));
    }

    private String jcmd(String command) throws IOException, InterruptedException {
        Path program = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        Process jcmd = new ProcessBuilder(program.toString(), Long.toString(process.pid()), command)
                .redirectErrorStream(true)
                .start();
        String output = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return output;
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
