package tallyweir.fleet;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.fleet.table.Table;

/**
 * A server's client of its fleet. Only {@link #close} blocks: the work is done on threads of the client, and each outcome is
 * passed to the executor that the caller names.
 */
public interface FleetClient extends AutoCloseable {
    /**
     * Sends a command to the voters.
     *
     * @param executor executor that runs exactly one of the two callbacks, unless the client is closed first
     * @param onAnswer receives the answer
     * @param onFailure runs if no answer came: the command may have been applied or not
     */
    void send(Command command, Executor executor, Consumer<Answer> onAnswer, Runnable onFailure);

    /**
     * Fetches the table of a revision: as the difference from a table that the server has, or in chunks if that table is too
     * far behind. The table passed on hashes to the wanted root. After a failure the same call continues with the chunks
     * already fetched; a call for a newer root continues with the chunks that both tables share. One fetch runs at a time;
     * another call is queued behind it.
     *
     * @param base a table that the server has; EMPTY for none
     * @param wanted the revision and the root of its table
     * @param executor executor that runs exactly one of the two callbacks, unless the client is closed first
     * @param onTable receives the table
     * @param onFailure receives the reason: {@link Fault.DigestMismatch}, {@link Fault.UnknownRoot}, or {@link Fault.NoLeader} if no
     *     voter answered; retrying is up to the caller, and the client delays retries as long as the voters fail
     */
    void fetch(Table base, RevisionRoot wanted, Executor executor, Consumer<Table> onTable, Consumer<Fault> onFailure);

    /**
     * Tells the fleet that a server shuts down in an orderly way. Best effort: if no voter answers, the message is lost
     * silently.
     */
    void leave(ServerId server, Incarnation incarnation);

    /** Closes the client; pending callbacks may not run. */
    @Override
    void close();
}
