package tallyweir.fleet.ratis;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Path;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.TableTransfer;

/**
 * Fetches tables: asks for the difference to a table that is there, and for pieces where that is too far behind. Any source will
 * do, since all that comes is held against the root that is wanted; where one fails, has not the root, or sends what does not
 * hash to it, the next is asked. Pieces that have been had are kept until a fetch succeeds. Not for several threads at once.
 */
final class TableFetch {
    /** Changes that are worth having as a difference; more are cheaper as pieces. */
    static final int CHANGES_MOST = 10_000;

    private static final Logger LOG = LoggerFactory.getLogger(TableFetch.class);

    private final List<TableSource> sources;
    private final String names;
    private final long giveUpMs;
    private int next;
    private boolean mismatchLogged;
    private Optional<TableTransfer> transfer = Optional.empty();

    /**
     * @param names of the sources, for messages
     * @param giveUpMs how long a source is waited for, for messages
     */
    TableFetch(List<? extends TableSource> sources, String names, long giveUpMs) {
        this.sources = List.copyOf(sources);
        this.names = names;
        this.giveUpMs = giveUpMs;
        next = ThreadLocalRandom.current().nextInt(sources.size());
    }

    /**
     * The table of a revision.
     *
     * @throws FleetException {@link Fault.NoLeader} if no source replied, {@link Fault.UnknownRoot} if none of those that did has the
     *     root, {@link Fault.DigestMismatch} if what one of them sent does not hash to it and no other had it
     */
    Table fetch(Table have, RevisionRoot wanted) {
        if (have.root().equals(wanted.root())) {
            transfer = Optional.empty();
            return have;
        }
        Table fetched = byDifference(have, wanted).orElseGet(() -> byPieces(have, wanted.root()));
        transfer = Optional.empty();
        return fetched;
    }

    /** Empty where the difference is too large, or the table that is there is not known. */
    private Optional<Table> byDifference(Table have, RevisionRoot wanted) {
        Question question = new Question.Difference(have.root(), wanted, CHANGES_MOST);
        return anySource(question, reply -> {
            if (reply instanceof Reply.Difference difference) {
                return Optional.of(verified(have.apply(difference.changes()), wanted.root()));
            }
            expect(Reply.TooFar.class, reply);
            return Optional.empty();
        });
    }

    private static Table verified(Table table, Digest wanted) {
        if (!table.root().equals(wanted)) {
            throw new Fault.DigestMismatch(wanted.value(), table.root().value()).thrown();
        }
        return table;
    }

    private Table byPieces(Table have, Digest wanted) {
        TableTransfer pieces =
                transfer.map(earlier -> earlier.towards(wanted)).orElseGet(() -> new TableTransfer(have, wanted));
        transfer = Optional.of(pieces);
        Optional<Path> path = pieces.next();
        while (path.isPresent()) {
            take(pieces, wanted, path.get());
            path = pieces.next();
        }
        return pieces.table();
    }

    private void take(TableTransfer pieces, Digest wanted, Path path) {
        anySource(new Question.Piece(wanted, path), reply -> {
            pieces.take(path, expect(Reply.Piece.class, reply).bytes());
            return path;
        });
    }

    /** Uses a reply, or throws why it is of no use. */
    private interface ReplyUse<T> {
        T use(Reply reply) throws IOException;
    }

    /** Asks one source after the other, beginning with the one that replied last, until a reply is of use. */
    private <T> T anySource(Question question, ReplyUse<T> use) {
        Optional<Fault> worst = Optional.empty();
        for (int tried = 0; tried < sources.size(); tried++) {
            try {
                Reply reply = sources.get(next).ask(question);
                if (!(reply instanceof Reply.UnknownRoot)) {
                    return use.use(reply);
                }
                worst = worst.or(() -> Optional.of(new Fault.UnknownRoot(wantedBy(question))));
            } catch (FleetException e) {
                logMismatch(e.fault());
                worst = Optional.of(e.fault());
            } catch (IOException e) {
                LOG.debug("no reply from a voter", e);
            }
            next = (next + 1) % sources.size();
        }
        throw worst.orElse(new Fault.NoLeader(names, giveUpMs)).thrown();
    }

    private void logMismatch(Fault fault) {
        if (!mismatchLogged) {
            mismatchLogged = true;
            LOG.warn("{}; {}", fault.what(), fault.advice());
        }
    }

    private static String wantedBy(Question question) {
        if (question instanceof Question.Difference difference) {
            return difference.to().root().value();
        }
        return ((Question.Piece) question).root().value();
    }

    private static <T extends Reply> T expect(Class<T> type, Reply reply) throws MalformedMessageException {
        if (!type.isInstance(reply)) {
            throw new MalformedMessageException(reply.getClass().getSimpleName() + " is no reply to that question");
        }
        return type.cast(reply);
    }
}
