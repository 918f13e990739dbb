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
 * Accepts while there is a descriptor for one caller more; who comes then waits in the listener's queue with all it
 * has written. A close there would lose a request that the machine has accepted, and a descriptor more would be
 * missing at the peers' links. A failed accept or wait is tried again within a millisecond, and before the listener is
 * closed whoever stands in its queue is let in.
 */
final class GatedAcceptor extends NioSocketAcceptor {
    private static final long LOOK_MILLIS = 100;
    private static final long FOR_EVER = 0;
    private static final int FAILED_TO_MAKE_ROOM = 20; // in a row: something has to give way
    private static final int NOBODY_IN_A_ROW = 2; // an interrupted accept looks as if nobody were there

    private final IoProcessor<NioSession> processor;
    private final int most;
    private final Runnable shut;
    private final SocketFailures failures;
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean proven; // somebody has come since the listener was registered with the system
    private int failedInARow; // of the accepting thread
    private volatile SelectionKey waits; // the listener's, while nobody is let in

    /** @param shut told each time that nobody more is let in */
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

    /** The virtual machine does not tell that a registration with the system failed. */
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
            return null; // it has been closed meanwhile
        }
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
        return accept(listener);
    }

    /** Null where nobody is there, or where the system says that it cannot: the listener stays ready, so it is asked again. */
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
                return; // it has gone all the same
            }
        }
    }

    /**
     * What stands in the listener's queue is reset by its close, so that comes right after the last look into it. While it is
     * registered, the virtual machine would put the close off.
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
            failures.add(SocketFailures.Call.SELECT, e); // cancelled keys were taken off before it failed
        }
    }

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
            // It listens no more.
        }
    }

    /** Whether somebody may be waiting to be let in. */
    boolean isShut() {
        return waits != null;
    }
}
