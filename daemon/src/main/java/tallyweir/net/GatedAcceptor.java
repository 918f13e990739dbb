package tallyweir.net;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts callers up to a maximum of open connections. Beyond it, callers wait in the listener's queue with what they
 * have written: accepting and closing them would lose requests that the machine had already taken in, and keeping them
 * open would use descriptors that the links to the peers need. A failed accept or select is retried within a
 * millisecond. Before the listener is closed, the callers in its queue are accepted.
 */
final class GatedAcceptor extends NioSocketAcceptor {
    private static final long LOOK_MILLIS = 100;
    private static final long FOR_EVER = 0;
    private static final int FAILED_TO_MAKE_ROOM = 20; // consecutive; another connection then has to be closed
    private static final int NOBODY_IN_A_ROW = 2; // an interrupted accept also returns null, as for an empty queue

    private final IoProcessor<NioSession> processor;
    private final int most;
    private final Runnable shut;
    private final SocketFailures failures;
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean proven; // a caller was accepted since the listener was registered with epoll
    private int failedInARow; // belongs to the accepting thread
    private volatile SelectionKey waits; // the listener's key while accepting is suspended, else null

    /**
     * @param most the maximum of open connections
     * @param shut called by the accepting thread each time that accepting is suspended or keeps failing
     */
    GatedAcceptor(IoProcessor<NioSession> processor, int most, Runnable shut, SocketFailures failures) {
        super(processor);
        this.processor = processor;
        this.most = most;
        this.shut = shut;
        this.failures = failures;
    }

    @Override
    protected int select() {
        while (true) {
            try {
                int selected = selector.select(proven ? FOR_EVER : LOOK_MILLIS);
                if (selected == 0 && !proven) {
                    registerAgain();
                }
                return selector.selectedKeys().size();
            } catch (IOException e) {
                failures.add(SocketFailures.Call.SELECT, e);
                SocketFailures.pause();
            }
        }
    }

    /** Registers the listener with epoll again, as the JVM does not report that a registration failed. */
    private void registerAgain() throws IOException {
        for (SelectionKey key : selector.keys()) {
            if (key.isValid() && waits == null) {
                key.interestOps(0);
                try {
                    selector.selectNow();
                } finally {
                    key.interestOps(SelectionKey.OP_ACCEPT);
                }
            }
        }
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel listener) {
        if (listener == null) {
            return null; // the listener has been closed in the meantime
        }
        if (open.get() >= most) {
            SelectionKey key = listener.keyFor(selector);
            key.interestOps(0);
            waits = key;
            shut.run();
            if (open.get() < most) {
                letIn(); // a connection was closed in the meantime
            }
            return null;
        }
        return accept(listener);
    }

    /**
     * Returns null if the queue is empty or accept fails. After a failure the listener stays ready, so that accept is
     * retried.
     */
    private NioSession accept(ServerSocketChannel listener) {
        SocketChannel channel = null;
        try {
            channel = listener.accept();
            failedInARow = 0;
            proven = proven || channel != null;
            return channel == null ? null : counted(new SocketSession(processor, this, channel));
        } catch (IOException | RuntimeException | Error e) {
            failures.add(SocketFailures.Call.ACCEPT, e);
            closeQuietly(channel);
            recover(SocketError.of(e));
            return null;
        }
    }

    private void recover(SocketError error) {
        failedInARow++;
        if (!error.isOfOneConnection()) {
            SocketFailures.pause();
        }
        if (failedInARow % FAILED_TO_MAKE_ROOM == 0) {
            shut.run();
        }
    }

    private NioSession counted(NioSession session) {
        open.incrementAndGet();
        session.getCloseFuture().addListener(closed -> {
            open.decrementAndGet();
            letIn();
        });
        return session;
    }

    private static void closeQuietly(SocketChannel channel) {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                return; // the descriptor is released all the same
            }
        }
    }

    /**
     * Closing the listener resets the connections in its queue, so it is closed right after the queue was found empty.
     * It is deregistered first, as the JVM defers the close of a registered channel.
     */
    @Override
    protected void close(ServerSocketChannel listener) throws Exception {
        SelectionKey key = listener.keyFor(selector);
        if (key != null) {
            key.cancel();
            deregister();
        }
        takeIn(listener);
        listener.close();
    }

    private void deregister() {
        try {
            selector.selectNow();
        } catch (IOException e) {
            failures.add(SocketFailures.Call.SELECT, e); // cancelled keys were removed before it failed
        }
    }

    /** Accepts the callers in the listener's queue, for at most as long as failing calls are retried. */
    private void takeIn(ServerSocketChannel listener) {
        long end = System.nanoTime() + SocketFailures.PATIENCE_NANOS;
        int nobody = 0;
        while (nobody < NOBODY_IN_A_ROW && open.get() < most && System.nanoTime() - end < 0) {
            failedInARow = 0;
            NioSession session = accept(listener);
            if (session != null) {
                initSession(session, null, null);
                session.getProcessor().add(session);
            }
            nobody = session == null && failedInARow == 0 ? nobody + 1 : 0;
        }
    }

    private void letIn() {
        SelectionKey key = waits;
        if (key == null) {
            return;
        }
        waits = null;
        proven = false;
        try {
            key.interestOps(SelectionKey.OP_ACCEPT);
            wakeup();
        } catch (CancelledKeyException e) {
            // The listener has been closed.
        }
    }

    /** Whether accepting is suspended, so that callers may be waiting in the listener's queue. */
    boolean isShut() {
        return waits != null;
    }
}
