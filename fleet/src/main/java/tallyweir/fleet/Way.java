package tallyweir.fleet;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.fleet.table.Table;

/**
 * The way of a server to its fleet, as the daemon knows it. None of these calls waits: what comes back is told on the
 * deciding thread, either the answer, or that none came.
 */
public interface Way extends AutoCloseable {
    /** Sends a command; its answer comes back, or failed. */
    void send(Command command, Executor deciding, Consumer<Answer> to, Runnable failed);

    /**
     * Fetches the table of a revision, as its difference to one that is here, and holds it against the root that is wanted.
     * What was had so far is kept where it breaks off, and used by the next fetch, also towards another root.
     *
     * @param have a table that is here
     */
    void fetch(Table have, RevisionRoot wanted, Executor deciding, Consumer<Table> to, Consumer<Fault> failed);

    /** The server has answered all that it had and ends; nothing comes back. */
    void leave(ServerId server, Incarnation as);

    @Override
    void close();
}
