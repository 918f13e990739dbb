package tallyweir.fleet.ratis;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import tallyweir.fleet.ChangeRecord;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.OperatorCommand;
import tallyweir.fleet.Revision;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.ServerRecord;
import tallyweir.ids.TenantId;

/**
 * What the replicated state knows, for operators. Moments are ms since 1970 by the leader's wall clock.
 *
 * @param version of the settings, 0 before the fleet is founded
 * @param revisions the latest, at most {@link #REVISIONS_MOST}, in order
 * @param waiting changes that wait until the revision that is open has been decided
 * @param refused changes that were turned down after they had waited
 * @param gone servers that had a place
 * @param capped how many tenants have a cap
 * @param caps of the first of them by name, at most {@link #CAPS_MOST}
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
    /** Revisions in one audit at the most. */
    public static final int REVISIONS_MOST = 1_000;

    /** Caps in one audit at the most. */
    public static final int CAPS_MOST = 1_000;

    /** Keys of one change in an audit at the most. */
    public static final int KEYS_MOST = 20;

    /** As JSON, with names in lower case and underscores. */
    public JsonNode toJson() {
        return AuditJson.of(this);
    }

    /**
     * One revision.
     *
     * @param of whose table it takes up again, 0 for one of its own
     * @param size entries of its table
     * @param changed entries that differ from the revision that it was proposed on
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
     * What an operator asked for once.
     *
     * @param fault why it was turned down by itself, empty if it was not
     * @param entries how many it names
     * @param keys the first of them
     */
    public record ChangeAudit(
            OperatorCommand command,
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

    /** One entry of a change as text. */
    public record KeyAudit(String key, Optional<String> before, Optional<String> after) {}

    /** A server. */
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
            List<PassageAudit> passages) {}

    /** A server's change from one revision to another. */
    public record PassageAudit(
            Incarnation incarnation, RevisionId from, RevisionId to, double behindMs, long outdated, long atMs) {}

    /**
     * A tenant's cap in the revision in force.
     *
     * @param floor of each place
     * @param lent beyond the floors
     * @param spoken all that may be relied on
     */
    public record CapAudit(TenantId tenant, int cap, int floor, long lent, long spoken) {}
}
