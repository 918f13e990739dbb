package tallyweir.net;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Reads and writes sockets. A wait that fails is tried again: MINA itself would stand for a second after it.
 */
class SocketProcessor extends NioProcessor {
    private final SocketFailures failures;

    SocketProcessor(Executor executor, SocketFailures failures) {
        super(executor);
        this.failures = failures;
    }

    /** Returns only once it has worked: MINA takes one that returns nothing at once for a broken selector. */
    @Override
    protected int select(long timeout) throws Exception {
        while (true) {
            try {
                return super.select(timeout);
            } catch (IOException e) {
                failures.add(SocketFailures.Call.SELECT, e);
                SocketFailures.pause();
            }
        }
    }

    @Override
    protected void init(NioSession session) throws Exception {
        try {
            super.init(session);
        } catch (Exception e) {
            failures.add(SocketFailures.Call.REGISTER, e);
            session.getCloseFuture().setClosed();
            throw e;
        }
    }

    @Override
    protected int read(NioSession session, IoBuffer into) throws Exception {
        try {
            return super.read(session, into);
        } catch (IOException e) {
            failures.add(SocketFailures.Call.READ, e);
            throw e;
        }
    }

    @Override
    protected int write(NioSession session, IoBuffer from, int length) throws IOException {
        try {
            return super.write(session, from, length);
        } catch (IOException e) {
            failures.add(SocketFailures.Call.WRITE, e);
            throw e;
        }
    }

    /** How many bytes lie in the socket. Where that cannot be told, none are said to. */
    static int unreadBytes(NioSession session) {
        try {
            return ((SocketChannel) session.getChannel())
                    .socket()
                    .getInputStream()
                    .available();
        } catch (IOException e) {
            return 0;
        }
    }
}
