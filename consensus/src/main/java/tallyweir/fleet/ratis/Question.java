package tallyweir.fleet.ratis;

import java.util.List;
import tallyweir.fleet.Digest;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Path;

/** What a voter is asked without changing anything. Each has a {@link Reply}. */
sealed interface Question {
    /** All that the replicated state knows of revisions, servers and caps; asked of the leader. */
    record Audit() implements Question {}

    /** What entries say in the revision in force; asked of the leader. */
    record Values(List<Key> keys) implements Question {}

    /**
     * The changes from one table to another; any voter may be asked.
     *
     * @param from the root of the table that the asker has
     * @param to the revision that it wants and the root of its table
     * @param most changes worth having
     */
    record Difference(Digest from, RevisionRoot to, int most) implements Question {}

    /** A piece of the table with that root; any voter may be asked. */
    record Piece(Digest root, Path path) implements Question {}
}
