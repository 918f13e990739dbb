package tallyweir.net;

import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * The I/O processor of the callers' connections. It marks an inbox while bytes move from the socket to it, when neither
 * the socket nor the inbox would show them.
 */
final class CallersProcessor extends SocketProcessor {
    CallersProcessor(Executor executor, SocketFailures failures) {
        super(executor, failures);
    }

    @Override
    protected int read(NioSession session, IoBuffer into) throws Exception {
        Arrivals.Inbox inbox = Server.inbox(session);
        Arrivals.setReadInProgress(inbox, true);
        int read = super.read(session, into);
        if (read <= 0 && into.position() == 0) {
            Arrivals.setReadInProgress(inbox, false);
        }
        return read;
    }
}
