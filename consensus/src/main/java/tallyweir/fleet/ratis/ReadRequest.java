package tallyweir.fleet.ratis;

import java.util.List;
import tallyweir.fleet.Digest;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Path;

/** A read-only request to a voter. Each kind has its {@link ReadResponse}. */
sealed interface ReadRequest {
    /** Reads all that the replicated state knows about revisions, servers and caps; sent to the leader. */
    record Audit() implements ReadRequest {}

    /** Reads the values of entries in the revision in force; sent to the leader. */
    record Values(List<Key> keys) implements ReadRequest {}

    /**
     * Reads the changes from one table to another; sent to any voter.
     *
     * @param from root of the table that the requester has
     * @param to the wanted revision and the root of its table
     * @param maxChanges maximum number of changes to return
     */
    record Difference(Digest from, RevisionRoot to, int maxChanges) implements ReadRequest {}

    /** Reads one chunk of the table with the given root; sent to any voter. */
    record Chunk(Digest root, Path path) implements ReadRequest {}
}
