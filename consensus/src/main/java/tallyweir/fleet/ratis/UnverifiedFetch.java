package tallyweir.fleet.ratis;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/**
 * A fetch without {@link tallyweir.fleet.Guard#ROOT}: the first half of a difference is used before the second half has arrived, and
 * the result is not verified against the root. Used only by tests and drills that show which failure the guard prevents.
 */
final class UnverifiedFetch {
    private static final long DELAY_BETWEEN_HALVES_MS = 500;

    private final TableSource source;

    UnverifiedFetch(TableSource source) {
        this.source = source;
    }

    /** Passes on a table that mixes two revisions, and after a delay the complete one. */
    void fetch(Table have, RevisionRoot wanted, Consumer<Table> onTable) throws IOException, InterruptedException {
        ReadResponse response = source.read(new ReadRequest.Difference(have.root(), wanted, Integer.MAX_VALUE));
        if (!(response instanceof ReadResponse.Difference difference)) {
            throw new IOException(
                    "expected a difference, but got " + response.getClass().getSimpleName());
        }
        List<Change> changes = difference.changes();
        onTable.accept(have.apply(changes.subList(0, changes.size() / 2)));
        TimeUnit.MILLISECONDS.sleep(DELAY_BETWEEN_HALVES_MS);
        onTable.accept(have.apply(changes));
    }
}
