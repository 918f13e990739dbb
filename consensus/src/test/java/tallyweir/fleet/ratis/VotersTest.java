package tallyweir.fleet.ratis;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Body;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.Grant;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.OperatorCommand;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.ids.TenantId;

/** Three voters on loopback, one of them ended or started anew, and what was acknowledged. */
class VotersTest {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final Voter.Founding FOUNDING =
            new Voter.Founding(1, 20_000, 5_000, 100_000, 50_000, 0.01, 0.5, 0.25, 8, 0.5, 0, 2, 0.5);
    private static final TenantId T = new TenantId("t");

    @TempDir
    private Path dir;

    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, Voter> voters = new LinkedHashMap<>();
    private Link link;

    @BeforeEach
    void start() throws IOException {
        for (int i = 1; i <= 3; i++) {
            try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                addresses.put("v" + i, "127.0.0.1:" + s.getLocalPort());
            }
        }
        for (String name : addresses.keySet()) {
            voters.put(name, voter(name, addresses, "f"));
        }
        link = new Link("f", addresses, 10_000);
        await().atMost(PATIENCE).until(() -> link.audit().get("version").longValue() == 1);
    }

    private Voter voter(String name, Map<String, String> all, String fleet) throws IOException {
        return Voter.start(
                fleet,
                all,
                name,
                dir.resolve(name),
                FOUNDING,
                () -> System.nanoTime() / 100_000,
                System::currentTimeMillis);
    }

    @AfterEach
    void end() throws IOException {
        link.close();
        for (Voter v : voters.values()) {
            v.close();
        }
    }

    /** What came back to one question. */
    private static final class Heard implements Answers {
        private final CompletableFuture<Object> what = new CompletableFuture<>();

        @Override
        public void joined(Incarnation as, int places, double floorShare, long next) {
            what.complete(as);
        }

        @Override
        public void told(
                long number,
                long lease,
                long floorLease,
                boolean floorsFree,
                RevisionId inForce,
                long age,
                RevisionId toCheck,
                Map<TenantId, Grant> shares,
                long next) {
            what.complete(Map.of(
                    "lease", lease, "in_force", inForce.value(), "check", toCheck.value(), "granted", (long)
                            shares.getOrDefault(T, new Grant(0, 0)).granted()));
        }

        @Override
        public void done(RevisionId revision) {
            what.complete(revision);
        }

        @Override
        public void refused(Fault why) {
            what.complete(why);
        }

        private Object get() throws Exception {
            return what.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
        }
    }

    private Object publish(String command, long expected, int cap) throws Exception {
        Heard heard = new Heard();
        byte[] text = {1, 2, (byte) cap};
        link.publish(
                new OperatorCommand(command),
                new RevisionId(expected),
                Digest.of(text),
                new Body(text, Map.of(T, cap), Map.of("", new Digest("d" + cap))),
                "ann",
                "because",
                false,
                heard);
        return heard.get();
    }

    @SuppressWarnings("unchecked")
    private Map<String, Long> report(Incarnation as, long number, long acting, String digest, long checked, Need need)
            throws Exception {
        Heard heard = new Heard();
        link.report(
                new ServerId("s"),
                as,
                number,
                new RevisionId(acting),
                new Digest(digest),
                0,
                new RevisionId(checked),
                "",
                0,
                0,
                Map.of(T, need),
                Runnable::run,
                heard,
                () -> heard.what.complete("failed"));
        return (Map<String, Long>) heard.get();
    }

    private String leader() {
        await().atMost(PATIENCE).until(() -> voters.values().stream().anyMatch(Voter::leads));
        return voters.entrySet().stream()
                .filter(e -> e.getValue().leads())
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    @Test
    void whatWasAcknowledgedOutlivesTheLeaderAndComesBackFromItsDisk() throws Exception {
        Heard joined = new Heard();
        link.join(new ServerId("s"), "127.0.0.1:1", 1, Runnable::run, joined, () -> joined.what.complete("failed"));
        Incarnation as = (Incarnation) joined.get();
        assertTrue(report(as, 1, 0, "", 0, new Need(0, 0)).get("lease") > 0);
        assertEquals(new RevisionId(1), publish("c1", 0, 8));
        assertEquals(1, report(as, 2, 0, "", 0, new Need(0, 0)).get("check"));
        assertEquals(1, report(as, 3, 0, "", 1, new Need(0, 0)).get("in_force"));
        assertEquals(3, report(as, 4, 1, "d8", 1, new Need(0, 3)).get("granted"));
        String first = leader();
        voters.remove(first).close();
        assertEquals(3, report(as, 5, 1, "d8", 1, new Need(3, 3)).get("granted"), "under the next leader");
        assertInstanceOf(Fault.LostRace.class, publish("late", 0, 9));
        assertEquals(new RevisionId(1), publish("c1", 0, 8), "the same command, sent again to another leader");
        assertArrayEquals(new byte[] {1, 2, 8}, link.body(new RevisionId(1)));
        voters.put(first, voter(first, addresses, "f"));
        for (String other : addresses.keySet()) {
            if (!other.equals(first)) {
                voters.remove(other).close();
                voters.put(other, voter(other, addresses, "f"));
            }
        }
        JsonNode audit = link.audit();
        assertEquals(1, audit.get("in_force").longValue(), "after all have started anew");
        assertEquals("s", audit.get("servers").get(0).get("server").textValue());
        assertEquals("d8", audit.get("servers").get(0).get("digest").textValue());
    }

    @Test
    void withoutAMajorityNothingIsAcknowledgedAndAStrangerFindsNoFleet() throws Exception {
        try (Link strange = new Link("g", addresses, 1_000)) {
            assertInstanceOf(
                    Fault.Stranger.class,
                    assertThrows(FleetException.class, strange::audit).fault());
        }
        assertInstanceOf(
                Fault.NameTaken.class,
                assertThrows(
                                FleetException.class,
                                () -> Voter.start(
                                        "f", addresses, "v1", dir.resolve("other"), FOUNDING, () -> 0, () -> 0))
                        .fault(),
                "its address is in use");
        voters.remove("v1").close();
        voters.remove("v2").close();
        try (Link shortOf = new Link("f", addresses, 1_500)) {
            FleetException e = assertThrows(FleetException.class, shortOf::audit);
            assertEquals(10, e.fault().exit());
            Heard heard = new Heard();
            shortOf.rollback(new OperatorCommand("c"), RevisionId.NONE, new RevisionId(1), "ann", "", false, heard);
            assertInstanceOf(Fault.OutcomeUnknown.class, heard.get());
        }
        voters.put("v1", voter("v1", addresses, "f"));
        assertEquals(0, link.audit().get("in_force").longValue());
    }
}
