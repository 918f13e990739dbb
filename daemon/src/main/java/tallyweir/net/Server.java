package tallyweir.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandler;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionConfig;
import org.apache.mina.transport.socket.nio.NioDatagramConnector;
import org.apache.mina.transport.socket.nio.NioSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.backend.Backend;
import tallyweir.backend.Links;
import tallyweir.backend.Peer;
import tallyweir.config.Config;
import tallyweir.config.Settings;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.Guard;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;
import tallyweir.results.ResultStore;

/**
 * Connects one backend to its sockets. MINA's threads only queue events. One decision thread takes them in batches; for
 * each batch it reads the clocks once, passes the events to the backend, runs the timers that have expired and writes
 * the output.
 *
 * <p>Times are in tenths of a millisecond unless the name says otherwise. The state belongs to the decision thread;
 * other threads only queue events.
 */
public final class Server implements Links {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final AttributeKey SLOT = new AttributeKey(Server.class, "connection");
    private static final AttributeKey LINK = new AttributeKey(Server.class, "link");
    private static final AttributeKey INBOX = new AttributeKey(Server.class, "inbox");
    private static final AttributeKey WRITTEN =
            // Bytes written before the last write was queued, or -1 where earlier output was still queued at that time.
            new AttributeKey(Server.class, "bytes before last write");
    private static final AttributeKey WAITS = new AttributeKey(Server.class, "wake when sent");
    private static final int READ_MOST = 8 << 10; // per chunk; only a few chunks of each caller are queued
    private static final int UNWRITTEN_MOST =
            64 << 10; // per connection; above it the connection is not read until the output has been sent
    private static final int UNWRITTEN_ALL = 4 << 20; // of all callers; above it the connection with the most is closed
    private static final int WRITE_SECONDS = 10; // for a peer that reads nothing
    private static final int NO_PROGRESS_MILLIS = 1_000; // a caller that reads nothing for longer may be closed
    private static final int CONNECT_MILLIS = 2_000;
    private static final int BACKLOG = 4_096;
    private static final long FAR = 10_000; // upper bound of one wait for events

    private Config config;
    private final Arrivals arrived = new Arrivals();
    private final ArrayDeque<Runnable> own = new ArrayDeque<>(); // queued by the decision thread itself
    private final Map<ConnectionId, IoSession> callers = new HashMap<>();
    private final Map<LinkId, Long> opening = new LinkedHashMap<>(); // start of each connection attempt, oldest first
    private final Map<LinkId, IoSession> peers = new HashMap<>();
    private final Map<IoSession, ByteArrayOutputStream> toWrite = new LinkedHashMap<>();
    private final Set<IoSession> toEnd = new LinkedHashSet<>();
    private final Set<IoSession> standing = new LinkedHashSet<>(); // callers over the limit of unwritten bytes
    private final SocketFailures failures = new SocketFailures();
    private final Executor processorThreads = Executors.newCachedThreadPool();
    // Peers have an I/O thread of their own, so that a flood of callers cannot delay them.
    private IoProcessor<NioSession> peersProcessor;
    private final CompletableFuture<Void> listenerClosed = new CompletableFuture<>();
    private final GatedAcceptor acceptor;
    private PeerConnector connector;
    private NioDatagramConnector datagrams;
    private final long startNanos = System.nanoTime();
    private final long startWall = wall();
    private final Thread deciding = Thread.currentThread();
    private final Backend backend;
    private IoSession reports;
    private long reportsOpening; // start of the attempt to connect, 0 for none
    private Runnable lookAgain = () -> {};
    private InetSocketAddress kernelAt; // set by a revision of the fleet, null for the configured address
    private InetSocketAddress announceAt; // likewise

    /** A server without a result store. The constructing thread is its decision thread and has to call {@link #run}. */
    public Server(Config config) {
        this(config, server -> null);
    }

    /** Creates the result store, which retains results across restarts. */
    public interface Shelves {
        /**
         * Returns null for a server that retains no results.
         *
         * @param deciding runs tasks on the decision thread
         */
        ResultStore make(Executor deciding) throws IOException;
    }

    /**
     * A server whose decision thread is the one that constructs it, and that has to call {@link #run}.
     *
     * @param shelves called once, by this constructor
     */
    public Server(Config config, Shelves shelves) {
        this.config = config;
        try {
            backend = new Backend(this, config, now(), startWall, shelves.make(this::tell));
            acceptor = new GatedAcceptor(
                    new CallersProcessor(processorThreads, failures),
                    Backend.callersMost(config.sockets),
                    () -> tell(backend::full),
                    failures);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts to listen. The only failure that is passed on is that of the listener, for example an address in use. */
    public void bind() throws IOException {
        acceptor.getSessionConfig().setMaxReadBufferSize(READ_MOST);
        acceptor.getSessionConfig().setWriteTimeout(0); // a caller that reads slowly still gets all its answers
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.setCloseOnDeactivation(false); // otherwise closing the listener would reset every caller
        acceptor.setHandler(callerHandler());
        counts("failed_", failures::counts);
        counts("callers_", this::pendingBytes);
        openPeers();
        acceptor.bind(config.listen);
    }

    private void openPeers() {
        peersProcessor = new SocketProcessor(processorThreads, failures);
        connector = new PeerConnector(peersProcessor, failures);
        datagrams = new NioDatagramConnector(peersProcessor);
        set(connector.getSessionConfig());
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.setConnectTimeoutMillis(CONNECT_MILLIS);
        connector.setHandler(peerHandler());
        datagrams.setHandler(reportHandler());
        reports = null;
        reportsOpening = 0;
    }

    /**
     * Replaces the connectors if they are stuck. MINA reports the success or failure of each connection attempt within
     * the timeout. If it does not, its threads for the peers have ended or hang, and no peer could be reached any more.
     * Links that are up stay with the old processor.
     */
    private void lookAfterPeers() {
        long before = now() - 2 * 10L * CONNECT_MILLIS;
        boolean stuck = !opening.isEmpty() && opening.values().iterator().next() < before
                || reportsOpening > 0 && reportsOpening < before;
        if (stuck) {
            LOG.error("connecting to the peers hangs; the connectors are replaced");
            connector.dispose();
            datagrams.dispose();
            openPeers();
            List<LinkId> lost = List.copyOf(opening.keySet());
            opening.clear();
            lost.forEach(link -> backend.down(link, true));
        }
    }

    private static void set(IoSessionConfig of) {
        of.setMaxReadBufferSize(READ_MOST);
        of.setWriteTimeout(WRITE_SECONDS);
    }

    /** The address it listens on, null while it does not. */
    public SocketAddress address() {
        return acceptor.getLocalAddress();
    }

    /** Processes events until the thread is interrupted. To be called by the thread that constructed this server. */
    public void run() {
        backend.start();
        List<Runnable> batch = new ArrayList<>();
        while (true) {
            try {
                round(batch);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                // The process has to survive any failure here, as callers depend on it.
                LOG.error("processing a batch of events failed", e);
            }
        }
    }

    private void round(List<Runnable> batch) throws InterruptedException {
        batch.clear();
        long wait = own.isEmpty() ? Math.min(FAR, backend.next() - now()) : 0;
        arrived.take(batch, wait * 100_000);
        batch.addAll(own);
        own.clear();
        backend.clock(now(), wall());
        for (Runnable news : batch) {
            try {
                news.run();
            } catch (RuntimeException | Error e) {
                LOG.error("an event was skipped because processing it failed", e);
            }
        }
        backend.pass();
        lookAfterPeers();
        write();
    }

    private long now() {
        return startWall + (System.nanoTime() - startNanos) / 100_000;
    }

    /** Tenths of a millisecond since 1970, rounded up, so that ages are rounded up and remaining times down. */
    private static long wall() {
        Instant t = Instant.now();
        return t.getEpochSecond() * 10_000 + (t.getNano() + 99_999) / 100_000;
    }

    /** Queues an event for the decision thread. Any thread may call it; its own events need no lock. */
    private void tell(Runnable news) {
        if (Thread.currentThread() == deciding) {
            own.add(news);
        } else {
            arrived.put(news);
        }
    }

    static Arrivals.Inbox inbox(IoSession session) {
        return (Arrivals.Inbox) session.getAttribute(INBOX);
    }

    private static Arrivals.Inbox newInbox(IoSession session) {
        Arrivals.Inbox inbox = new Arrivals.Inbox(session::suspendRead, () -> resume(session));
        session.setAttribute(INBOX, inbox);
        return inbox;
    }

    /** Queues an event of a caller's connection behind the earlier ones of that connection. */
    private void tell(IoSession caller, Runnable news) {
        arrived.put(inbox(caller), news);
    }

    /** Wakes MINA's thread too, which would otherwise notice only on its next pass that it may read again. */
    private static void resume(IoSession session) {
        session.resumeRead();
        ((NioSession) session).getProcessor().flush((NioSession) session);
    }

    private void write() {
        toWrite.forEach((session, bytes) -> {
            session.setAttribute(WRITTEN, session.getScheduledWriteBytes() == 0 ? session.getWrittenBytes() : -1L);
            if (toEnd.contains(session)) {
                session.setAttribute(WAITS);
            }
            session.write(IoBuffer.wrap(bytes.toByteArray()));
            if (session.getScheduledWriteBytes() > UNWRITTEN_MOST && session.getAttribute(SLOT) != null) {
                session.setAttribute(WAITS);
                standing.add(session);
                arrived.stands(inbox(session), true);
            }
        });
        toWrite.clear();
        goneOut();
        toEnd.removeIf(
                session -> !session.isConnected() || session.getScheduledWriteBytes() == 0 && endOutput(session));
    }

    /** Whether no byte of the last output for this session has left the process. */
    private boolean unwritten(IoSession session) {
        return toWrite.remove(session) != null
                || session.getAttribute(WRITTEN) instanceof Long before && before == session.getWrittenBytes();
    }

    /**
     * Resumes reading from callers whose output has been sent. If the unwritten output of all takes too much memory,
     * closes the connection with the most of it.
     */
    private void goneOut() {
        standing.removeIf(session -> {
            boolean over = !session.isConnected() || session.getScheduledWriteBytes() <= UNWRITTEN_MOST;
            if (over) {
                arrived.stands(inbox(session), false);
            }
            return over;
        });
        long all =
                standing.stream().mapToLong(IoSession::getScheduledWriteBytes).sum();
        if (all > UNWRITTEN_ALL) {
            IoSession most = standing.stream()
                    .max(Comparator.comparingLong(IoSession::getScheduledWriteBytes))
                    .orElseThrow();
            LOG.warn("a connection is closed: its unread answers take too much memory");
            backend.unread();
            most.closeNow();
        }
    }

    /**
     * Half-closes the connection. A full close would reset it if unread bytes were in the socket or arrived a moment
     * later, and the peer would lose what it had not read yet. MINA has no such operation, so the session's channel is
     * used.
     */
    private static boolean endOutput(IoSession session) {
        try {
            channel(session).shutdownOutput();
        } catch (IOException e) {
            session.closeNow(); // the connection has already ended
        }
        return true;
    }

    private static SocketChannel channel(IoSession session) {
        return (SocketChannel) ((NioSession) session).getChannel();
    }

    // ---- events from MINA's threads

    private abstract class Handler extends IoHandlerAdapter {
        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.debug("a connection is closed", cause);
            session.closeNow();
        }
    }

    private IoHandler callerHandler() {
        return new Handler() {
            @Override
            public void sessionCreated(IoSession session) {
                newInbox(session);
            }

            @Override
            public void sessionOpened(IoSession session) {
                tell(session, () -> {
                    ConnectionId slot = backend.accepted();
                    session.setAttribute(SLOT, slot);
                    callers.put(slot, session);
                });
            }

            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                if (!channel(session).socket().isOutputShutdown()) {
                    tell(backend::reset); // after our half-close some callers reply with a reset, which is not counted
                }
                super.exceptionCaught(session, cause);
            }

            @Override
            public void messageSent(IoSession session, Object message) {
                if (session.containsAttribute(WAITS)) {
                    tell(() -> {}); // makes the decision thread check what has been sent
                }
            }

            @Override
            public void messageReceived(IoSession session, Object message) {
                ByteBuffer bytes = ((IoBuffer) message).buf();
                tell(session, () -> {
                    if (session.getAttribute(SLOT) instanceof ConnectionId slot) {
                        backend.read(slot, bytes);
                    }
                });
                Arrivals.reading(inbox(session), false);
            }

            @Override
            public void sessionClosed(IoSession session) {
                tell(session, () -> {
                    if (session.removeAttribute(SLOT) instanceof ConnectionId slot) {
                        callers.remove(slot);
                        backend.closed(slot);
                    }
                });
            }
        };
    }

    private IoHandler peerHandler() {
        return new Handler() {
            @Override
            public void sessionCreated(IoSession session) {
                newInbox(session);
            }

            @Override
            public void sessionOpened(IoSession session) {
                tell(() -> {
                    LinkId link = (LinkId) session.getAttribute(LINK);
                    if (opening.remove(link) != null) {
                        peers.put(link, session);
                        backend.up(link);
                    } else {
                        session.closeNow(); // dropped while it was being opened
                    }
                });
            }

            @Override
            public void messageReceived(IoSession session, Object message) {
                ByteBuffer bytes = ((IoBuffer) message).buf();
                arrived.putFirst(inbox(session), () -> {
                    LinkId link = (LinkId) session.getAttribute(LINK);
                    if (peers.containsKey(link)) {
                        backend.read(link, bytes);
                    }
                });
            }

            @Override
            public void sessionClosed(IoSession session) {
                arrived.putFirst(inbox(session), () -> {
                    LinkId link = (LinkId) session.getAttribute(LINK);
                    if (peers.remove(link) != null) {
                        backend.down(link, unwritten(session));
                    }
                });
            }
        };
    }

    private IoHandler reportHandler() {
        return new Handler() {
            @Override
            public void sessionClosed(IoSession session) {
                tell(() -> reports = reports == session ? null : reports);
            }
        };
    }

    // ---- requests of the backend

    @Override
    public void toCaller(ConnectionId caller, byte[] bytes) {
        to(callers.get(caller), bytes);
    }

    @Override
    public void endCaller(ConnectionId caller) {
        IoSession session = callers.get(caller);
        if (session != null) {
            toEnd.add(session);
        }
    }

    /**
     * A request that arrives between the check and the half-close is not answered; that window is much shorter than a
     * batch.
     */
    @Override
    public boolean endQuiet(ConnectionId caller) {
        IoSession session = callers.get(caller);
        return session == null
                || !toWrite.containsKey(session)
                        && session.getScheduledWriteBytes() == 0
                        && SocketProcessor.unreadBytes((NioSession) session) == 0
                        && Arrivals.isEmpty(inbox(session))
                        && endOutput(session);
    }

    @Override
    public void dropCaller(ConnectionId caller) {
        IoSession session = callers.get(caller);
        if (session != null) {
            toWrite.remove(session);
            session.closeNow();
        }
    }

    @Override
    public boolean dropStuck() {
        long before = System.currentTimeMillis() - NO_PROGRESS_MILLIS;
        IoSession longest = standing.stream()
                .filter(s -> s.getLastWriteTime() < before)
                .min(Comparator.comparingLong(IoSession::getLastWriteTime))
                .orElse(null);
        if (longest != null) {
            standing.remove(longest);
            longest.closeNow();
        }
        return longest != null;
    }

    /** Runs on a thread of its own, since MINA's unbind blocks until the listener is closed. */
    @Override
    public void stopListening() {
        Thread t = new Thread(
                () -> {
                    acceptor.unbind();
                    tell(backend::listenerClosed);
                    listenerClosed.complete(null);
                },
                "unbind");
        t.setDaemon(true);
        t.start();
    }

    @Override
    public boolean callersWait() {
        return acceptor.isShut();
    }

    @Override
    public void to(LinkId link, byte[] bytes) {
        to(peers.get(link), bytes);
    }

    private void to(IoSession session, byte[] bytes) {
        if (session != null) {
            toWrite.computeIfAbsent(session, s -> new ByteArrayOutputStream(bytes.length))
                    .writeBytes(bytes);
        }
    }

    @Override
    public void connect(LinkId link, Peer peer, InetSocketAddress at) {
        opening.put(link, now());
        SocketAddress to =
                at != null ? at : peer == Peer.STORE ? config.store : kernelAt != null ? kernelAt : config.kernel;
        if (to == null) { // no store is configured as no workload was expected to call it, but a run does
            tell(() -> refused(link));
            return;
        }
        connector
                .connect(to, (session, future) -> session.setAttribute(LINK, link))
                .addListener(future -> {
                    if (!((ConnectFuture) future).isConnected()) {
                        tell(() -> refused(link));
                    }
                });
    }

    private void refused(LinkId link) {
        if (opening.remove(link) != null) {
            backend.down(link, true);
        }
    }

    private InetSocketAddress announceAt() {
        return announceAt != null ? announceAt : config.announce;
    }

    @Override
    public void route(InetSocketAddress kernel, InetSocketAddress announce) {
        kernelAt = kernel;
        announceAt = announce;
        peersMoved();
    }

    private void peersMoved() {
        if (reports != null) {
            reports.closeNow();
            reports = null;
        }
        backend.moved();
    }

    @Override
    public void drop(LinkId link) {
        opening.remove(link);
        IoSession session = peers.remove(link);
        if (session != null) {
            toWrite.remove(session);
            session.closeNow();
        }
    }

    /** A report that cannot be sent now is dropped; the next one follows soon. */
    @Override
    public void report(byte[] datagram) {
        if (reports != null) {
            reports.write(IoBuffer.wrap(datagram));
        } else if (reportsOpening == 0) {
            openReports(datagram);
        }
    }

    private void openReports(byte[] first) {
        SocketAddress to = announceAt();
        try {
            ConnectFuture opening = datagrams.connect(to);
            reportsOpening = now();
            opening.addListener(future -> tell(() -> reportsOpened(opening, to, first)));
        } catch (RuntimeException | Error e) {
            failures.add(SocketFailures.Call.CONNECT, e); // the JVM throws an Error if connect is interrupted (EINTR)
        }
    }

    private void reportsOpened(ConnectFuture opening, SocketAddress to, byte[] first) {
        reportsOpening = 0;
        if (!opening.isConnected()) {
            return;
        }
        if (!to.equals(announceAt())) {
            opening.getSession().closeNow(); // the service's address has changed in the meantime
            report(first);
            return;
        }
        reports = opening.getSession();
        reports.write(IoBuffer.wrap(first));
    }

    // ---- called by other threads

    /**
     * Sets what reads the peers' addresses again when a peer cannot be reached. To be called before {@link #run}.
     *
     * @param how called by the decision thread; must not block
     */
    public void lookAgain(Runnable how) {
        lookAgain = how;
    }

    @Override
    public void lookAgain() {
        lookAgain.run();
    }

    /**
     * Takes over the addresses of the kernel, the store and the announce service; everything else stays as at the
     * start. Any thread may call it.
     */
    public void move(Config to) {
        tell(() -> {
            if (to.kernel.equals(config.kernel)
                    && Objects.equals(to.store, config.store)
                    && to.announce.equals(config.announce)) {
                return;
            }
            config = to;
            peersMoved();
        });
    }

    /**
     * Begins to drain on the notice to shut down. The server accepts and answers until the end. Any thread may call it.
     */
    public void drain() {
        tell(backend::drain);
    }

    /**
     * Makes this server a member of a fleet. To be called before {@link #run}, by the decision thread.
     *
     * @param fleet the fleet's name
     * @param linger how long a connection counts for a tenant after its last query
     * @param again the minimum wait before an unanswered request to the fleet is repeated
     * @param backWhole whether the server withdraws completely while it is out of the fleet
     * @param without guards that are disabled, for drills only
     */
    public void joinFleet(
            FleetClient client, String fleet, long linger, long again, boolean backWhole, Set<Guard> without) {
        backend.joinFleet(
                client,
                fleet,
                this::tell,
                config.listen.getHostString() + ":" + config.listen.getPort(),
                linger,
                again,
                backWhole,
                config.seed,
                startWall,
                without);
    }

    /**
     * Tells the fleet that this server has answered everything, so that the fleet need not detect its end by itself.
     * Waits at most one second for the decision thread, which must not call it.
     */
    public void leaveFleet() {
        CompletableFuture<Void> left = new CompletableFuture<>();
        tell(() -> {
            backend.leaveFleet();
            left.complete(null);
        });
        left.completeOnTimeout(null, 1, TimeUnit.SECONDS).join();
    }

    /** Compares these settings with those in force from now on; null for none. Any thread may call it. */
    public void watch(Settings watched) {
        tell(() -> backend.watch(watched));
    }

    /** Runs the action once the listener is closed and nobody can connect any more, or at once if it is. */
    public void whenListenerCloses(Runnable then) {
        listenerClosed.thenRun(then);
    }

    /** Bytes between the callers' sockets and the decision thread, in both directions. */
    private Map<String, Long> pendingBytes() {
        Map<String, Long> bytes = new LinkedHashMap<>();
        for (IoSession caller : callers.values()) {
            long unread = SocketProcessor.unreadBytes((NioSession) caller);
            bytes.merge("with_bytes_unread", unread > 0 ? 1L : 0, Long::sum);
            bytes.merge("bytes_unread", unread, Long::sum);
            bytes.merge("bytes_unwritten", caller.getScheduledWriteBytes(), Long::sum);
        }
        return bytes;
    }

    /**
     * Adds figures that are printed with the counters. To be called before {@link #run}.
     *
     * @param prefix put before each name
     * @param figures read by the decision thread
     */
    public void counts(String prefix, Supplier<Map<String, Long>> figures) {
        backend.counters().also(prefix, figures);
    }

    /**
     * Chunks from the peers, and closes of their links, that have arrived and are not processed yet. Any thread may
     * call it.
     */
    public int peerPieces() {
        return arrived.peerPieces();
    }

    /** The counters as one line of text. Waits at most one second for the decision thread, which must not call it. */
    public String counters() {
        CompletableFuture<String> line = new CompletableFuture<>();
        tell(() -> line.complete(backend.counters().line()));
        return line.completeOnTimeout("no counters: the server does not respond", 1, TimeUnit.SECONDS)
                .join();
    }
}
