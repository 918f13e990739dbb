package tallyweir.backend;

import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Table;

/** A revision with all that this server needs to act on it; using it takes no more than exchanging references. */
record PreparedRevision(RevisionRoot revision, Routes routes, ServerEntries entries) {
    Table table() {
        return routes.table();
    }
}
