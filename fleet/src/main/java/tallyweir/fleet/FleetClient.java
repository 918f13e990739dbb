package tallyweir.fleet;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.fleet.table.Table;

/**
 * A server's client of its fleet. None of the calls but {@link #close} waits: the work is done on threads of the client, and
 * each outcome is handed to the executor that the caller names.
 */
public interface FleetClient extends AutoCloseable {
    /**
     * Sends a command to the voters.
     *
     * @param deciding runs exactly one of the two callbacks, unless the client is closed first
     * @param to takes the answer
     * @param failed called where no answer came: the command may have been applied or not
     */
    void send(Command command, Executor deciding, Consumer<Answer> to, Runnable failed);

    /**
     * Fetches the table of a revision: as the difference from a table that is there already, or in pieces where that is too far
     * behind. What is handed over hashes to the root that is wanted. After a failure the same call goes on with the pieces
     * that have been had; a call towards a newer root goes on with those that both have. One fetch runs at a time; another call
     * waits for it.
     *
     * @param have a table that the server has; EMPTY for none
     * @param wanted the revision and the root of its table
     * @param deciding runs exactly one of the two callbacks, unless the client is closed first
     * @param to takes the table
     * @param failed takes the reason: {@link Fault.DigestMismatch}, {@link Fault.UnknownRoot}, or {@link Fault.NoLeader} where no
     *     voter answered; asking again is up to the caller and is delayed by the client as long as the voters fail
     */
    void fetch(Table have, RevisionRoot wanted, Executor deciding, Consumer<Table> to, Consumer<Fault> failed);

    /** Tells the fleet that a server ends in an orderly way; lost without a trace where no voter answers. */
    void leave(ServerId server, Incarnation as);

    /** Ends the client; callbacks that are still due may not be run. */
    @Override
    void close();
}
