package tallyweir.tool;

import tallyweir.fleet.Fault;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ratis.FleetAudit;

/** Finds things in an audit. */
final class AuditReader {
    private AuditReader() {}

    /** What the audit says of a revision. */
    static FleetAudit.RevisionAudit revision(FleetAudit audit, RevisionId id) {
        return audit.revisions().stream()
                .filter(revision -> revision.revision().equals(id))
                .findFirst()
                .orElseThrow(() ->
                        new Fault.NoSuchRevision(id.value(), audit.inForce().value()).toException());
    }

    /** A revision with the root of its table. */
    static RevisionRoot root(FleetAudit audit, RevisionId id) {
        return id.equals(RevisionId.NONE)
                ? RevisionRoot.NONE
                : new RevisionRoot(id, revision(audit, id).root());
    }
}
