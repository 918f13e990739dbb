package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tallyweir.stand.FailingCalls.Call;
import tallyweir.stand.FailingCalls.Errno;
import tallyweir.stand.PipelinedCaller;
import tallyweir.stand.SequentialCaller;
import tallyweir.stand.StandInSidecar;

/** Requests that were with a stopping server must have an answer before its process is killed, whatever system calls fail. */
@Timeout(60)
class LostAtTheStopTest {
    private static final SequentialCaller.Profile NEW_CONNECTIONS =
            new SequentialCaller.Profile("new connections", true, 1, 0, 5);
    private static final SequentialCaller.Profile KEPT_CONNECTIONS =
            new SequentialCaller.Profile("kept connections", false, 1, 0, 20);
    private static final SequentialCaller.Profile IN_PIECES =
            new SequentialCaller.Profile("in pieces", false, 4, 5, 20);
    private static final int RUN_MS = 1_500;
    private static final int SLOW_CLIENTS = 30;
    private static final int SLOW_CHUNKS = 10;
    private static final int PATIENCE_MS = 1_400;
    private static final int LISTENER_CLOSES_MS = StoppingServer.EARLIEST_STOP_MS - 2 * 60 - 500; // after the notice

    @TempDir
    private Path directory;

    private StoppingServer server(int seed, int sockets) throws Exception {
        return new StoppingServer(directory, seed, StoppingServer.EARLIEST_STOP_MS, sockets);
    }

    private static void stopAndCheck(StoppingServer server, Call failing) throws Exception {
        TimeUnit.MILLISECONDS.sleep(RUN_MS);
        server.stopAndKill();
        assertEquals(List.of(), server.lost(), server::report);
        assertTrue(
                failing == null || server.calls().failureCount(failing) > 0, "a run without a failure shows nothing");
    }

    /** One failed accept left everybody who connected in the next second unanswered. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void acceptFailsWhileAServerStops(int seed) throws Exception {
        try (StoppingServer server = server(seed, StoppingServer.SOCKETS)) {
            server.calls().fail(Call.ACCEPT, 100, seed, Errno.ECONNABORTED, Errno.ENFILE, Errno.ENOBUFS);
            server.callers(40, NEW_CONNECTIONS);
            stopAndCheck(server, Call.ACCEPT);
        }
    }

    /** Who stood in the listener's queue when it was closed was reset. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void acceptFailsWhileTheListenerIsClosed(int seed) throws Exception {
        try (StoppingServer server = server(seed, StoppingServer.SOCKETS)) {
            server.callers(40, NEW_CONNECTIONS);
            TimeUnit.MILLISECONDS.sleep(RUN_MS);
            server.notice();
            server.awaitSinceNotice(LISTENER_CLOSES_MS - 60);
            server.calls().fail(Call.ACCEPT, 1, seed, Errno.ENFILE);
            server.awaitSinceNotice(LISTENER_CLOSES_MS + 100);
            server.calls().restore(Call.ACCEPT);
            server.killAtTheStop();
            assertEquals(List.of(), server.lost(), server::report);
            assertTrue(server.calls().failureCount(Call.ACCEPT) > 0, "a run without a failure shows nothing");
        }
    }

    /** A failed wait for sockets stopped the thread that reads, or the one that accepts, for a second. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void waitingForSocketsFailsWhileAServerStops(int seed) throws Exception {
        try (StoppingServer server = server(seed, StoppingServer.SOCKETS)) {
            server.calls().fail(Call.EPOLL_WAIT, 200, seed, Errno.ENOMEM);
            server.callers(20, NEW_CONNECTIONS);
            server.callers(20, KEPT_CONNECTIONS);
            stopAndCheck(server, Call.EPOLL_WAIT);
        }
    }

    /** A connection whose registration failed was never read. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void registrationOfASocketFailsWhileAServerStops(int seed) throws Exception {
        try (StoppingServer server = server(seed, StoppingServer.SOCKETS)) {
            server.calls().fail(Call.EPOLL_CTL, 50, seed, Errno.ENOMEM, Errno.ENOSPC);
            server.callers(20, NEW_CONNECTIONS);
            server.callers(20, KEPT_CONNECTIONS);
            stopAndCheck(server, Call.EPOLL_CTL);
        }
    }

    /** A failed read ended the connection with the request that lay in its socket. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void readFailsWhileAServerStops(int seed) throws Exception {
        try (StoppingServer server = server(seed, StoppingServer.SOCKETS)) {
            server.calls().fail(Call.READ, 100, seed, Errno.ENOMEM, Errno.ENOBUFS, Errno.EINTR);
            server.callers(20, KEPT_CONNECTIONS);
            server.callers(10, IN_PIECES);
            stopAndCheck(server, Call.READ);
        }
    }

    /** An interrupted read or write passed for the end of the stream. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void readsAndWritesAreInterrupted(int seed) throws Exception {
        try (StoppingServer server = server(seed, StoppingServer.SOCKETS)) {
            server.calls().fail(Call.READ, 20, seed, Errno.EINTR);
            server.calls().fail(Call.WRITE, 20, seed, Errno.EINTR);
            server.callers(20, KEPT_CONNECTIONS);
            server.pipelinedCallers(5, new PipelinedCaller.Profile("pipelined", 8, 5, 0));
            stopAndCheck(server, Call.READ);
        }
    }

    /** A failed write ended the connection with the answer. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void writeFailsWhileAServerStops(int seed) throws Exception {
        try (StoppingServer server = server(seed, StoppingServer.SOCKETS)) {
            server.calls().fail(Call.WRITE, 100, seed, Errno.ENOMEM, Errno.ENOBUFS, Errno.EINTR);
            server.callers(30, KEPT_CONNECTIONS);
            stopAndCheck(server, Call.WRITE);
        }
    }

    /** A connection just accepted gave way to the next one before its request was read, and so did its resend's. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void silentClientsFillTheTable(int seed) throws Exception {
        try (StoppingServer server = server(seed, 128)) {
            server.silentClients(60);
            server.silentClients(60);
            server.callers(40, NEW_CONNECTIONS);
            stopAndCheck(server, null);
        }
    }

    /** A connection that is never at rest has to end in order all the same. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void connectionsAreNeverAtRestWhileAServerStops(int seed) throws Exception {
        try (StoppingServer server = server(seed, StoppingServer.SOCKETS)) {
            server.pipelinedCallers(10, new PipelinedCaller.Profile("pipelined", 8, 2, 0));
            server.callers(10, KEPT_CONNECTIONS);
            stopAndCheck(server, null);
        }
    }

    /** Connections on which a slow client was still writing a request were ended, and the request got no answer. */
    @ParameterizedTest
    @ValueSource(ints = {400, 520, 640}) // of the last, the end comes after the server's last answers
    void requestsAreBeingWrittenWhileAServerStops(int writeMs) throws Exception {
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        try (StoppingServer server = server(1, StoppingServer.SOCKETS)) {
            server.callers(10, KEPT_CONNECTIONS);
            List<StandInSidecar> slow = new ArrayList<>();
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                slow.add(new StandInSidecar(server.program().port()));
                assertTrue(slow.get(i).exchange(read(i), "", PATIENCE_MS).status() > 0);
            }
            server.notice();
            server.awaitSinceNotice(LISTENER_CLOSES_MS - 80);
            for (StandInSidecar client : slow) {
                Map<String, String> parameters = read(SLOW_CLIENTS + statuses.size());
                statuses.add(CompletableFuture.supplyAsync(
                        () -> client.exchangeSlowly(parameters, "", SLOW_CHUNKS, writeMs / SLOW_CHUNKS, PATIENCE_MS)
                                .status(),
                        task -> new Thread(task, "slow client").start()));
            }
            server.killAtTheStop();
            assertEquals(List.of(), server.lost(), server::report);
        }
        for (CompletableFuture<Integer> status : statuses) {
            assertTrue(status.get() > 0, "no answer to a request that was written before the kill");
        }
    }

    private static Map<String, String> read(int number) {
        Map<String, String> parameters = Program.parameters("none", String.format("%016x", number + 1), PATIENCE_MS);
        parameters.put("SCRIPT_NAME", "/do/look");
        return parameters;
    }
}
