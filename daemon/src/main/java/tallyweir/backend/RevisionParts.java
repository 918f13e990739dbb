package tallyweir.backend;

import tallyweir.fleet.Digest;
import tallyweir.fleet.Gate;

/**
 * The parts of this server that depend on the revision in use. All are replaced together, between two rounds of the deciding
 * thread.
 */
final class RevisionParts {
    private final Queries queries;
    private final Links links;
    private final Gate gate;
    private ServerEntries entries = ServerEntries.NONE;

    RevisionParts(Queries queries, Links links, Gate gate) {
        this.queries = queries;
        this.links = links;
        this.gate = gate;
    }

    /** Switches every part to a revision. */
    void apply(PreparedRevision next) {
        queries.setRoutes(next.routes());
        gate.caps(new TableCaps(next.table()));
        boolean addressesChanged = !next.entries().sameAddresses(entries);
        entries = next.entries();
        if (addressesChanged) {
            links.setPeerAddresses(entries.kernel(), entries.announce());
        }
    }

    /** Whether the revision in use withdraws this server. */
    boolean isWithdrawn() {
        return entries.withdrawn();
    }

    /** The root of the table that all parts were built from; if they differ in that, a digest that no table has. */
    Digest digest() {
        Digest ofRoutes = queries.routes().table().root();
        Digest ofCaps = gate.caps() instanceof TableCaps caps ? caps.table().root() : Digest.NONE;
        Digest ofEntries = entries.table().root();
        boolean sameTable = ofRoutes.equals(ofCaps) && ofRoutes.equals(ofEntries);
        return sameTable
                ? ofRoutes
                : Digest.of("mixed " + ofRoutes.value() + " " + ofCaps.value() + " " + ofEntries.value());
    }
}
