package tallyweir;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tallyweir.ServerTest.TIMEOUT_MS;
import static tallyweir.ServerTest.answer;
import static tallyweir.ServerTest.awaitAddress;
import static tallyweir.ServerTest.awaitLine;
import static tallyweir.ServerTest.check;
import static tallyweir.ServerTest.dial;
import static tallyweir.ServerTest.listener;
import static tallyweir.ServerTest.query;
import static tallyweir.ServerTest.signal;
import static tallyweir.ServerTest.startProgram;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Server processes that receive signals or run out of descriptors. */
class ProcessTest {
    @TempDir
    private Path dir;

    private static String config(ServerSocket kernel, ServerSocket store, int announce) {
        return Simulation.CONFIG
                .replace("127.0.0.1:1\"", "127.0.0.1:" + kernel.getLocalPort() + "\"")
                .replace("127.0.0.1:3\"", "127.0.0.1:" + store.getLocalPort() + "\"")
                .replace("127.0.0.1:2\"", "127.0.0.1:" + announce + "\"");
    }

    /** The kernel's end of a link. Answers OPEN and requests for gauges by itself; the test sends everything else. */
    private static final class KernelEnd {
        private final Socket link;
        private final BlockingQueue<String> commands = new LinkedBlockingQueue<>();

        KernelEnd(Socket link) throws IOException {
            this.link = link;
            Thread t = new Thread(this::read);
            t.setDaemon(true);
            t.start();
        }

        private synchronized void send(String line) throws IOException {
            link.getOutputStream().write((line + "\n").getBytes(UTF_8));
        }

        private void read() {
            try (BufferedReader in = new BufferedReader(new InputStreamReader(link.getInputStream(), UTF_8))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.contains("SYSINFO")) {
                        send("{\"type\":\"INFO\",\"ref\":" + line.replaceAll(".*\"ref\":(\"\\w+\").*", "$1")
                                + ",\"gauges\":[0.1,1]}");
                    } else {
                        if (line.contains("OPEN")) {
                            send("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":100000}");
                        }
                        commands.add(line);
                    }
                }
            } catch (IOException e) {
                // The link is closed.
            }
        }

        void await(String type) throws InterruptedException {
            assertTrue(receives(type, TIMEOUT_MS), type);
        }

        /** Whether a command of that type arrives; false once no command at all has arrived for that long. */
        boolean receives(String type, int millis) throws InterruptedException {
            String line = commands.poll(millis, TimeUnit.MILLISECONDS);
            while (line != null && !line.contains("\"" + type + "\"")) {
                line = commands.poll(millis, TimeUnit.MILLISECONDS);
            }
            return line != null;
        }

        void sendNotice(String type, int n, String job, String data) throws IOException {
            send("{\"type\":\"" + type + "\",\"n\":" + n + ",\"job\":\"" + job
                    + "\",\"state\":\"good\",\"took\":1,\"data\":\"" + data + "\"}");
        }
    }

    /**
     * While the announce service was down, idle callers used up all descriptors, so that the server could open neither
     * the kernel nor the store nor the new configuration. Idle connections have to be closed, also those whose caller
     * ignores the half-close.
     */
    @Test
    @Timeout(60)
    void idleCallersWithoutLimitDoNotShutOutPeersOrOtherCallers() throws Exception {
        long jars = Stream.of(System.getProperty("java.class.path").split(":"))
                .filter(p -> p.endsWith(".jar"))
                .count();
        Path file = dir.resolve("config.json");
        int closedPort;
        try (DatagramSocket closedSocket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            closedPort = closedSocket.getLocalPort();
        }
        List<Socket> idleCallers = new ArrayList<>();
        try (ServerSocket first = listener();
                ServerSocket second = listener();
                ServerSocket storeListener = listener();
                DatagramSocket announce = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            Files.writeString(file, config(first, storeListener, closedPort));
            Process backend = startProgram("ulimit -n " + (64 + jars) + "; ", file, dir.resolve("none"));
            try (BufferedReader log = backend.inputReader(UTF_8);
                    Socket old = first.accept()) {
                new KernelEnd(old).await("OPEN");
                InetSocketAddress at = awaitAddress(log);
                for (int i = 0; i < 300; i++) {
                    idleCallers.add(dial(at));
                }
                Files.writeString(file, config(second, storeListener, announce.getLocalPort()));
                signal("HUP", backend);
                try (Socket kernel = second.accept();
                        Socket caller = dial(at)) {
                    KernelEnd end = new KernelEnd(kernel);
                    announce.setSoTimeout(TIMEOUT_MS);
                    announce.receive(new DatagramPacket(new byte[64], 64));
                    String job = awaitRunningQuery(caller, end);
                    end.sendNotice("IOREQ", 1, job, "Y2FsbA==");
                    try (Socket link = storeListener.accept()) {
                        link.getOutputStream().write((job + " OK 5\r\nreply\r\n").getBytes(UTF_8));
                        end.await("IODONE");
                    }
                    end.sendNotice("REAP", 2, job, "bWFkZQ==");
                    assertEquals(200, answer(caller.getInputStream()).status());
                    assertEquals(200, check(at));
                }
                assertTrue(backend.isAlive());
            } finally {
                backend.destroyForcibly();
            }
        } finally {
            for (Socket s : idleCallers) {
                s.close();
            }
        }
    }

    /**
     * Sends queries until one runs. One that waited too long behind the other connections is refused; the next waits
     * less.
     */
    private static String awaitRunningQuery(Socket caller, KernelEnd end) throws Exception {
        for (int i = 1; ; i++) {
            String job = String.format("%016x", 160 + i);
            caller.getOutputStream().write(query(i, job));
            while (caller.getInputStream().available() == 0) {
                if (end.receives("SCHED", 20)) {
                    return job;
                }
            }
            assertEquals(503, answer(caller.getInputStream()).status());
        }
    }

    /**
     * Servers are killed and restarted side by side, with the same names and addresses, before their kernels are up.
     */
    @Test
    void nineInTenOfServersRestartedTogetherAreReadyInTime() throws Exception {
        int serverCount = 12;
        List<Process> backends = new ArrayList<>();
        List<Path> files = new ArrayList<>();
        List<Long> millis = new ArrayList<>();
        try {
            for (int i = 0; i < serverCount; i++) {
                Process first =
                        startProgram(Files.writeString(dir.resolve("c" + i), Simulation.CONFIG), dir.resolve("none"));
                backends.add(first);
            }
            for (int i = 0; i < serverCount; i++) {
                InetSocketAddress at;
                try (BufferedReader log = backends.get(i).inputReader(UTF_8)) {
                    at = awaitAddress(log);
                }
                files.add(Files.writeString(
                        dir.resolve("c" + i),
                        Simulation.CONFIG.replace("127.0.0.1:0\"", "127.0.0.1:" + at.getPort() + "\"")));
                backends.get(i).destroyForcibly().waitFor();
            }
            long from = System.nanoTime();
            for (int i = 0; i < serverCount; i++) {
                backends.set(i, startProgram(files.get(i), dir.resolve("none")));
            }
            List<CompletableFuture<Long>> ready = new ArrayList<>();
            for (Process p : backends) {
                ready.add(CompletableFuture.supplyAsync(
                        () -> millisUntilReady(p, from), Executors.newCachedThreadPool(r -> {
                            Thread t = new Thread(r);
                            t.setDaemon(true);
                            return t;
                        })));
            }
            for (CompletableFuture<Long> r : ready) {
                millis.add(r.get(60, TimeUnit.SECONDS));
            }
        } finally {
            backends.forEach(Process::destroyForcibly);
        }
        Collections.sort(millis);
        System.out.println("ready after ms: p50 " + millis.get(serverCount / 2) + ", p90 "
                + millis.get(serverCount * 9 / 10) + ", max " + millis.get(serverCount - 1));
        assertTrue(millis.get(serverCount * 9 / 10) <= 10_000, millis.toString());
    }

    private static long millisUntilReady(Process backend, long from) {
        try (BufferedReader log = backend.inputReader(UTF_8)) {
            assertEquals(200, check(awaitAddress(log)));
            return (System.nanoTime() - from) / 1_000_000;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Before the kill every connection has ended without a reset, nothing is left unread and nobody can connect. */
    @Test
    void twoNoticesToShutDownWithAPendingQuery() throws Exception {
        try (ServerSocket kernelListener = listener();
                ServerSocket storeListener = listener()) {
            Path file = Files.writeString(
                    dir.resolve("config.json"),
                    config(kernelListener, storeListener, 2).replace("\"stop_ms\":3200", "\"stop_ms\":2500"));
            Process backend = startProgram(file, dir.resolve("none"));
            try (BufferedReader log = backend.inputReader(UTF_8);
                    Socket kernel = kernelListener.accept()) {
                KernelEnd end = new KernelEnd(kernel);
                InetSocketAddress at = awaitAddress(log);
                awaitLine(log, "the kernel is up");
                try (Socket caller = dial(at);
                        Socket idle = dial(at)) {
                    caller.getOutputStream().write(query(1, "00000000000000aa"));
                    end.await("SCHED");
                    signal("TERM", backend);
                    awaitLine(log, "told to leave");
                    signal("TERM", backend);
                    assertEquals(503, check(at), "at once after the notice");
                    end.sendNotice("REAP", 1, "00000000000000aa", "bWFkZQ==");
                    assertEquals(200, answer(caller.getInputStream()).status());
                    caller.getOutputStream().write(Model.request(2, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
                    assertEquals(
                            503, answer(caller.getInputStream()).status(), "the connection stays open and is answered");
                    assertEquals(-1, caller.getInputStream().read());
                    assertEquals(-1, idle.getInputStream().read());
                    awaitLine(log, "at the stop");
                    assertThrows(ConnectException.class, () -> dial(at).close());
                    assertTrue(backend.isAlive());
                }
            } finally {
                backend.destroyForcibly();
            }
        }
    }

    /** Closing the listener ended every connection, also those with a pending answer. */
    @Test
    void aPendingQueryIsAnsweredAfterTheListenerIsClosed() throws Exception {
        try (ServerSocket kernelListener = listener();
                ServerSocket storeListener = listener()) {
            Path file = Files.writeString(dir.resolve("config.json"), config(kernelListener, storeListener, 2));
            Process backend = startProgram(file, dir.resolve("none"));
            try (BufferedReader log = backend.inputReader(UTF_8);
                    Socket kernel = kernelListener.accept()) {
                KernelEnd end = new KernelEnd(kernel);
                InetSocketAddress at = awaitAddress(log);
                awaitLine(log, "the kernel is up");
                try (Socket caller = dial(at)) {
                    caller.getOutputStream().write(query(1, "00000000000000aa", "u"));
                    end.await("SCHED");
                    signal("TERM", backend);
                    awaitLine(log, "listens no more");
                    end.sendNotice("REAP", 1, "00000000000000aa", "bWFkZQ==");
                    assertEquals(200, answer(caller.getInputStream()).status());
                    assertEquals(-1, caller.getInputStream().read(), "then the connection ends");
                }
            } finally {
                backend.destroyForcibly();
            }
        }
    }
}
