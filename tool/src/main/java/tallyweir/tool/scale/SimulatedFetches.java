package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ratis.EncodedMessages;
import tallyweir.fleet.table.Table;

/**
 * Fetches of tables by the servers of a simulated fleet. Between the same two tables the messages are the same at every server, so
 * the first few fetches are done and measured, and the others are told the median of these and share the table, without which
 * thousands of servers would not fit into one process.
 */
final class SimulatedFetches {
    private static final int DONE = 9;
    private static final int KEPT = 64;

    private record Way(Digest from, Digest to) {}

    /**
     * What a fetch came to.
     *
     * @param table empty where it failed
     * @param fault why, empty where it did not
     * @param serverNanoseconds that the server worked, the median of those that were done
     * @param voterNanoseconds that voters worked, so
     */
    record Fetched(
            Optional<Table> table,
            Optional<Fault> fault,
            long messages,
            long bytes,
            long serverNanoseconds,
            long voterNanoseconds) {}

    /** What fetches between two tables have come to so far. */
    private static final class Counted {
        private Table table;
        private long messages; // of the last
        private long bytes; // of the last
        private final List<Long> serverNanoseconds = new ArrayList<>();
        private final List<Long> voterNanoseconds = new ArrayList<>();

        private Fetched median() {
            return new Fetched(
                    Optional.of(table),
                    Optional.empty(),
                    messages,
                    bytes,
                    median(serverNanoseconds),
                    median(voterNanoseconds));
        }

        private static long median(List<Long> of) {
            List<Long> sorted = new ArrayList<>(of);
            Collections.sort(sorted);
            return sorted.get(sorted.size() / 2);
        }
    }

    private final EncodedMessages messages;
    private final VoterUnderTest voter;
    private final Map<Way, Counted> counted = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Way, Counted> eldest) {
            return size() > KEPT;
        }
    };

    SimulatedFetches(EncodedMessages messages, VoterUnderTest voter) {
        this.messages = messages;
        this.voter = voter;
    }

    /** Fetches a table. */
    Fetched fetch(Table have, RevisionRoot wanted) {
        Way way = new Way(have.root(), wanted.root());
        Counted so = counted.get(way);
        if (so != null && so.serverNanoseconds.size() >= DONE) {
            return so.median();
        }
        Counted more = so == null ? new Counted() : so;
        try {
            done(more, have, wanted);
        } catch (FleetException e) {
            return new Fetched(Optional.empty(), Optional.of(e.fault()), 0, 0, 0, 0);
        }
        counted.put(way, more);
        return more.median();
    }

    private void done(Counted so, Table have, RevisionRoot wanted) {
        long[] voterNanoseconds = new long[1];
        so.messages = 0;
        so.bytes = 0;
        long began = System.nanoTime();
        Table table = messages.fetch(have, wanted, question -> {
            long asked = System.nanoTime();
            byte[] reply = voter.read(question);
            voterNanoseconds[0] += System.nanoTime() - asked;
            so.messages += 2;
            so.bytes += question.length + reply.length;
            return reply;
        });
        so.serverNanoseconds.add(System.nanoTime() - began - voterNanoseconds[0]);
        so.voterNanoseconds.add(voterNanoseconds[0]);
        so.table = so.table == null ? table : so.table;
    }
}
