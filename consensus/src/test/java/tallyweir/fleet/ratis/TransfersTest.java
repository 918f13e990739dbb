package tallyweir.fleet.ratis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.fleet.Fault;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** Tables fetched from voters, one of which stops during the transfer. */
class TransfersTest {
    // Set larger sizes with -Dtransfer.caps=400000.
    private static final int MANY = Integer.getInteger("transfer.caps", 20_000);
    private static final List<Change> FIRST = VoterCluster.caps(MANY, -1, 1);
    private static final List<Change> SECOND = VoterCluster.caps(3, 1, 2);

    @TempDir
    private Path dir;

    private VoterCluster cluster;

    @BeforeEach
    void start() throws IOException {
        cluster = new VoterCluster(dir);
        cluster.publish("first", 0, FIRST);
        cluster.publish("second", 1, SECOND);
    }

    @AfterEach
    void stop() {
        cluster.close();
    }

    private Object fetch(Table have, RevisionRoot wanted) throws Exception {
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        cluster.client().fetch(have, wanted, Runnable::run, outcome::complete, outcome::complete);
        return outcome.get(VoterCluster.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    @Test
    void completeTablesAndDifferencesAreFetchedFromVoters() throws Exception {
        Table first = Table.EMPTY.apply(FIRST);
        Table second = first.apply(SECOND);
        assertEquals(first, fetch(Table.EMPTY, cluster.revision(1)));
        assertEquals(second, fetch(first, cluster.revision(2)));
        assertEquals(second, cluster.client().table(Table.EMPTY, cluster.revision(2)));
        RevisionRoot never = new RevisionRoot(
                cluster.revision(2).id(),
                first.apply(VoterCluster.caps(1, 1, 9)).root());
        assertInstanceOf(Fault.UnknownRoot.class, fetch(first, never));
        cluster.stopVoter("v1");
        cluster.stopVoter("v2");
        assertEquals(second, fetch(first, new RevisionRoot(never.id(), second.root())), "without a leader");
        cluster.stopVoter("v3");
        assertInstanceOf(Fault.NoLeader.class, fetch(first, new RevisionRoot(never.id(), second.root())));
    }

    @Test
    void anotherVoterIsUsedIfOneStopsBetweenTwoChunks() throws Exception {
        RevisionRoot wanted = cluster.revision(1);
        List<ReadRequest> answeredRequests = new ArrayList<>();
        List<String> answeringVoters = new ArrayList<>();
        try (VoterConnection connection = new VoterConnection(VoterCluster.FLEET, cluster.addresses(), 1_000)) {
            List<TableSource> sources = connection.voterNames().stream()
                    .<TableSource>map(voter -> request -> {
                        ReadResponse response = connection.readFromVoter(voter, request);
                        answeredRequests.add(request);
                        answeringVoters.add(voter);
                        if (answeredRequests.size() == 5) {
                            cluster.stopVoter(voter);
                        }
                        return response;
                    })
                    .toList();
            Table fetched = new TableFetch(sources, "test", 1_000).fetch(Table.EMPTY, wanted);
            assertEquals(Table.EMPTY.apply(FIRST), fetched);
        }
        assertTrue(answeredRequests.size() > 5, "chunks after the first voter stopped");
        assertEquals(answeredRequests.size(), new HashSet<>(answeredRequests).size(), "nothing is fetched twice");
        assertEquals(2, new HashSet<>(answeringVoters).size(), answeringVoters::toString);
    }
}
