package tallyweir.net;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Reads and writes sockets, and retries system calls that fail with a transient error. MINA itself would block for a
 * second after a failed select, and close the connection after a failed read or write.
 */
class SocketProcessor extends NioProcessor {
    private static final AttributeKey FAILS_SINCE = new AttributeKey(SocketProcessor.class, "failing since");
    private static final int END_OF_STREAM = -1; // the channel returns a smaller number for an interrupted call
    private static final long LOOK_EVERY_MILLIS = 100;

    /** The bytes that a session had read and written, and those unread in its socket, at the last check. */
    private record Seen(long read, long written, int unread) {
        /** Replaces equals, which the JVM links at its first use, possibly when no descriptor is left. */
        boolean isAs(Seen other) {
            return read == other.read && written == other.written && unread == other.unread;
        }
    }

    private static final Seen NOTHING_SEEN = new Seen(-1, -1, 0);

    private final SocketFailures failures;
    // Sessions that have read nothing since they were registered with epoll. Any thread that suspends or resumes one
    // adds to it.
    private final Map<NioSession, Seen> unproven = new ConcurrentHashMap<>();
    private long nextLook = System.nanoTime();

    SocketProcessor(Executor executor, SocketFailures failures) {
        super(executor);
        this.failures = failures;
    }

    /** Returns only once select has succeeded: MINA takes a select that returns 0 at once for a broken selector. */
    @Override
    protected int select(long timeout) throws Exception {
        while (true) {
            try {
                super.select(unproven.isEmpty() ? timeout : Math.min(timeout, LOOK_EVERY_MILLIS));
                lookForUnregistered();
                return selector.selectedKeys().size();
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
            unproven.put(session, NOTHING_SEEN);
        } catch (Exception e) {
            failures.add(SocketFailures.Call.REGISTER, e);
            session.getCloseFuture().setClosed();
            throw e;
        }
    }

    @Override
    protected int read(NioSession session, IoBuffer into) throws Exception {
        try {
            int read = super.read(session, into);
            session.removeAttribute(FAILS_SINCE);
            return read < END_OF_STREAM ? 0 : read;
        } catch (IOException e) {
            failed(SocketFailures.Call.READ, session, e);
            return 0;
        }
    }

    @Override
    protected int write(NioSession session, IoBuffer from, int length) throws IOException {
        try {
            int written = super.write(session, from, length);
            session.removeAttribute(FAILS_SINCE);
            return Math.max(0, written);
        } catch (IOException e) {
            failed(SocketFailures.Call.WRITE, session, e);
            return 0;
        }
    }

    /** Pauses and returns if the call is to be retried; rethrows the cause if not. */
    private void failed(SocketFailures.Call call, NioSession session, IOException cause) throws IOException {
        if (session.getTransportMetadata().isConnectionless()) {
            throw cause; // the announce service does not take reports at the moment
        }
        failures.add(call, cause);
        long now = System.nanoTime();
        Object since = session.setAttributeIfAbsent(FAILS_SINCE, now);
        boolean lasting = since instanceof Long first && now - first > SocketFailures.PATIENCE_NANOS;
        if (lasting || !SocketError.of(cause).mayPass()) {
            throw cause;
        }
        SocketFailures.pause();
    }

    /** Synchronized, since several threads suspend and resume a session. */
    @Override
    protected void setInterestedInRead(NioSession session, boolean interested) throws Exception {
        synchronized (session) {
            super.setInterestedInRead(session, interested);
        }
        unproven.put(session, NOTHING_SEEN);
    }

    /**
     * Keeps the interest in writing while a write is unfinished: another thread may have seen an empty queue just
     * before part of a write was left over.
     */
    @Override
    protected void setInterestedInWrite(NioSession session, boolean interested) throws Exception {
        synchronized (session) {
            super.setInterestedInWrite(session, interested || session.getCurrentWriteRequest() != null);
        }
        unproven.put(session, NOTHING_SEEN);
    }

    /**
     * Registers sessions with epoll again whose registration seems to have failed, as the JVM does not report that. It
     * is assumed to have failed if bytes wait to be read or written and none was transferred between two checks.
     */
    private void lookForUnregistered() throws IOException {
        if (System.nanoTime() - nextLook < 0) {
            return;
        }
        nextLook = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOOK_EVERY_MILLIS);
        for (NioSession session : List.copyOf(unproven.keySet())) {
            SelectionKey key =
                    session instanceof SocketSession of ? of.getChannel().keyFor(selector) : null;
            try {
                if (key != null && key.isValid()) {
                    lookAt(session, key);
                } else {
                    unproven.remove(session);
                }
            } catch (CancelledKeyException e) {
                unproven.remove(session); // closed in the meantime
            }
        }
    }

    private void lookAt(NioSession session, SelectionKey key) throws IOException {
        int unread = isInterested(key, SelectionKey.OP_READ) ? unreadBytes(session) : 0;
        boolean unwritten = isInterested(key, SelectionKey.OP_WRITE);
        Seen now = new Seen(session.getReadBytes(), session.getWrittenBytes(), unread);
        Seen before = unproven.put(session, now);
        if (before == NOTHING_SEEN) {
            return;
        }
        if (before.read != now.read && !unwritten) {
            unproven.remove(session);
        } else if (now.isAs(before) && (unread > 0 || unwritten)) {
            if (unread > 0) { // for output alone the peer may just be slow to read
                failures.add(
                        SocketFailures.Call.REGISTER, new IOException("not notified of a socket with unread bytes"));
            }
            registerAgain(session, key);
        }
    }

    private static boolean isInterested(SelectionKey key, int operation) {
        return (key.interestOps() & operation) != 0;
    }

    private void registerAgain(NioSession session, SelectionKey key) throws IOException {
        synchronized (session) {
            int wanted = key.interestOps();
            key.interestOps(0);
            try {
                selector.selectNow(); // removes the registration, if there is one
            } finally {
                if (key.isValid()) {
                    key.interestOps(wanted);
                }
            }
        }
    }

    /** How many bytes are unread in the socket; 0 if the system does not say. */
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
