package tallyweir.fleet.ratis;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/**
 * What a fetch is without {@link tallyweir.fleet.Guard#ROOT}: the first half of a difference is used while the second is on its
 * way, and nothing is held against the root. Only for checks that show what the guard is for.
 */
final class UncheckedFetch {
    private static final long HALF_MS = 500;

    private final TableSource source;

    UncheckedFetch(TableSource source) {
        this.source = source;
    }

    /** Hands over a table that is a mix of two revisions, and after a while the whole one. */
    void fetch(Table have, RevisionRoot wanted, Consumer<Table> to) throws IOException, InterruptedException {
        Reply reply = source.ask(new Question.Difference(have.root(), wanted, Integer.MAX_VALUE));
        if (!(reply instanceof Reply.Difference difference)) {
            throw new IOException("no difference but " + reply.getClass().getSimpleName());
        }
        List<Change> changes = difference.changes();
        to.accept(have.apply(changes.subList(0, changes.size() / 2)));
        TimeUnit.MILLISECONDS.sleep(HALF_MS);
        to.accept(have.apply(changes));
    }
}
