package tallyweir.fleet.ratis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Path;
import tallyweir.fleet.table.Table;

/** Fetches from sources that fail, lag behind or send wrong data. */
class TableFetchTest {
    private static final int MANY = 40_000;
    private static final Table BASE = Table.EMPTY.apply(VoterCluster.caps(MANY, -1, 1));
    private static final Table NEAR = BASE.apply(VoterCluster.caps(10, 1, 2));
    private static final Table FAR = BASE.apply(VoterCluster.caps(MANY, 1, 3));

    /** Answers like a voter that has these tables. */
    private static final class TestSource implements TableSource {
        private final List<Table> tables;
        private final List<ReadRequest> requests = new ArrayList<>();
        private Function<ReadResponse, ReadResponse> tamper = Function.identity();
        private int responsesLeft = Integer.MAX_VALUE;

        TestSource(Table... tables) {
            this.tables = List.of(tables);
        }

        @Override
        public ReadResponse read(ReadRequest request) throws IOException {
            requests.add(request);
            if (responsesLeft == 0) {
                throw new IOException("cut");
            }
            responsesLeft--;
            return tamper.apply(response(request));
        }

        private ReadResponse response(ReadRequest request) {
            if (request instanceof ReadRequest.Difference difference) {
                Optional<Table> to = table(difference.to().root());
                if (to.isEmpty()) {
                    return new ReadResponse.UnknownRoot();
                }
                return table(difference.from())
                        .flatMap(from -> from.differenceTo(to.get(), difference.maxChanges()))
                        .<ReadResponse>map(ReadResponse.Difference::new)
                        .orElseGet(ReadResponse.DifferenceTooLarge::new);
            }
            ReadRequest.Chunk chunk = (ReadRequest.Chunk) request;
            return table(chunk.root())
                    .<ReadResponse>map(table -> new ReadResponse.Chunk(table.chunk(chunk.path())))
                    .orElseGet(ReadResponse.UnknownRoot::new);
        }

        private Optional<Table> table(Digest root) {
            return tables.stream().filter(table -> table.root().equals(root)).findFirst();
        }

        private List<Path> requestedChunks() {
            return requests.stream()
                    .filter(ReadRequest.Chunk.class::isInstance)
                    .map(request -> ((ReadRequest.Chunk) request).path())
                    .toList();
        }
    }

    private static TableFetch fetchFrom(TestSource... sources) {
        return new TableFetch(List.of(sources), "test", 1);
    }

    private static RevisionRoot wanted(Table table) {
        return new RevisionRoot(new RevisionId(1), table.root());
    }

    private static Fault failure(TableFetch fetch, Table have, Table wanted) {
        return assertThrows(FleetException.class, () -> fetch.fetch(have, wanted(wanted)))
                .fault();
    }

    @Test
    void aNearTableIsFetchedAsOneDifference() {
        TestSource source = new TestSource(BASE, NEAR);
        assertEquals(NEAR, fetchFrom(source).fetch(BASE, wanted(NEAR)));
        assertEquals(1, source.requests.size());
    }

    @Test
    void aTableAtHandIsNotRequested() {
        TestSource source = new TestSource(BASE);
        assertSame(BASE, fetchFrom(source).fetch(BASE, wanted(BASE)));
        assertEquals(0, source.requests.size());
    }

    @Test
    void aFarTableIsFetchedInChunksEachOnce() {
        TestSource source = new TestSource(Table.EMPTY, FAR);
        assertEquals(FAR, fetchFrom(source).fetch(Table.EMPTY, wanted(FAR)));
        List<Path> chunks = source.requestedChunks();
        assertTrue(chunks.size() > 10, chunks::toString);
        assertEquals(chunks.size(), new HashSet<>(chunks).size(), "each chunk once");
    }

    @Test
    void fetchingWorksFromATableUnknownToTheSource() {
        Table own = Table.EMPTY.apply(VoterCluster.caps(5, -1, 7));
        assertEquals(NEAR, fetchFrom(new TestSource(BASE, NEAR)).fetch(own, wanted(NEAR)));
    }

    @Test
    void anInterruptedTransferResumes() {
        TestSource source = new TestSource(FAR);
        TableFetch fetch = fetchFrom(source);
        source.responsesLeft = 8; // the difference and seven chunks
        assertInstanceOf(Fault.NoLeader.class, failure(fetch, Table.EMPTY, FAR));
        List<Path> before = source.requestedChunks().subList(0, 7);
        source.requests.clear();
        source.responsesLeft = Integer.MAX_VALUE;
        assertEquals(FAR, fetch.fetch(Table.EMPTY, wanted(FAR)));
        List<Path> after = source.requestedChunks();
        assertTrue(after.stream().noneMatch(before::contains), () -> before + " requested again: " + after);
    }

    @Test
    void aTransferOfANewerTableReusesSharedChunks() {
        Table newer = FAR.apply(List.of(VoterCluster.cap("tenant7", 3, 4)));
        TestSource source = new TestSource(FAR, newer);
        TableFetch fetch = fetchFrom(source);
        int total = chunkCount(newer);
        source.responsesLeft = total - 1; // all but the last two chunks
        failure(fetch, Table.EMPTY, FAR);
        source.requests.clear();
        source.responsesLeft = Integer.MAX_VALUE;
        assertEquals(newer, fetch.fetch(Table.EMPTY, wanted(newer)));
        assertTrue(source.requestedChunks().size() <= 6, () -> "of " + total + " chunks: " + source.requestedChunks());
    }

    private static int chunkCount(Table table) {
        TestSource source = new TestSource(table);
        fetchFrom(source).fetch(Table.EMPTY, wanted(table));
        return source.requestedChunks().size();
    }

    @Test
    void theNextSourceIsTriedIfOneFailsOrLags() {
        TestSource silent = new TestSource(FAR);
        silent.responsesLeft = 3;
        TestSource behind = new TestSource(BASE);
        TestSource complete = new TestSource(FAR);
        assertEquals(FAR, fetchFrom(silent, behind, complete).fetch(Table.EMPTY, wanted(FAR)));
        assertInstanceOf(Fault.UnknownRoot.class, failure(fetchFrom(behind), Table.EMPTY, FAR));
    }

    @Test
    void damagedChunksAreRejectedAndNotRetained() {
        TestSource damaged = new TestSource(BASE, FAR);
        damaged.tamper = TableFetchTest::damage;
        TableFetch fetch = fetchFrom(damaged);
        assertInstanceOf(Fault.DigestMismatch.class, failure(fetch, Table.EMPTY, FAR));
        assertInstanceOf(Fault.DigestMismatch.class, failure(fetch, Table.EMPTY, FAR), "and again");
        damaged.tamper = Function.identity();
        assertEquals(FAR, fetch.fetch(Table.EMPTY, wanted(FAR)));
        TestSource other = new TestSource(FAR);
        damaged.tamper = TableFetchTest::damage;
        assertEquals(FAR, fetchFrom(damaged, other).fetch(Table.EMPTY, wanted(FAR)), "the other source is tried");
    }

    private static ReadResponse damage(ReadResponse response) {
        if (response instanceof ReadResponse.Chunk chunk) {
            byte[] bytes = chunk.bytes().clone();
            bytes[bytes.length / 2] ^= 1;
            return new ReadResponse.Chunk(bytes);
        }
        return response;
    }

    @Test
    void aDifferenceToAnotherTableIsRejected() {
        TestSource source = new TestSource(BASE, NEAR);
        source.tamper = response -> new ReadResponse.Difference(
                List.<Change>of(VoterCluster.cap("tenant1", 1, 2), VoterCluster.cap("tenant2", 1, 900)));
        assertInstanceOf(Fault.DigestMismatch.class, failure(fetchFrom(source), BASE, NEAR));
    }

    @Test
    void aResponseOfTheWrongTypeIsRejected() {
        TestSource source = new TestSource(BASE, NEAR);
        source.tamper = response -> new ReadResponse.Chunk(new byte[] {1});
        assertInstanceOf(Fault.NoLeader.class, failure(fetchFrom(source), BASE, NEAR));
    }

    /** Without the guard, a table that mixes both revisions is passed on first. */
    @Test
    void withoutTheGuardAMixedTableIsUsed() throws Exception {
        List<Table> used = new ArrayList<>();
        new UnverifiedFetch(new TestSource(BASE, NEAR)).fetch(BASE, wanted(NEAR), used::add);
        assertEquals(2, used.size());
        assertNotEquals(NEAR, used.get(0));
        assertNotEquals(BASE, used.get(0));
        assertEquals(NEAR, used.get(1));
    }
}
