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
    private static final long REGISTRATION_CHECK_MS = 100;
    private static final long NO_TIMEOUT = 0;
    private static final int FAILURES_BEFORE_EVICTION = 20; // consecutive; another connection then has to be closed
    private static final int EMPTY_ACCEPTS_BEFORE_CLOSE =
            2; // an interrupted accept also returns null, as for an empty queue

    private final IoProcessor<NioSession> processor;
    private final int maxOpen;
    private final Runnable onFull;
    private final SocketFailures failures;
    private final AtomicInteger openCount = new AtomicInteger();
    private volatile boolean
            registrationConfirmed; // a caller was accepted since the listener was registered with epoll
    private int consecutiveFailures; // belongs to the accepting thread
    private volatile SelectionKey suspendedKey; // the listener's key while accepting is suspended, else null

    /**
     * @param maxOpen the maximum of open connections
     * @param onFull called by the accepting thread each time that accepting is suspended or keeps failing
     */
    GatedAcceptor(IoProcessor<NioSession> processor, int maxOpen, Runnable onFull, SocketFailures failures) {
        super(processor);
        this.processor = processor;
        this.maxOpen = maxOpen;
        this.onFull = onFull;
        this.failures = failures;
    }

    @Override
    protected int select() {
        while (true) {
            try {
                int selected = selector.select(registrationConfirmed ? NO_TIMEOUT : REGISTRATION_CHECK_MS);
                if (selected == 0 && !registrationConfirmed) {
                    renewRegistration();
                }
                return selector.selectedKeys().size();
            } catch (IOException e) {
                failures.add(SocketFailures.Call.SELECT, e);
                SocketFailures.pause();
            }
        }
    }

    /** Registers the listener with epoll again, as the JVM does not report that a registration failed. */
    private void renewRegistration() throws IOException {
        for (SelectionKey key : selector.keys()) {
            if (key.isValid() && suspendedKey == null) {
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
        if (openCount.get() >= maxOpen) {
            SelectionKey key = listener.keyFor(selector);
            key.interestOps(0);
            suspendedKey = key;
            onFull.run();
            if (openCount.get() < maxOpen) {
                resumeAccepting(); // a connection was closed in the meantime
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
            consecutiveFailures = 0;
            registrationConfirmed = registrationConfirmed || channel != null;
            return channel == null ? null : countUntilClosed(new SocketSession(processor, this, channel));
        } catch (IOException | RuntimeException | Error e) {
            failures.add(SocketFailures.Call.ACCEPT, e);
            closeQuietly(channel);
            handleAcceptFailure(SocketError.of(e));
            return null;
        }
    }

    private void handleAcceptFailure(SocketError error) {
        consecutiveFailures++;
        if (!error.affectsOneConnection()) {
            SocketFailures.pause();
        }
        if (consecutiveFailures % FAILURES_BEFORE_EVICTION == 0) {
            onFull.run();
        }
    }

    private NioSession countUntilClosed(NioSession session) {
        openCount.incrementAndGet();
        session.getCloseFuture().addListener(closed -> {
            openCount.decrementAndGet();
            resumeAccepting();
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
        acceptQueued(listener);
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
    private void acceptQueued(ServerSocketChannel listener) {
        long deadlineNanos = System.nanoTime() + SocketFailures.MAX_RETRY_NANOS;
        int emptyAccepts = 0;
        while (emptyAccepts < EMPTY_ACCEPTS_BEFORE_CLOSE
                && openCount.get() < maxOpen
                && System.nanoTime() - deadlineNanos < 0) {
            consecutiveFailures = 0;
            NioSession session = accept(listener);
            if (session != null) {
                initSession(session, null, null);
                session.getProcessor().add(session);
            }
            emptyAccepts = session == null && consecutiveFailures == 0 ? emptyAccepts + 1 : 0;
        }
    }

    private void resumeAccepting() {
        SelectionKey key = suspendedKey;
        if (key == null) {
            return;
        }
        suspendedKey = null;
        registrationConfirmed = false;
        try {
            key.interestOps(SelectionKey.OP_ACCEPT);
            wakeup();
        } catch (CancelledKeyException e) {
            // The listener has been closed.
        }
    }

    /** Whether accepting is suspended, so that callers may be waiting in the listener's queue. */
    boolean isSuspended() {
        return suspendedKey != null;
    }
}
