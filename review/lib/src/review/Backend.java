package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One backend, started by the line `run` of the deploy file as a process of its own. */
final class Backend implements AutoCloseable {
    private final Path root;
    private final Path config;
    private final Path log;
    private final Map<String, String> environment;
    final int port;
    Process process;

    Backend(Path root, Path dir, String name, int port, Map<String, String> environment) {
        this.root = root;
        this.port = port;
        this.environment = environment;
        config = dir.resolve(name + ".json");
        log = dir.resolve(name + ".log");
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    /** Replaces the configuration in one step. */
    void configure(String json) throws IOException {
        Path next = config.resolveSibling(config.getFileName() + ".next");
        Files.writeString(next, json);
        Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private String runLine() throws IOException {
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!m.find()) {
            throw new IOException("deploy/balancer.toml has no line run");
        }
        return m.group(1);
    }

    /** Starts it and waits until a health check is answered well. */
    void start(boolean untilHealthy) throws IOException, InterruptedException {
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", runLine());
        b.directory(root.toFile());
        b.environment().put("EDGE_CONFIG", config.toString());
        b.environment().putAll(environment);
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = b.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        long until = System.nanoTime() + 30_000_000_000L;
        while (untilHealthy && Sidecar.check(port) != 200) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IOException("a backend was not ready: " + Files.readString(log));
            }
            Thread.sleep(50);
        }
    }

    /** Sends a signal to the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
