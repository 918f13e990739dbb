package tallyweir.fleet.ratis;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import tallyweir.fleet.Digest;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** Answers read requests about tables. Tables are immutable, so no lock is held meanwhile. */
final class TableReader {
    private final Function<Digest, Optional<Table>> tables;

    /** @param tables looks up a table by its root */
    TableReader(Function<Digest, Optional<Table>> tables) {
        this.tables = tables;
    }

    /** Answers a request for a difference or a chunk. */
    ReadResponse read(ReadRequest request) {
        if (request instanceof ReadRequest.Difference difference) {
            return difference(difference);
        }
        if (request instanceof ReadRequest.Chunk chunk) {
            return chunk(chunk);
        }
        throw new IllegalArgumentException("not a request about a table: " + request);
    }

    private ReadResponse difference(ReadRequest.Difference request) {
        Optional<Table> from = tables.apply(request.from());
        Optional<Table> to = tables.apply(request.to().root());
        if (to.isEmpty()) {
            return new ReadResponse.UnknownRoot();
        }
        Optional<List<Change>> changes = from.flatMap(table -> table.differenceTo(to.get(), request.maxChanges()));
        return changes.<ReadResponse>map(ReadResponse.Difference::new).orElseGet(ReadResponse.DifferenceTooLarge::new);
    }

    private ReadResponse chunk(ReadRequest.Chunk request) {
        Optional<Table> table = tables.apply(request.root());
        if (table.isEmpty()) {
            return new ReadResponse.UnknownRoot();
        }
        try {
            return new ReadResponse.Chunk(table.get().chunk(request.path()));
        } catch (FleetException e) { // the table has no such path
            return new ReadResponse.UnknownRoot();
        }
    }
}
