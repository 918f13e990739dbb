package rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** One backend, started from the project's root with the line {@code run} of the deploy file. */
public final class Backend implements AutoCloseable {
    private final Log log;
    private final String name;
    private final Process process;
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    public final List<String> lines = java.util.Collections.synchronizedList(new ArrayList<>());

    /** Cannot be run here: the script ends with 2. */
    public static final class CannotRun extends RuntimeException {
        public CannotRun(String why) {
            super(why);
        }
    }

    /** @param command the line of the deploy file; @param environment added to that of this process */
    public Backend(Log log, String name, Path root, String command, Map<String, String> environment) throws Exception {
        this.log = log;
        this.name = name;
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", command);
        b.directory(root.toFile());
        b.redirectErrorStream(true);
        b.environment().putAll(environment);
        process = b.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        log.line(name + ": started, process " + process.pid());
        Kernel.thread(this::read);
    }

    /** The line {@code run} of deploy/balancer.toml. */
    public static String runLine(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.indexOf('"', 7));
            }
        }
        throw new CannotRun("no run line");
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines.add(line);
                log.line(name + "| " + (line.length() > 400 ? line.substring(0, 400) : line));
                int at = line.indexOf("address=");
                if (line.contains("listens") && at >= 0) {
                    String digits = line.substring(at).replaceAll("^[^:]*:(\\d+).*$", "$1");
                    port.complete(Integer.parseInt(digits));
                }
            }
        } catch (IOException e) {
            log.line(name + ": its output ended");
        }
        port.completeExceptionally(new CannotRun(name + " ended before it listened"));
    }

    public InetSocketAddress address() throws Exception {
        return new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port.get(40, TimeUnit.SECONDS));
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public void signal(String name) throws Exception {
        log.line(this.name + ": SIG" + name);
        new ProcessBuilder("/bin/kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    public int exitCode() throws Exception {
        return process.waitFor(1, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Killed outright. */
    public void kill() throws Exception {
        log.line(name + ": SIGKILL");
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly().waitFor();
    }

    /** Waits until the health check is good. */
    public void awaitReady(int seconds) throws Exception {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < until) {
            Request r = Sidecar.get(address(), "/check", 1_000);
            if (r.answer.getNow(null).status() == 200) {
                Thread.sleep(300); // the kernel's link
                return;
            }
            Thread.sleep(100);
        }
        throw new CannotRun(name + " is not ready");
    }

    /** A socket that takes reports and tells nobody. */
    public static DatagramSocket announceService() throws IOException {
        DatagramSocket s = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        Kernel.thread(() -> {
            byte[] b = new byte[512];
            try {
                while (true) {
                    s.receive(new java.net.DatagramPacket(b, b.length));
                }
            } catch (IOException e) {
                return;
            }
        });
        return s;
    }
}
