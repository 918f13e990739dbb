package tallyweir.net;

import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * The I/O processor of the callers' connections. It marks an inbox while bytes move from the socket to it, when neither
 * the socket nor the inbox would show them, and once the caller has ended its side.
 */
final class CallerProcessor extends SocketProcessor {
    CallerProcessor(Executor executor, SocketFailures failures) {
        super(executor, failures);
    }

    @Override
    protected int read(NioSession session, IoBuffer into) throws Exception {
        EventQueue.Inbox inbox = Server.inbox(session);
        EventQueue.setReadInProgress(inbox, true);
        int read = super.read(session, into);
        if (read < 0) {
            EventQueue.setInputEnded(inbox); // before the bytes read up to here are queued
        }
        if (read <= 0 && into.position() == 0) {
            EventQueue.setReadInProgress(inbox, false);
        }
        return read;
    }
}
