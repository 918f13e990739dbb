package tallyweir.fleet.ratis;

import java.util.List;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Entry;

/** A voter's response to a {@link Question}. */
sealed interface Reply {
    /** Response to {@link Question.Audit}. */
    record Audit(FleetAudit audit) implements Reply {}

    /** Response to {@link Question.Values}: the requested entries that exist, and the revision in force that they are read from. */
    record Values(RevisionRoot revision, List<Entry> entries) implements Reply {}

    /** Response to {@link Question.Difference}. */
    record Difference(List<Change> changes) implements Reply {}

    /** Response to {@link Question.Difference} if there are more changes than the maximum, or the table to start from is unknown. */
    record DifferenceTooLarge() implements Reply {}

    /** Response to a request for a chunk. */
    record Chunk(byte[] bytes) implements Reply {}

    /** This voter has no table with the requested root, or the table has no such path; another voter may have it. */
    record UnknownRoot() implements Reply {}
}
