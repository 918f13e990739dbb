package tallyweir.fleet;

import java.util.List;
import java.util.Map;
import tallyweir.fleet.table.Change;
import tallyweir.ids.TenantId;

/**
 * An entry of the replicated log. Each is applied to the {@link State} of every voter and produces one {@link Answer}.
 */
public sealed interface Command {
    /** Advances the clock and does nothing else. */
    record Tick() implements Command {}

    /** Creates the fleet, or gives it settings of a higher version. */
    record CreateFleet(String fleet, FleetSettings settings) implements Command {}

    /**
     * A server asks for a slot.
     *
     * @param listenAddress the address that the server listens at
     * @param processNumber number of the server's process, higher for each later process
     */
    record Join(String fleet, ServerId server, String listenAddress, long processNumber) implements Command {}

    /**
     * A server reports which revision it acts on and what it needs. A report counts only if it names the server's current
     * incarnation.
     *
     * @param incarnation the incarnation that the server believes to have
     * @param reportNumber sequence number of the server's reports; a report that repeats a number changes nothing
     * @param actingRevision the revision that the server acts on
     * @param tableDigest digest of the table in use there, computed from its entries
     * @param outdatedQueries queries that began under the previous revision after this one came into force, as far as the server knows
     * @param checkedRevision the revision that the server validated last, NONE if it has validated none
     * @param rejectReason why it cannot act on that revision, empty if it can
     * @param endedQueries number of queries that have ended since the server's process started
     * @param badQueries number of those that were late or errored
     * @param needs the server's need of connections by tenant, beyond its floors
     */
    record Report(
            ServerId server,
            Incarnation incarnation,
            long reportNumber,
            RevisionId actingRevision,
            Digest tableDigest,
            long outdatedQueries,
            RevisionId checkedRevision,
            String rejectReason,
            long endedQueries,
            long badQueries,
            Map<TenantId, Need> needs)
            implements Command {}

    /** A server has answered all its queries and shuts down. */
    record Leave(ServerId server, Incarnation incarnation) implements Command {}

    /**
     * An operator proposes a whole revision, given as its difference from the expected one.
     *
     * @param expected the latest revision, in force or proposed, that the operator saw; if it is not the latest any more, the
     *     command is rejected
     */
    record Publish(
            OperatorCommandId command,
            RevisionId expected,
            List<Change> changes,
            String author,
            String reason,
            boolean force)
            implements Command {}

    /**
     * An operator changes some entries, each on condition that its current value is the change's {@code before} value.
     */
    record ChangeEntries(OperatorCommandId command, List<Change> changes, String author, String reason, boolean force)
            implements Command {}

    /** An operator rolls back to an earlier revision: proposes a new one with the same table. */
    record Rollback(
            OperatorCommandId command,
            RevisionId expected,
            RevisionId target,
            String author,
            String reason,
            boolean force)
            implements Command {}
}
