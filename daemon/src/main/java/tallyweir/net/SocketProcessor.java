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
    private static final AttributeKey FAILING_SINCE = new AttributeKey(SocketProcessor.class, "failing since");
    private static final int END_OF_STREAM = -1; // the channel returns a smaller number for an interrupted call
    private static final long CHECK_INTERVAL_MS = 100;

    /** The bytes that a session had read and written, and those unread in its socket, at the last check. */
    private record Progress(long read, long written, int unread) {
        /** Replaces equals, which the JVM links at its first use, possibly when no descriptor is left. */
        boolean equalTo(Progress other) {
            return read == other.read && written == other.written && unread == other.unread;
        }
    }

    private static final Progress NOT_CHECKED = new Progress(-1, -1, 0);

    private final SocketFailures failures;
    // Sessions that have read nothing since they were registered with epoll. Any thread that suspends or resumes one
    // adds to it.
    private final Map<NioSession, Progress> unconfirmed = new ConcurrentHashMap<>();
    private long nextCheckAtNanos = System.nanoTime();

    SocketProcessor(Executor executor, SocketFailures failures) {
        super(executor);
        this.failures = failures;
    }

    /** Returns only once select has succeeded: MINA takes a select that returns 0 at once for a broken selector. */
    @Override
    protected int select(long timeout) throws Exception {
        while (true) {
            try {
                super.select(unconfirmed.isEmpty() ? timeout : Math.min(timeout, CHECK_INTERVAL_MS));
                renewLostRegistrations();
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
            unconfirmed.put(session, NOT_CHECKED);
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
            session.removeAttribute(FAILING_SINCE);
            return read < END_OF_STREAM ? 0 : read;
        } catch (IOException e) {
            retryOrThrow(SocketFailures.Call.READ, session, e);
            return 0;
        }
    }

    @Override
    protected int write(NioSession session, IoBuffer from, int length) throws IOException {
        try {
            int written = super.write(session, from, length);
            session.removeAttribute(FAILING_SINCE);
            return Math.max(0, written);
        } catch (IOException e) {
            retryOrThrow(SocketFailures.Call.WRITE, session, e);
            return 0;
        }
    }

    /** Pauses and returns if the call is to be retried; rethrows the cause if not. */
    private void retryOrThrow(SocketFailures.Call call, NioSession session, IOException cause) throws IOException {
        if (session.getTransportMetadata().isConnectionless()) {
            throw cause; // the announce service does not take reports at the moment
        }
        failures.add(call, cause);
        long now = System.nanoTime();
        Object since = session.setAttributeIfAbsent(FAILING_SINCE, now);
        boolean lasting = since instanceof Long first && now - first > SocketFailures.MAX_RETRY_NANOS;
        if (lasting || !SocketError.of(cause).isTransient()) {
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
        unconfirmed.put(session, NOT_CHECKED);
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
        unconfirmed.put(session, NOT_CHECKED);
    }

    /**
     * Registers sessions with epoll again whose registration seems to have failed, as the JVM does not report that. It
     * is assumed to have failed if bytes wait to be read or written and none was transferred between two checks.
     */
    private void renewLostRegistrations() throws IOException {
        if (System.nanoTime() - nextCheckAtNanos < 0) {
            return;
        }
        nextCheckAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MS);
        for (NioSession session : List.copyOf(unconfirmed.keySet())) {
            SelectionKey key = session instanceof SocketSession socketSession
                    ? socketSession.getChannel().keyFor(selector)
                    : null;
            try {
                if (key != null && key.isValid()) {
                    checkRegistration(session, key);
                } else {
                    unconfirmed.remove(session);
                }
            } catch (CancelledKeyException e) {
                unconfirmed.remove(session); // closed in the meantime
            }
        }
    }

    private void checkRegistration(NioSession session, SelectionKey key) throws IOException {
        int unread = isInterested(key, SelectionKey.OP_READ) ? unreadBytes(session) : 0;
        boolean unwritten = isInterested(key, SelectionKey.OP_WRITE);
        Progress now = new Progress(session.getReadBytes(), session.getWrittenBytes(), unread);
        Progress before = unconfirmed.put(session, now);
        if (before == NOT_CHECKED) {
            return;
        }
        if (before.read != now.read && !unwritten) {
            unconfirmed.remove(session);
        } else if (now.equalTo(before) && (unread > 0 || unwritten)) {
            if (unread > 0) { // for output alone the peer may just be slow to read
                failures.add(
                        SocketFailures.Call.REGISTER, new IOException("not notified of a socket with unread bytes"));
            }
            renewRegistration(session, key);
        }
    }

    private static boolean isInterested(SelectionKey key, int operation) {
        return (key.interestOps() & operation) != 0;
    }

    private void renewRegistration(NioSession session, SelectionKey key) throws IOException {
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
