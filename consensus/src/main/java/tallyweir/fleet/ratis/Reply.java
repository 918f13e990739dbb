package tallyweir.fleet.ratis;

import java.util.List;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Entry;

/** What a voter replies to a {@link Question}. */
sealed interface Reply {
    /** To {@link Question.Audit}. */
    record Audit(FleetAudit audit) implements Reply {}

    /** To {@link Question.Values}: those of the entries that there are, and the revision in force. */
    record Values(RevisionRoot revision, List<Entry> entries) implements Reply {}

    /** To {@link Question.Difference}. */
    record Difference(List<Change> changes) implements Reply {}

    /** To {@link Question.Difference}: there are more changes than are worth having, or the first table is not known. */
    record TooFar() implements Reply {}

    /** To {@link Question.Piece}. */
    record Piece(byte[] bytes) implements Reply {}

    /** This voter has no table with the root that is wanted; another may have it. */
    record UnknownRoot() implements Reply {}
}
