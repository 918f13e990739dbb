package tallyweir;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tallyweir.ServerTest.TIMEOUT_MS;
import static tallyweir.ServerTest.answer;
import static tallyweir.ServerTest.awaitCommand;
import static tallyweir.ServerTest.dial;
import static tallyweir.ServerTest.listener;
import static tallyweir.ServerTest.query;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tallyweir.backend.Backend;
import tallyweir.config.Config;
import tallyweir.net.Server;

/**
 * Races between two events on real sockets. Each is forced by holding the decision thread while the other side acts.
 */
class SocketRaceTest {
    private static final byte[] MALFORMED = {7, 7, 7, 7, 7, 7, 7, 7};

    private ServerSocket kernelListener;
    private ServerSocket storeListener;
    private Server server;
    private Thread decisionThread;
    private Socket kernel;
    private BufferedReader commands;
    private int notices;
    private volatile CountDownLatch released = new CountDownLatch(0);
    private volatile CountDownLatch blocked = new CountDownLatch(0);
    private CompletableFuture<String> counters;

    @BeforeEach
    void listen() throws IOException {
        kernelListener = listener();
        storeListener = listener();
    }

    @AfterEach
    void end() throws IOException {
        release();
        // Otherwise the thread would go on connecting to its peers, and reach those of a later test on the same port.
        decisionThread.interrupt();
        kernelListener.close();
        storeListener.close();
        if (kernel != null) {
            kernel.close();
        }
    }

    /** @param changes replacements in the configuration's text, alternately the old and the new text */
    private void start(int sockets, String... changes) throws Exception {
        String text = Simulation.CONFIG
                .replace("127.0.0.1:1\"", "127.0.0.1:" + kernelListener.getLocalPort() + "\"")
                .replace("127.0.0.1:3\"", "127.0.0.1:" + storeListener.getLocalPort() + "\"")
                .replace("\"sockets\":64", "\"sockets\":" + sockets);
        for (int i = 0; i < changes.length; i += 2) {
            text = text.replace(changes[i], changes[i + 1]);
        }
        byte[] configuration = text.getBytes(UTF_8);
        CompletableFuture<Server> bound = new CompletableFuture<>();
        decisionThread = new Thread(() -> {
            Server s = new Server(Config.parse(configuration, Map.of()));
            s.addCounters("held_", () -> {
                blocked.countDown();
                await(released);
                return Map.of();
            });
            try {
                s.bind();
                bound.complete(s);
                s.run();
            } catch (IOException e) {
                bound.completeExceptionally(e);
            }
        });
        decisionThread.setDaemon(true);
        decisionThread.start();
        server = bound.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        kernel = kernelListener.accept();
        kernel.setSoTimeout(TIMEOUT_MS);
        commands = new BufferedReader(new InputStreamReader(kernel.getInputStream(), UTF_8));
        sendNotice("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":100000}");
        awaitCommand(commands, "SYSINFO");
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns once the decision thread is blocked, in the middle of a batch of events. */
    private void hold() {
        released = new CountDownLatch(1);
        blocked = new CountDownLatch(1);
        counters = CompletableFuture.supplyAsync(server::counters);
        await(blocked);
    }

    private void release() {
        released.countDown();
    }

    private void sendNotice(String notice) throws IOException {
        kernel.getOutputStream().write((notice + "\n").getBytes(UTF_8));
    }

    private void reap(String job) throws IOException {
        sendNotice("{\"type\":\"REAP\",\"n\":" + ++notices + ",\"job\":\"" + job
                + "\",\"state\":\"good\",\"took\":1,\"data\":\"bWFkZQ==\"}");
    }

    private void requestCall(String job) throws IOException {
        sendNotice("{\"type\":\"IOREQ\",\"n\":" + ++notices + ",\"job\":\"" + job + "\",\"data\":\"Y2FsbA==\"}");
    }

    private static byte[] check(int id) {
        return Model.request(id, new byte[0], false, 0, "SCRIPT_NAME", "/check");
    }

    /** The request without the flag that keeps the connection open. */
    private static byte[] withoutKeepAlive(byte[] request) {
        byte[] bytes = request.clone();
        bytes[10] = 0;
        return bytes;
    }

    /** Closing a socket with unread bytes resets the connection, and the peer loses the answers it has not read yet. */
    @Test
    void answersBeforeAMalformedRecordAreReadAndTheConnectionEndsWithoutAReset() throws Exception {
        start(64);
        try (Socket caller = dial(server.address())) {
            hold();
            caller.getOutputStream().write(Model.join(check(1), MALFORMED));
            CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> {
                try {
                    caller.getOutputStream().write(new byte[20 << 20]);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            release();
            sent.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertEquals(200, answer(caller.getInputStream()).status());
            assertEquals(-1, caller.getInputStream().read());
        }
    }

    /**
     * After a request that ends the connection, or a malformed record, the answers to all other requests on it were
     * lost.
     */
    @Test
    void pendingQueriesAreAnsweredBeforeTheConnectionIsClosed() throws Exception {
        start(64);
        int i = 0;
        for (byte[] end : List.of(withoutKeepAlive(check(9)), MALFORMED)) {
            String job = "00000000000000a" + i++;
            try (Socket caller = dial(server.address())) {
                caller.getOutputStream().write(query(1, job));
                assertTrue(awaitCommand(commands, "SCHED").contains(job));
                caller.getOutputStream().write(end);
                if (end != MALFORMED) {
                    assertEquals(9, answer(caller.getInputStream()).id());
                }
                caller.getOutputStream().write(check(2));
                reap(job);
                Model.FcgiAnswer w = answer(caller.getInputStream());
                assertEquals(List.of(1, 200, "made"), List.of(w.id(), w.status(), w.body()));
                assertEquals(-1, caller.getInputStream().read(), "later requests are not answered");
            }
        }
    }

    /** A slow reader was closed with all its answers once too many bytes were unwritten. */
    @Test
    void aSlowReaderIsNotReadUntilItHasAllItsAnswers() throws Exception {
        start(64);
        int many = 10_000;
        AtomicInteger written = new AtomicInteger();
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(4 << 10);
            caller.connect(server.address(), TIMEOUT_MS);
            caller.setSoTimeout(TIMEOUT_MS);
            CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> {
                try {
                    while (written.get() < many) {
                        caller.getOutputStream()
                                .write(Model.request(
                                        1 + written.get() % 32, new byte[0], false, 0, "SCRIPT_NAME", "/counters"));
                        written.incrementAndGet();
                    }
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            AtomicInteger before = new AtomicInteger(-1);
            Awaitility.await()
                    .pollInterval(Duration.ofMillis(500))
                    .until(() -> written.get() == before.getAndSet(written.get()));
            assertEquals(200, ServerTest.check(server.address()), "others are served meanwhile");
            for (int i = 0; i < many; i++) {
                assertEquals(1 + i % 32, answer(caller.getInputStream()).id());
            }
            sent.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Connections beyond the limit were accepted and closed at once, and their requests were lost. */
    @Test
    void aCallerThatConnectsAtTheLimitWaitsAndIsAnswered() throws Exception {
        start(64);
        List<Socket> callers = new ArrayList<>();
        hold();
        for (int i = 0; i < 120; i++) {
            Socket s = dial(server.address());
            s.getOutputStream().write(check(1));
            callers.add(s);
        }
        release();
        assertEquals(List.of(), failuresOfAnswers(callers));
    }

    /** Connections past the idle timeout were closed although a request on them was still unread. */
    @Test
    void anIdleConnectionWithAnUnreadRequestIsNotClosed() throws Exception {
        start(1_024, "\"IdleUs\":30000000", "\"IdleUs\":1000000");
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Socket s = dial(server.address());
            s.getOutputStream().write(check(1));
            answer(s.getInputStream());
            callers.add(s);
        }
        hold();
        for (Socket s : callers) {
            s.getOutputStream().write(check(2));
        }
        TimeUnit.MILLISECONDS.sleep(1_500); // past the idle timeout of all of them
        release();
        assertEquals(List.of(), failuresOfAnswers(callers));
    }

    /** When every connection had an unanswered query, a check waited until one of the queries had ended. */
    @Test
    void aCheckIsAnsweredWhileEveryOtherConnectionHasAPendingQuery() throws Exception {
        start(64, "\"TargetUs\":1800000", "\"TargetUs\":4600000", "\"Cpus\":2", "\"Cpus\":64"); // all run at once
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < Backend.maxCallerConnections(64); i++) {
            Socket s = dial(server.address());
            s.getOutputStream().write(query(1, "00000000000000" + (10 + i)));
            callers.add(s);
        }
        CompletableFuture<Integer> check = CompletableFuture.supplyAsync(() -> statusOfCheck(server.address()));
        Awaitility.await().until(() -> !answered(callers).isEmpty());
        try (Socket refused = answered(callers).get(0)) {
            assertEquals(503, answer(refused.getInputStream()).status());
            assertEquals(-1, refused.getInputStream().read());
            callers.remove(refused);
        }
        assertEquals(200, check.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(List.of(), answered(callers), "no other connection was closed: " + server.counters());
        for (Socket s : callers) {
            s.close();
        }
    }

    private static int statusOfCheck(SocketAddress at) {
        try {
            return ServerTest.check(at);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The sockets with bytes to read. */
    private static List<Socket> answered(List<Socket> callers) throws IOException {
        List<Socket> answered = new ArrayList<>();
        for (Socket s : callers) {
            if (s.getInputStream().available() > 0) {
                answered.add(s);
            }
        }
        return answered;
    }

    /** Reads an answer from each and closes it; returns the failures. */
    private static List<String> failuresOfAnswers(List<Socket> callers) {
        List<String> lost = new ArrayList<>();
        for (Socket s : callers) {
            try (s) {
                answer(s.getInputStream());
            } catch (IOException | AssertionError e) {
                lost.add(callers.indexOf(s) + ": " + e.getMessage());
            }
        }
        return lost;
    }

    /**
     * The store closes an idle link while a call is being assigned to it. Nothing was written, so the call did not run
     * and is sent again.
     */
    @Test
    void aCallThatWasNeverWrittenIsSentOnAnotherLink() throws Exception {
        start(64);
        String first = "00000000000000b1";
        String second = "00000000000000b2";
        try (Socket caller = dial(server.address())) {
            caller.getOutputStream().write(query(1, first));
            awaitCommandAnsweringGauges("SCHED");
            caller.getOutputStream().write(ofWorkload("u", query(2, second)));
            awaitCommandAnsweringGauges("SCHED");
            requestCall(first);
            Socket link = storeListener.accept();
            replyTo(first, link);
            awaitCommandAnsweringGauges("IODONE");
            hold(); // in time, as an idle link is dropped after half a second
            int before = server.pendingPeerChunks();
            requestCall(second);
            awaitQueuedPeerChunks(before + 1);
            link.close();
            awaitQueuedPeerChunks(before + 2);
            release();
            CompletableFuture<Socket> accepted = CompletableFuture.supplyAsync(() -> accept(storeListener));
            while (!accepted.isDone()) { // calls are retried when the gauges are read
                answerGauges(awaitCommand(commands, "SYSINFO"));
            }
            try (Socket other = accepted.get()) {
                replyTo(second, other);
                awaitCommandAnsweringGauges("IODONE");
                for (String job : List.of(first, second)) {
                    reap(job);
                    assertEquals(200, answer(caller.getInputStream()).status());
                }
                assertTrue(
                        server.counters().contains(" calls_never_sent=1 "), "the call was assigned to the idle link");
            }
        }
    }

    private static void replyTo(String job, Socket link) throws IOException {
        link.setSoTimeout(TIMEOUT_MS);
        BufferedReader calls = new BufferedReader(new InputStreamReader(link.getInputStream(), UTF_8));
        assertTrue(calls.readLine().startsWith("CALL " + job));
        link.getOutputStream().write((job + " OK 5\r\nreply\r\n").getBytes(UTF_8));
    }

    /** The next command of that type. Requests for gauges before it are answered, or the server would drop the link. */
    private String awaitCommandAnsweringGauges(String type) throws IOException {
        String line = commands.readLine();
        while (!line.contains("\"" + type + "\"")) {
            answerGauges(line);
            line = commands.readLine();
        }
        return line;
    }

    private void answerGauges(String line) throws IOException {
        if (line.contains("\"SYSINFO\"")) {
            String tag = line.replaceAll(".*\"ref\":\"(\\w+)\".*", "$1");
            sendNotice("{\"type\":\"INFO\",\"ref\":\"" + tag + "\",\"gauges\":[0.1,1]}");
        }
    }

    private static Socket accept(ServerSocket at) {
        try {
            return at.accept();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] ofWorkload(String name, byte[] query) {
        return new String(query, java.nio.charset.StandardCharsets.ISO_8859_1)
                .replace("/do/c", "/do/" + name)
                .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    /** Returns once this many chunks of the peers are queued while the decision thread is held. */
    private void awaitQueuedPeerChunks(int pieces) {
        Awaitility.await()
                .atMost(Duration.ofMillis(TIMEOUT_MS))
                .pollInterval(Duration.ofMillis(1))
                .until(() -> server.pendingPeerChunks() == pieces);
    }
}
