package tallyweir.fleet.ratis;

import java.util.List;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Entry;

/** A voter's response to a {@link ReadRequest}. */
sealed interface ReadResponse {
    /** Response to {@link ReadRequest.Audit}. */
    record Audit(FleetAudit audit) implements ReadResponse {}

    /** Response to {@link ReadRequest.Values}: the requested entries that exist, and the revision in force that they are read from. */
    record Values(RevisionRoot revision, List<Entry> entries) implements ReadResponse {}

    /** Response to {@link ReadRequest.Difference}. */
    record Difference(List<Change> changes) implements ReadResponse {}

    /** Response to {@link ReadRequest.Difference} if there are more changes than the maximum, or the table to start from is unknown. */
    record DifferenceTooLarge() implements ReadResponse {}

    /** Response to a request for a chunk. */
    record Chunk(byte[] bytes) implements ReadResponse {}

    /** This voter has no table with the requested root, or the table has no such path; another voter may have it. */
    record UnknownRoot() implements ReadResponse {}
}
