package tallyweir.fleet.ratis;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import tallyweir.fleet.Digest;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;

/** Replies to questions about tables, which do not change. */
final class TableReplies {
    private final Function<Digest, Optional<Table>> tables;

    /** @param tables finds a table by its root */
    TableReplies(Function<Digest, Optional<Table>> tables) {
        this.tables = tables;
    }

    /** The reply to a question about a difference or a piece. */
    Reply reply(Question question) {
        if (question instanceof Question.Difference difference) {
            return difference(difference);
        }
        if (question instanceof Question.Piece piece) {
            return piece(piece);
        }
        throw new IllegalArgumentException("no question about a table: " + question);
    }

    private Reply difference(Question.Difference question) {
        Optional<Table> from = tables.apply(question.from());
        Optional<Table> to = tables.apply(question.to().root());
        if (to.isEmpty()) {
            return new Reply.UnknownRoot();
        }
        Optional<List<Change>> changes = from.flatMap(table -> table.differenceTo(to.get(), question.most()));
        return changes.<Reply>map(Reply.Difference::new).orElseGet(Reply.TooFar::new);
    }

    private Reply piece(Question.Piece question) {
        Optional<Table> table = tables.apply(question.root());
        if (table.isEmpty()) {
            return new Reply.UnknownRoot();
        }
        try {
            return new Reply.Piece(table.get().piece(question.path()));
        } catch (FleetException e) { // the table has no such path
            return new Reply.UnknownRoot();
        }
    }
}
