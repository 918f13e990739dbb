package tallyweir.net;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts while there is a descriptor for one caller more; who comes then waits in the listener's queue with all it
 * has written. A close there would lose a request that the machine has accepted, and a descriptor more would be
 * missing at the peers' links.
 */
final class GatedAcceptor extends NioSocketAcceptor {
    private final int most;
    private final Runnable shut;
    private final SocketFailures failures;
    private final AtomicInteger open = new AtomicInteger();
    private volatile SelectionKey waits; // the listener's, while nobody is let in

    /** @param shut told each time that nobody more is let in */
    GatedAcceptor(IoProcessor<NioSession> processor, int most, Runnable shut, SocketFailures failures) {
        super(processor);
        this.most = most;
        this.shut = shut;
        this.failures = failures;
    }

    @Override
    protected int select() throws Exception {
        try {
            return super.select();
        } catch (IOException e) {
            failures.add(SocketFailures.Call.SELECT, e);
            throw e;
        }
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel listener) throws Exception {
        if (open.get() >= most) {
            SelectionKey key = listener.keyFor(selector);
            key.interestOps(0);
            waits = key;
            shut.run();
            if (open.get() < most) {
                letIn(); // one has ended meanwhile
            }
            return null;
        }
        NioSession session;
        try {
            session = super.accept(processor, listener);
        } catch (Exception e) {
            failures.add(SocketFailures.Call.ACCEPT, e);
            throw e;
        }
        if (session != null) {
            open.incrementAndGet();
            session.getCloseFuture().addListener(closed -> {
                open.decrementAndGet();
                letIn();
            });
        }
        return session;
    }

    private void letIn() {
        SelectionKey key = waits;
        if (key == null) {
            return;
        }
        waits = null;
        try {
            key.interestOps(SelectionKey.OP_ACCEPT);
            wakeup();
        } catch (CancelledKeyException e) {
            // It listens no more.
        }
    }

    /** Whether somebody may be waiting to be let in. */
    boolean isShut() {
        return waits != null;
    }
}
