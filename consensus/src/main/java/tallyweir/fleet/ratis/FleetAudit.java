package tallyweir.fleet.ratis;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import tallyweir.fleet.ChangeRecord;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.Revision;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.ServerRecord;
import tallyweir.ids.TenantId;

/**
 * The contents of the replicated state, for operators. Instants are ms since 1970 by the leader's wall clock. Component names are
 * shown as JSON in snake case.
 *
 * @param version version of the settings, 0 before the fleet is founded
 * @param revisions the latest revisions in order, at most {@link #MAX_REVISIONS}
 * @param waiting changes that wait until the proposed revision has been decided
 * @param refused changes that were refused after they had waited
 * @param gone former servers, which no longer have a slot
 * @param capped number of tenants with a cap
 * @param caps the caps of the first of them by name, at most {@link #MAX_CAPS}
 */
public record FleetAudit(
        String fleet,
        long version,
        RevisionId inForce,
        RevisionId proposed,
        int live,
        int out,
        List<RevisionAudit> revisions,
        List<ChangeAudit> waiting,
        List<ChangeAudit> refused,
        List<ServerAudit> servers,
        List<ServerAudit> gone,
        int capped,
        List<CapAudit> caps) {
    /** Maximum number of revisions in one audit. */
    public static final int MAX_REVISIONS = 1_000;

    /** Maximum number of caps in one audit. */
    public static final int MAX_CAPS = 1_000;

    /** Maximum number of keys listed for one change. */
    public static final int MAX_KEYS = 20;

    /** Converts the audit to JSON with snake case names. */
    public JsonNode toJson() {
        return AuditJson.of(this);
    }

    /**
     * One revision.
     *
     * @param of the revision whose table a rollback restores, 0 if the table is new
     * @param size number of entries in its table
     * @param changed number of entries that differ from the revision it is based on
     */
    public record RevisionAudit(
            RevisionId revision,
            RevisionId of,
            Digest root,
            int size,
            int changed,
            String by,
            String why,
            Revision.Fate fate,
            long proposedMs,
            long sinceMs,
            String reasons,
            List<ChangeAudit> changes) {}

    /**
     * One request of an operator.
     *
     * @param fault why this request itself was refused, empty if it was not
     * @param entries number of entries that it changes
     * @param keys the first of them, at most {@link #MAX_KEYS}
     */
    public record ChangeAudit(
            OperatorCommandId command,
            ChangeRecord.Kind kind,
            String by,
            String why,
            boolean force,
            long atMs,
            ChangeRecord.Outcome outcome,
            RevisionId revision,
            String fault,
            int entries,
            List<KeyAudit> keys) {}

    /** One changed entry as text: its key, and its value before and after, empty if it does not exist. */
    public record KeyAudit(String key, Optional<String> before, Optional<String> after) {}

    /** A server and its latest transitions between revisions. */
    public record ServerAudit(
            ServerId server,
            String listen,
            Incarnation incarnation,
            ServerRecord.Status standing,
            boolean silent,
            boolean marked,
            boolean odd,
            String cause,
            RevisionId acting,
            Digest digest,
            long heardMs,
            long outMs,
            long outdated,
            int folded,
            List<TransitionAudit> passages) {}

    /** A server's transition from one revision to another. */
    public record TransitionAudit(
            Incarnation incarnation, RevisionId from, RevisionId to, double behindMs, long outdated, long atMs) {}

    /**
     * A tenant's cap in the revision in force.
     * @param floor share of each slot
     * @param lent sum of the loans beyond the floors
     * @param spoken total that servers may rely on
     */
    public record CapAudit(TenantId tenant, int cap, int floor, long lent, long spoken) {}
}
