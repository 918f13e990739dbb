package tallyweir.backend;

import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Table;

/** A revision and everything that this server needs to use it. Switching to it only replaces references. */
record PreparedRevision(RevisionRoot revision, Routes routes, ServerEntries entries) {
    Table table() {
        return routes.table();
    }
}
