package tallyweir.net;

import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioSession;

/** Tells of bytes between the socket and their inbox, where else nobody would see them. */
final class CallersProcessor extends SocketProcessor {
    CallersProcessor(Executor executor, SocketFailures failures) {
        super(executor, failures);
    }

    @Override
    protected int read(NioSession session, IoBuffer into) throws Exception {
        Arrivals.Inbox inbox = Server.inbox(session);
        Arrivals.reading(inbox, true);
        int read = super.read(session, into);
        if (read <= 0 && into.position() == 0) {
            Arrivals.reading(inbox, false);
        }
        return read;
    }
}
