package tallyweir.tool;

import com.fasterxml.jackson.databind.JsonNode;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.RevisionRoot;

/** Finds things in an audit. */
final class AuditReader {
    private AuditReader() {}

    /** The revision in force. */
    static RevisionId inForce(JsonNode audit) {
        return new RevisionId(audit.get("in_force").longValue());
    }

    /** What the audit says of a revision. */
    static JsonNode revision(JsonNode audit, long id) {
        for (JsonNode revision : audit.get("revisions")) {
            if (revision.get("revision").longValue() == id) {
                return revision;
            }
        }
        throw new Fault.NoSuchRevision(id, inForce(audit).value()).thrown();
    }

    /** A revision with the root of its table. */
    static RevisionRoot root(JsonNode audit, RevisionId id) {
        if (id.equals(RevisionId.NONE)) {
            return RevisionRoot.NONE;
        }
        JsonNode revision = revision(audit, id.value());
        return new RevisionRoot(id, new Digest(revision.get("root").textValue()));
    }
}
