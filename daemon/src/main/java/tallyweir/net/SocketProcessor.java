package tallyweir.net;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/** Reads and writes sockets, and counts the system calls that fail. */
class SocketProcessor extends NioProcessor {
    private final SocketFailures failures;

    SocketProcessor(Executor executor, SocketFailures failures) {
        super(executor);
        this.failures = failures;
    }

    @Override
    protected int select(long timeout) throws Exception {
        try {
            return super.select(timeout);
        } catch (IOException e) {
            failures.add(SocketFailures.Call.SELECT, e);
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
}
