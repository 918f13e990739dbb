package tallyweir.fleet;

import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.ids.TenantId;

/**
 * The way of a server to its fleet, as the daemon knows it. None of these calls waits: what comes back is told on the
 * deciding thread, either the answer, or that none came.
 */
public interface Way extends AutoCloseable {
    void join(ServerId server, String listen, long life, Executor deciding, Answers to, Runnable failed);

    void report(
            ServerId server,
            Incarnation as,
            long number,
            RevisionId acting,
            Digest inForce,
            long outdated,
            RevisionId checked,
            String cannot,
            long ended,
            long bad,
            Map<TenantId, Need> needs,
            Executor deciding,
            Answers to,
            Runnable failed);

    void leave(ServerId server, Incarnation as);

    /** The text of a revision, null where it could not be had. */
    void body(RevisionId revision, Executor deciding, Consumer<byte[]> to);

    @Override
    void close();
}
