package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import tallyweir.stand.FloodingClient;
import tallyweir.stand.HostileRequests;
import tallyweir.stand.HostileRequests.Kind;
import tallyweir.stand.SlowClients;

/**
 * Clients that write slowly, unsoundly, too much, or leave, against a server that is started by the deploy file's line on one
 * core: it stays within its memory, and each request of a sound caller is answered in time.
 */
@Timeout(120)
class HostileClientsTest {
    private static final long SEED = 1;
    private static final int WARM_UP_MS = 1_000;
    private static final int ATTACK_MS = 3_000;
    private static final int FLOOD_MS = 800; // of each kind
    private static final int RECOVERY_MS = 500;
    private static final int LONG_FLOOD_MS = 20_000; // of a kind that filled the memory
    private static final int LONG_RUN_US = 60_000_000; // longer than the attack
    private static final double MAX_USED_HEAP_SHARE = 0.5; // after the attack; an idle server uses a tenth
    private static final int CONNECTIONS = 800;
    private static final int DRIP_BYTES = 7;
    private static final int DRIP_INTERVAL_MS = 50;
    private static final int WHOLE = 1 << 20; // more than any stream of a slow client
    private static final int WRITE_INTERVAL_MS = 5;
    private static final int UNREAD_REQUESTS = 60;
    private static final int RUN_MS = 40; // longer than a run, so that some have ended when their ids come again

    @TempDir
    private Path directory;

    private static void play(ServerUnderAttack server, long milliseconds) throws Exception {
        TimeUnit.MILLISECONDS.sleep(milliseconds);
        server.endAttack();
    }

    /** The server has to serve again after the attack, and must not have failed anyone. */
    private static void assertSound(ServerUnderAttack server) throws Exception {
        TimeUnit.MILLISECONDS.sleep(RECOVERY_MS);
        long after = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(RECOVERY_MS);
        assertTrue(server.servedSince(after) > 0, server::report);
        server.stopSoundCallers();
        assertEquals(List.of(), server.lostOrLate(), server::report);
        assertTrue(server.server().peakMemoryMb() < ServerUnderAttack.MEMORY_LIMIT_MB, server::report);
        assertFalse(server.server().log().contains("OutOfMemoryError"), server::report);
        double usedHeapShare = server.server().usedHeapShare();
        assertTrue(usedHeapShare < MAX_USED_HEAP_SHARE, () -> usedHeapShare + " of the heap; " + server.report());
    }

    private enum SlowWay {
        /** Whole requests, a few bytes at a time. */
        DRIPPING,
        /** One request of the maximum size, without its end. */
        HALF_WRITTEN,
        /** As many of them as a connection may have open. */
        MANY_HALF_WRITTEN,
        /** Heads of thousands of short fields, one after the other. */
        SHORT_FIELDS;

        private SlowClients attack(ServerUnderAttack server) {
            return switch (this) {
                case DRIPPING ->
                    clients(server, number -> new HostileRequests(number).next(Kind.SOUND), DRIP_BYTES, true);
                case HALF_WRITTEN -> clients(server, HostileRequests::halfOfLargeRequest, WHOLE, false);
                case MANY_HALF_WRITTEN -> clients(server, HostileRequests::wholeHead, WHOLE, true);
                case SHORT_FIELDS ->
                    clients(server, number -> new HostileRequests(number).next(Kind.SHORT_FIELDS), WHOLE, true);
            };
        }

        private SlowClients clients(ServerUnderAttack server, IntFunction<byte[]> stream, int bytes, boolean repeat) {
            int intervalMs = this == DRIPPING ? DRIP_INTERVAL_MS : WRITE_INTERVAL_MS;
            return new SlowClients(server.address(), CONNECTIONS, stream, bytes, intervalMs, repeat);
        }
    }

    /** Hundreds of connections with unfinished or laborious requests had others refused, or delayed by seconds. */
    @ParameterizedTest
    @EnumSource(SlowWay.class)
    void hundredsOfClientsWriteSlowly(SlowWay way) throws Exception {
        try (ServerUnderAttack server = new ServerUnderAttack(directory, SEED)) {
            server.startSoundCallers();
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            server.attackWith(way.attack(server));
            long began = System.nanoTime();
            play(server, ATTACK_MS);
            long served = server.servedSince(began);
            assertTrue(2 * served > server.answeredSince(began), () -> served + " served; " + server.report());
            assertSound(server);
        }
    }

    /** Requests of ever new callers, and repeats that were aborted at once, filled the memory. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneClientSendsSmallOrUnsoundRequestsAtFullSpeed(boolean readsAnswers) throws Exception {
        try (ServerUnderAttack server = new ServerUnderAttack(directory, SEED)) {
            server.startSoundCallers();
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            for (Kind kind : Kind.values()) {
                HostileRequests requests = new HostileRequests(kind.ordinal());
                FloodingClient client = new FloodingClient(server.address(), requests, kind, readsAnswers);
                server.attackWith(client);
                play(server, FLOOD_MS);
                assertTrue(client.written() > 0, kind.name());
            }
            assertSound(server);
        }
    }

    /** The caller of each query was remembered for 30 s, also of those that were refused at once. */
    @Test
    void oneClientSendsQueriesOfEverNewCallersForLong() throws Exception {
        try (ServerUnderAttack server = new ServerUnderAttack(directory, SEED)) {
            server.startSoundCallers();
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            server.attackWith(
                    new FloodingClient(server.address(), new HostileRequests(SEED), Kind.EXPIRED_OF_NEW_CALLERS, true));
            play(server, LONG_FLOOD_MS);
            assertSound(server);
        }
    }

    /** Aborted repeats were kept until the run that they repeat ended. */
    @Test
    void oneClientAbortsRepeatsWhileTheirRunGoesOn() throws Exception {
        try (ServerUnderAttack server = new ServerUnderAttack(directory, SEED, LONG_RUN_US)) {
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            server.attackWith(
                    new FloodingClient(server.address(), new HostileRequests(SEED), Kind.ABORTED_REPEATS, true));
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS); // the first of them runs
            server.startSoundCallers();
            play(server, LONG_FLOOD_MS);
            assertSound(server);
        }
    }

    /** What a client had sent before it ended its connection was run while the rest of it was still being read. */
    @Test
    void aClientLeavesWithMuchUnread() throws Exception {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        try (ServerUnderAttack server = new ServerUnderAttack(directory, SEED)) {
            server.kernel().setScheduleListener(job -> runs.merge(job, 1, Integer::sum));
            server.startSoundCallers();
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            HostileRequests requests = new HostileRequests(SEED);
            for (Kind kind : List.of(Kind.SOUND, Kind.ONE_SHOT, Kind.NEW_KEYS)) {
                Socket client = new Socket();
                client.connect(server.address());
                TimeUnit.MILLISECONDS.sleep(RUN_MS); // it is accepted
                server.server().signal("STOP");
                client.getOutputStream().write(burst(requests, kind));
                client.close();
                server.server().signal("CONT");
                TimeUnit.MILLISECONDS.sleep(RECOVERY_MS);
            }
            runs.keySet().removeIf(id -> !requests.isOwnId(id));
            assertEquals(Map.of(), runs);
            assertSound(server);
        }
    }

    /** One-shot queries ran a second time when their ids came again after their client had left. */
    @Test
    void idsComeAgainAfterTheirClientHasLeft() throws Exception {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        try (ServerUnderAttack server = new ServerUnderAttack(directory, SEED)) {
            server.kernel().setScheduleListener(job -> runs.merge(job, 1, Integer::sum));
            server.startSoundCallers();
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            HostileRequests requests = new HostileRequests(SEED);
            byte[] burst = burst(requests, Kind.ONE_SHOT);
            for (int visit = 0; visit < 3; visit++) {
                try (Socket client = new Socket()) {
                    client.connect(server.address());
                    OutputStream out = client.getOutputStream();
                    out.write(burst);
                    TimeUnit.MILLISECONDS.sleep(RUN_MS);
                }
                TimeUnit.MILLISECONDS.sleep(visit * RECOVERY_MS);
            }
            runs.keySet().removeIf(id -> !requests.isOwnId(id));
            assertFalse(runs.isEmpty(), "none of them ran");
            runs.values().removeIf(count -> count == 1);
            assertEquals(Map.of(), runs, "ran more than once");
            assertSound(server);
        }
    }

    private static byte[] burst(HostileRequests requests, Kind kind) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < UNREAD_REQUESTS; i++) {
            out.writeBytes(requests.next(kind));
        }
        return out.toByteArray();
    }
}
