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
 * Fetches tables: requests the difference from a table that the caller has, or chunks of the table if that one is too far behind.
 * Any source can be used, since all data is verified against the wanted root; the next source is tried if one fails, does not have
 * the root, or sends data that does not hash to it. Chunks already received are retained until a fetch succeeds, so that an
 * interrupted transfer resumes. Not thread-safe.
 */
final class TableFetch {
    /** Maximum number of changes in a difference; more are cheaper to transfer as chunks. */
    static final int MAX_CHANGES = 10_000;

    private static final Logger LOG = LoggerFactory.getLogger(TableFetch.class);

    private final List<TableSource> sources;
    private final String sourceNames;
    private final long timeoutMs;
    private int nextSource;
    private boolean mismatchLogged; // reset by a successful fetch
    private Optional<TableTransfer> transfer = Optional.empty();

    /**
     * @param names the sources as shown in messages
     * @param timeoutMs how long a source is waited for, in ms; shown in messages only
     */
    TableFetch(List<? extends TableSource> sources, String names, long timeoutMs) {
        this.sources = List.copyOf(sources);
        this.sourceNames = names;
        this.timeoutMs = timeoutMs;
        nextSource = ThreadLocalRandom.current().nextInt(sources.size());
    }

    /**
     * Returns the table of a revision.
     *
     * @param have a table that the caller has, {@code EMPTY} for none; returned itself if it has the wanted root
     * @throws FleetException {@link Fault.NoLeader} if no source gave a valid response, {@link Fault.UnknownRoot} if none of those that
     *     responded has the root, {@link Fault.DigestMismatch} if data from one of them does not hash to the root and no other source
     *     had it
     */
    Table fetch(Table have, RevisionRoot wanted) {
        if (have.root().equals(wanted.root())) {
            transfer = Optional.empty();
            return have;
        }
        Table fetched = fetchByDifference(have, wanted).orElseGet(() -> fetchByChunks(have, wanted.root()));
        transfer = Optional.empty();
        mismatchLogged = false;
        return fetched;
    }

    /** Empty if the difference is too large or the source does not know the caller's table. */
    private Optional<Table> fetchByDifference(Table have, RevisionRoot wanted) {
        ReadRequest request = new ReadRequest.Difference(have.root(), wanted, MAX_CHANGES);
        return tryEachSource(request, response -> {
            if (response instanceof ReadResponse.Difference difference) {
                return Optional.of(verified(have.apply(difference.changes()), wanted.root()));
            }
            requireType(ReadResponse.DifferenceTooLarge.class, response);
            return Optional.empty();
        });
    }

    private static Table verified(Table table, Digest wanted) {
        if (!table.root().equals(wanted)) {
            throw new Fault.DigestMismatch(wanted.value(), table.root().value()).toException();
        }
        return table;
    }

    private Table fetchByChunks(Table have, Digest wanted) {
        TableTransfer chunks =
                transfer.map(earlier -> earlier.retarget(wanted)).orElseGet(() -> new TableTransfer(have, wanted));
        transfer = Optional.of(chunks);
        Optional<Path> path = chunks.nextPath();
        while (path.isPresent()) {
            fetchChunk(chunks, wanted, path.get());
            path = chunks.nextPath();
        }
        return chunks.table();
    }

    private void fetchChunk(TableTransfer chunks, Digest wanted, Path path) {
        tryEachSource(new ReadRequest.Chunk(wanted, path), response -> {
            chunks.accept(path, requireType(ReadResponse.Chunk.class, response).bytes());
            return path;
        });
    }

    /** Uses a response; throws if it is unusable. */
    private interface ResponseHandler<T> {
        T handle(ReadResponse response) throws IOException;
    }

    /** Tries each source in turn, starting with the one that responded last, until one gives a usable response. */
    private <T> T tryEachSource(ReadRequest request, ResponseHandler<T> use) {
        Optional<Fault> worstFault = Optional.empty();
        for (int tried = 0; tried < sources.size(); tried++) {
            try {
                ReadResponse response = sources.get(nextSource).read(request);
                if (!(response instanceof ReadResponse.UnknownRoot)) {
                    return use.handle(response);
                }
                worstFault = worstFault.or(() -> Optional.of(new Fault.UnknownRoot(requestedRoot(request))));
            } catch (FleetException e) {
                logMismatch(e.fault());
                worstFault = Optional.of(e.fault());
            } catch (IOException e) {
                LOG.debug("no response from a voter", e);
            }
            nextSource = (nextSource + 1) % sources.size();
        }
        throw worstFault.orElse(new Fault.NoLeader(sourceNames, timeoutMs)).toException();
    }

    private void logMismatch(Fault fault) {
        if (!mismatchLogged) {
            mismatchLogged = true;
            LOG.warn("{}; {}", fault.description(), fault.advice());
        }
    }

    private static String requestedRoot(ReadRequest request) {
        if (request instanceof ReadRequest.Difference difference) {
            return difference.to().root().value();
        }
        return ((ReadRequest.Chunk) request).root().value();
    }

    private static <T extends ReadResponse> T requireType(Class<T> type, ReadResponse response)
            throws MalformedMessageException {
        if (!type.isInstance(response)) {
            throw new MalformedMessageException(
                    response.getClass().getSimpleName() + " is not a response to this request");
        }
        return type.cast(response);
    }
}
