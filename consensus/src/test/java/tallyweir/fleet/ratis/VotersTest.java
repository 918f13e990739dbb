package tallyweir.fleet.ratis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;

/** Three voters on loopback that stop and restart: acknowledged commands must survive. */
class VotersTest {
    private static final TenantId TENANT = new TenantId("t");
    private static final Key KEY = new Key(Kind.CAP, "t");
    private static final RevisionRoot FIRST = new RevisionRoot(RevisionId.NONE, Table.EMPTY.root());
    private static final int RETRIES = 8;

    @TempDir
    private Path dir;

    private VoterCluster cluster;

    @BeforeEach
    void start() throws IOException {
        cluster = new VoterCluster(dir);
    }

    @AfterEach
    void stop() {
        cluster.close();
    }

    private static Map<TenantId, Need> need(int keep, int want) {
        return Map.of(TENANT, new Need(keep, want));
    }

    private static Answer done(long revision) {
        return new Answer.Done(new RevisionId(revision));
    }

    private static <T extends Fault> T refused(Class<T> kind, Answer answer) {
        return assertInstanceOf(
                kind, assertInstanceOf(Answer.Refused.class, answer).fault());
    }

    private Optional<Value> capInForce() {
        return Optional.ofNullable(
                cluster.client().values(List.of(KEY)).values().get(KEY));
    }

    @Test
    void acknowledgedCommandsSurviveLeaderLossAndRestarts() throws Exception {
        Incarnation as = cluster.join();
        assertTrue(cluster.report(as, 1, FIRST, 0, need(0, 0)).leaseDuration() > 0);
        List<Change> eight = List.of(VoterCluster.cap("t", -1, 8));
        RevisionRoot revision =
                new RevisionRoot(new RevisionId(1), Table.EMPTY.apply(eight).root());
        assertEquals(done(1), cluster.publish("c1", 0, eight));
        assertEquals(revision, cluster.report(as, 2, FIRST, 0, need(0, 0)).proposed());
        assertEquals(revision, cluster.report(as, 3, FIRST, 1, need(0, 0)).inForce());
        assertEquals(3, granted(cluster.report(as, 4, revision, 1, need(0, 3))));
        String first = cluster.leader();
        cluster.stopVoter(first);
        assertEquals(3, granted(cluster.report(as, 5, revision, 1, need(3, 3))), "under the next leader");
        refused(Fault.LostRace.class, cluster.publish("late", 0, List.of(VoterCluster.cap("t", -1, 9))));
        assertEquals(done(1), cluster.publish("c1", 0, eight), "the same command, sent again to another leader");
        assertEquals(
                Table.EMPTY.apply(eight),
                cluster.client().table(Table.EMPTY, revision),
                "fetched from the remaining voters");
        cluster.startVoter(first);
        for (String other : cluster.addresses().keySet()) {
            if (!other.equals(first)) {
                cluster.stopVoter(other);
                cluster.startVoter(other);
            }
        }
        FleetAudit audit = cluster.client().audit();
        assertEquals(new RevisionId(1), audit.inForce(), "after all voters restarted");
        assertEquals(VoterCluster.SERVER, audit.servers().get(0).server());
        assertEquals(revision.root(), audit.servers().get(0).digest());
        assertEquals(1, audit.capped());
        assertEquals(8, audit.caps().get(0).cap());
        assertEquals(1, audit.toJson().get("in_force").longValue());
        assertEquals("s", audit.toJson().get("servers").get(0).get("server").textValue());
        assertEquals(
                "CAP t",
                audit.toJson()
                        .get("revisions")
                        .get(0)
                        .get("changes")
                        .get(0)
                        .get("keys")
                        .get(0)
                        .get("key")
                        .textValue());
    }

    private static int granted(Answer.ReportAccepted told) {
        return told.grants().get(TENANT).granted();
    }

    @Test
    void nothingIsAcknowledgedWithoutAMajorityOrForAnotherFleet() throws Exception {
        try (RatisFleetClient strange = new RatisFleetClient("g", cluster.addresses(), 1_000)) {
            assertInstanceOf(
                    Fault.Stranger.class,
                    assertThrows(FleetException.class, strange::audit).fault());
        }
        assertInstanceOf(
                Fault.NameTaken.class,
                assertThrows(FleetException.class, () -> cluster.startVoter("v1", dir.resolve("other")))
                        .fault(),
                "its address is in use");
        cluster.stopVoter("v1");
        cluster.stopVoter("v2");
        try (RatisFleetClient withoutMajority = new RatisFleetClient(VoterCluster.FLEET, cluster.addresses(), 1_500)) {
            FleetException e = assertThrows(FleetException.class, withoutMajority::audit);
            assertEquals(10, e.fault().exitCode());
            Command rollback = new Command.Rollback(
                    new OperatorCommandId("c"), RevisionId.NONE, new RevisionId(1), "ann", "", false);
            assertEquals(
                    "c",
                    refused(Fault.OutcomeUnknown.class, withoutMajority.request(rollback))
                            .command());
        }
        cluster.startVoter("v1");
        assertEquals(RevisionId.NONE, cluster.client().audit().inForce());
    }

    /** Many clients send the same command at once, as a client without an answer retries; it makes one revision. */
    @Test
    void aCommandSentSeveralTimesIsAppliedOnce() {
        List<Change> eight = List.of(VoterCluster.cap("t", -1, 8));
        List<CompletableFuture<Answer>> answers = IntStream.range(0, RETRIES)
                .mapToObj(i -> CompletableFuture.supplyAsync(() -> cluster.change("again", eight)))
                .toList();
        answers.forEach(answer -> assertEquals(done(1), answer.join()));
        FleetAudit audit = cluster.client().audit();
        assertEquals(1, audit.revisions().size());
        assertEquals(1, audit.revisions().get(0).changed());
        assertEquals(Optional.of(new Value.Cap(8)), capInForce());
    }

    @Test
    void malformedCommandsAndRequestsAreRejected() throws Exception {
        Message garbage = Message.valueOf("garbage");
        try (RaftClient raw = VoterGroup.client(VoterCluster.FLEET, cluster.addresses(), 2_000)) {
            assertThrows(IOException.class, () -> succeeded(raw.io().send(garbage)));
            assertThrows(IOException.class, () -> succeeded(raw.io().sendReadOnly(garbage)));
        }
        assertEquals(done(1), cluster.publish("c1", 0, List.of(VoterCluster.cap("t", -1, 8))));
    }

    private static void succeeded(RaftClientReply response) throws IOException {
        if (!response.isSuccess()) {
            throw response.getException();
        }
    }

    /** A change waits behind a revision that a server has not reported on yet; it must come into force although the leader stops. */
    @Test
    void aWaitingChangeSurvivesTheLossOfTheLeader() throws Exception {
        Incarnation as = cluster.join();
        cluster.report(as, 1, FIRST, 0, Map.of());
        assertEquals(done(1), cluster.publish("first", 0, List.of(VoterCluster.cap("other", -1, 1))));
        List<Change> eight = List.of(VoterCluster.cap("t", -1, 8));
        assertInstanceOf(Answer.Waiting.class, cluster.change("waits", eight));
        cluster.stopVoter(cluster.leader());
        assertInstanceOf(Answer.Waiting.class, cluster.change("waits", eight), "sent again to the next leader");
        assertEquals(1, cluster.client().audit().waiting().size());
        RevisionRoot revision = cluster.revision(1);
        assertEquals(revision, cluster.report(as, 2, FIRST, 1, Map.of()).inForce());
        assertEquals(
                new RevisionId(2),
                cluster.report(as, 3, revision, 1, Map.of()).proposed().id());
        cluster.report(as, 4, revision, 2, Map.of());
        assertEquals(done(2), cluster.change("waits", eight), "sent a third time");
        assertEquals(Optional.of(new Value.Cap(8)), capInForce());
        assertEquals(0, cluster.client().audit().waiting().size());
    }

    /** A voter writes a snapshot when it closes. First the newer of two snapshots is damaged, then both. */
    @Test
    void aVoterFallsBackToAnEarlierSnapshotAndFailsWithoutAny() throws Exception {
        cluster.publish("c1", 0, List.of(VoterCluster.cap("t", -1, 8)));
        cluster.awaitRevision("v1", cluster.revision(1));
        cluster.stopVoter("v1");
        cluster.startVoter("v1");
        cluster.change("c2", List.of(VoterCluster.cap("t", 8, 9)));
        cluster.awaitRevision("v1", cluster.revision(2));
        cluster.stopVoter("v1");
        List<Path> snapshots = snapshots("v1");
        assertEquals(2, snapshots.size(), snapshots::toString);
        damage(snapshots.get(1));
        cluster.startVoter("v1");
        cluster.stopVoter("v2");
        assertEquals(Optional.of(new Value.Cap(9)), capInForce(), "the log continues from the earlier snapshot");
        cluster.startVoter("v2");
        cluster.stopVoter("v1");
        for (Path snapshot : snapshots("v1")) {
            damage(snapshot);
        }
        assertInstanceOf(
                Fault.LogDamaged.class,
                assertThrows(FleetException.class, () -> cluster.startVoter("v1"))
                        .fault());
    }

    /** Returns the snapshots of a voter, the newest last. */
    private List<Path> snapshots(String voter) throws IOException {
        try (Stream<Path> files = Files.walk(cluster.dir(voter))) {
            return files.filter(file -> file.getFileName().toString().matches("snapshot\\.\\d+_\\d+"))
                    .sorted(Comparator.comparing(Path::toString))
                    .toList();
        }
    }

    private static void damage(Path file) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2]++;
        Files.write(file, bytes);
    }
}
