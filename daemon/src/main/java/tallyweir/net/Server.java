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
    private static final AttributeKey CONNECTION = new AttributeKey(Server.class, "connection");
    private static final AttributeKey LINK = new AttributeKey(Server.class, "link");
    private static final AttributeKey INBOX = new AttributeKey(Server.class, "inbox");
    private static final AttributeKey BYTES_BEFORE_LAST_WRITE =
            // Bytes written before the last write was queued, or -1 where earlier output was still queued at that time.
            new AttributeKey(Server.class, "bytes before last write");
    private static final AttributeKey WAKE_WHEN_SENT = new AttributeKey(Server.class, "wake when sent");
    private static final int MAX_READ_BYTES = 8 << 10; // per chunk; only a few chunks of each caller are queued
    private static final int MAX_UNWRITTEN_BYTES =
            64 << 10; // per connection; above it the connection is not read until the output has been sent
    private static final int MAX_TOTAL_UNWRITTEN_BYTES =
            4 << 20; // of all callers; above it the connection with the most is closed
    private static final int WRITE_TIMEOUT_SECONDS = 10; // for a peer that reads nothing
    private static final int MIN_STALL_MS = 1_000; // a caller that reads nothing for longer may be closed
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int BACKLOG = 4_096;
    private static final long MAX_WAIT_TENTHS_MS = 10_000; // upper bound of one wait for events

    private Config config;
    private final EventQueue eventQueue = new EventQueue();
    private final ArrayDeque<Runnable> ownEvents = new ArrayDeque<>(); // queued by the decision thread itself
    private final Map<ConnectionId, IoSession> callers = new HashMap<>();
    private final Map<LinkId, Long> connectingSince =
            new LinkedHashMap<>(); // start of each connection attempt, oldest first
    private final Map<LinkId, IoSession> peers = new HashMap<>();
    private final Map<IoSession, ByteArrayOutputStream> pendingOutput = new LinkedHashMap<>();
    private final Set<IoSession> pendingHalfCloses = new LinkedHashSet<>();
    private final Set<IoSession> backloggedCallers = new LinkedHashSet<>(); // callers over the limit of unwritten bytes
    private final SocketFailures failures = new SocketFailures();
    private final Executor processorThreads = Executors.newCachedThreadPool();
    // Peers have an I/O thread of their own, so that a flood of callers cannot delay them.
    private IoProcessor<NioSession> peerProcessor;
    private final CompletableFuture<Void> listenerClosed = new CompletableFuture<>();
    private final GatedAcceptor acceptor;
    private PeerConnector connector;
    private NioDatagramConnector datagramConnector;
    private final long startNanos = System.nanoTime();
    private final long startedAt = wallClock();
    private final Thread decisionThread = Thread.currentThread();
    private final Backend backend;
    private IoSession reportSession;
    private long reportConnectingSince; // start of the attempt to connect, 0 for none
    private Runnable addressRefresh = () -> {};
    private InetSocketAddress fleetKernelAddress; // set by a revision of the fleet, null for the configured address
    private InetSocketAddress fleetAnnounceAddress; // likewise

    /** A server without a result store. The constructing thread is its decision thread and has to call {@link #run}. */
    public Server(Config config) {
        this(config, server -> null);
    }

    /** Creates the result store, which retains results across restarts. */
    public interface ResultStoreFactory {
        /**
         * Returns null for a server that retains no results.
         *
         * @param decisionThread runs tasks on the decision thread
         */
        ResultStore create(Executor decisionThread) throws IOException;
    }

    /**
     * A server whose decision thread is the one that constructs it, and that has to call {@link #run}.
     *
     * @param resultStoreFactory called once, by this constructor
     */
    public Server(Config config, ResultStoreFactory resultStoreFactory) {
        this.config = config;
        try {
            backend = new Backend(this, config, now(), startedAt, resultStoreFactory.create(this::enqueue));
            acceptor = new GatedAcceptor(
                    new CallerProcessor(processorThreads, failures),
                    Backend.maxCallerConnections(config.maxSockets),
                    () -> enqueue(backend::connectionLimitReached),
                    failures);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts to listen. The only failure that is passed on is that of the listener, for example an address in use. */
    public void bind() throws IOException {
        acceptor.getSessionConfig().setMaxReadBufferSize(MAX_READ_BYTES);
        acceptor.getSessionConfig().setWriteTimeout(0); // a caller that reads slowly still gets all its answers
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.setCloseOnDeactivation(false); // otherwise closing the listener would reset every caller
        acceptor.setHandler(callerHandler());
        addCounters("failed_", failures::counts);
        addCounters("callers_", this::pendingBytes);
        openPeerConnectors();
        acceptor.bind(config.listen);
    }

    private void openPeerConnectors() {
        peerProcessor = new SocketProcessor(processorThreads, failures);
        connector = new PeerConnector(peerProcessor, failures);
        datagramConnector = new NioDatagramConnector(peerProcessor);
        configure(connector.getSessionConfig());
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.setConnectTimeoutMillis(CONNECT_TIMEOUT_MS);
        connector.setHandler(peerHandler());
        datagramConnector.setHandler(reportHandler());
        reportSession = null;
        reportConnectingSince = 0;
    }

    /**
     * Replaces the connectors if they are stuck. MINA reports the success or failure of each connection attempt within
     * the timeout. If it does not, its threads for the peers have ended or hang, and no peer could be reached any more.
     * Links that are up stay with the old processor.
     */
    private void replaceStuckConnectors() {
        long before = now() - 2 * 10L * CONNECT_TIMEOUT_MS;
        boolean stuck = !connectingSince.isEmpty()
                        && connectingSince.values().iterator().next() < before
                || reportConnectingSince > 0 && reportConnectingSince < before;
        if (stuck) {
            LOG.error("the sockets to the peers are stuck and are made anew");
            connector.dispose();
            datagramConnector.dispose();
            openPeerConnectors();
            List<LinkId> unopened = List.copyOf(connectingSince.keySet());
            connectingSince.clear();
            unopened.forEach(link -> backend.linkDown(link, true));
        }
    }

    private static void configure(IoSessionConfig sessionConfig) {
        sessionConfig.setMaxReadBufferSize(MAX_READ_BYTES);
        sessionConfig.setWriteTimeout(WRITE_TIMEOUT_SECONDS);
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
                processBatch(batch);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                // The process has to survive any failure here, as callers depend on it.
                LOG.error("processing a batch of events failed", e);
            }
        }
    }

    private void processBatch(List<Runnable> batch) throws InterruptedException {
        batch.clear();
        long wait = ownEvents.isEmpty() ? Math.min(MAX_WAIT_TENTHS_MS, backend.nextDeadline() - now()) : 0;
        eventQueue.take(batch, wait * 100_000);
        batch.addAll(ownEvents);
        ownEvents.clear();
        backend.updateClock(now(), wallClock());
        for (Runnable event : batch) {
            try {
                event.run();
            } catch (RuntimeException | Error e) {
                LOG.error("an event was skipped because processing it failed", e);
            }
        }
        backend.runDue();
        replaceStuckConnectors();
        writeOutput();
    }

    private long now() {
        return startedAt + (System.nanoTime() - startNanos) / 100_000;
    }

    /** Tenths of a millisecond since 1970, rounded up, so that ages are rounded up and remaining times down. */
    private static long wallClock() {
        Instant t = Instant.now();
        return t.getEpochSecond() * 10_000 + (t.getNano() + 99_999) / 100_000;
    }

    /** Queues an event for the decision thread. Any thread may call it; its own events need no lock. */
    private void enqueue(Runnable event) {
        if (Thread.currentThread() == decisionThread) {
            ownEvents.add(event);
        } else {
            eventQueue.put(event);
        }
    }

    static EventQueue.Inbox inbox(IoSession session) {
        return (EventQueue.Inbox) session.getAttribute(INBOX);
    }

    private static EventQueue.Inbox newInbox(IoSession session) {
        EventQueue.Inbox inbox = new EventQueue.Inbox(session::suspendRead, () -> resume(session));
        session.setAttribute(INBOX, inbox);
        return inbox;
    }

    /** Queues an event of a caller's connection behind the earlier ones of that connection. */
    private void enqueue(IoSession caller, Runnable event) {
        eventQueue.put(inbox(caller), event);
    }

    /** Wakes MINA's thread too, which would otherwise notice only on its next pass that it may read again. */
    private static void resume(IoSession session) {
        session.resumeRead();
        ((NioSession) session).getProcessor().flush((NioSession) session);
    }

    private void writeOutput() {
        pendingOutput.forEach((session, bytes) -> {
            session.setAttribute(
                    BYTES_BEFORE_LAST_WRITE, session.getScheduledWriteBytes() == 0 ? session.getWrittenBytes() : -1L);
            if (pendingHalfCloses.contains(session)) {
                session.setAttribute(WAKE_WHEN_SENT);
            }
            session.write(IoBuffer.wrap(bytes.toByteArray()));
            if (session.getScheduledWriteBytes() > MAX_UNWRITTEN_BYTES && session.getAttribute(CONNECTION) != null) {
                session.setAttribute(WAKE_WHEN_SENT);
                backloggedCallers.add(session);
                eventQueue.setOutputBacklogged(inbox(session), true);
            }
        });
        pendingOutput.clear();
        checkBackloggedCallers();
        pendingHalfCloses.removeIf(
                session -> !session.isConnected() || session.getScheduledWriteBytes() == 0 && shutdownOutput(session));
    }

    /** Whether no byte of the last output for this session has left the process. */
    private boolean nothingSent(IoSession session) {
        return pendingOutput.remove(session) != null
                || session.getAttribute(BYTES_BEFORE_LAST_WRITE) instanceof Long before
                        && before == session.getWrittenBytes();
    }

    /**
     * Resumes reading from callers whose output has been sent. If the unwritten output of all takes too much memory,
     * closes the connection with the most of it.
     */
    private void checkBackloggedCallers() {
        backloggedCallers.removeIf(session -> {
            boolean resumed = !session.isConnected() || session.getScheduledWriteBytes() <= MAX_UNWRITTEN_BYTES;
            if (resumed) {
                eventQueue.setOutputBacklogged(inbox(session), false);
            }
            return resumed;
        });
        long totalBytes = backloggedCallers.stream()
                .mapToLong(IoSession::getScheduledWriteBytes)
                .sum();
        if (totalBytes > MAX_TOTAL_UNWRITTEN_BYTES) {
            IoSession largest = backloggedCallers.stream()
                    .max(Comparator.comparingLong(IoSession::getScheduledWriteBytes))
                    .orElseThrow();
            LOG.warn("a connection is closed: answers that are not read take too much memory");
            backend.closedWithUnreadAnswers();
            largest.closeNow();
        }
    }

    /**
     * Half-closes the connection. A full close would reset it if unread bytes were in the socket or arrived a moment
     * later, and the peer would lose what it had not read yet. MINA has no such operation, so the session's channel is
     * used.
     */
    private static boolean shutdownOutput(IoSession session) {
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

    /** Whether the caller is known to have ended its connection, so that what it sent before is not to run any more. */
    private static boolean hasLeft(IoSession caller) {
        return caller.isClosing() || EventQueue.hasInputEnded(inbox(caller));
    }

    private IoHandler callerHandler() {
        return new Handler() {
            @Override
            public void sessionCreated(IoSession session) {
                newInbox(session);
            }

            @Override
            public void sessionOpened(IoSession session) {
                enqueue(session, () -> {
                    ConnectionId slot = backend.accepted();
                    session.setAttribute(CONNECTION, slot);
                    callers.put(slot, session);
                });
            }

            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                if (!channel(session).socket().isOutputShutdown()) {
                    enqueue(backend::connectionReset); // after our half-close some callers reply with a reset, which
                    // is not counted
                }
                super.exceptionCaught(session, cause);
            }

            @Override
            public void messageSent(IoSession session, Object message) {
                if (session.containsAttribute(WAKE_WHEN_SENT)) {
                    enqueue(() -> {}); // makes the decision thread check what has been sent
                }
            }

            @Override
            public void messageReceived(IoSession session, Object message) {
                ByteBuffer bytes = ((IoBuffer) message).buf();
                boolean moreExpected = bytes.limit() == bytes.capacity(); // the chunk has filled its buffer
                enqueue(session, () -> {
                    if (session.getAttribute(CONNECTION) instanceof ConnectionId slot && !hasLeft(session)) {
                        backend.read(slot, bytes, moreExpected);
                    }
                });
                EventQueue.setReadInProgress(inbox(session), false);
            }

            @Override
            public void sessionClosed(IoSession session) {
                enqueue(session, () -> {
                    if (session.removeAttribute(CONNECTION) instanceof ConnectionId slot) {
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
                enqueue(() -> {
                    LinkId link = (LinkId) session.getAttribute(LINK);
                    if (connectingSince.remove(link) != null) {
                        peers.put(link, session);
                        backend.linkUp(link);
                    } else {
                        session.closeNow(); // dropped while it was being opened
                    }
                });
            }

            @Override
            public void messageReceived(IoSession session, Object message) {
                ByteBuffer bytes = ((IoBuffer) message).buf();
                eventQueue.putPeerChunk(inbox(session), () -> {
                    LinkId link = (LinkId) session.getAttribute(LINK);
                    if (peers.containsKey(link)) {
                        backend.read(link, bytes);
                    }
                });
            }

            @Override
            public void sessionClosed(IoSession session) {
                eventQueue.putPeerChunk(inbox(session), () -> {
                    LinkId link = (LinkId) session.getAttribute(LINK);
                    if (peers.remove(link) != null) {
                        backend.linkDown(link, nothingSent(session));
                    }
                });
            }
        };
    }

    private IoHandler reportHandler() {
        return new Handler() {
            @Override
            public void sessionClosed(IoSession session) {
                enqueue(() -> reportSession = reportSession == session ? null : reportSession);
            }
        };
    }

    // ---- requests of the backend

    @Override
    public void sendToCaller(ConnectionId caller, byte[] bytes) {
        to(callers.get(caller), bytes);
    }

    @Override
    public void halfCloseCaller(ConnectionId caller) {
        IoSession session = callers.get(caller);
        if (session != null) {
            pendingHalfCloses.add(session);
        }
    }

    @Override
    public boolean isQuiet(ConnectionId caller) {
        IoSession session = callers.get(caller);
        return session == null
                || !pendingOutput.containsKey(session)
                        && session.getScheduledWriteBytes() == 0
                        && SocketProcessor.unreadBytes((NioSession) session) == 0
                        && EventQueue.isEmpty(inbox(session));
    }

    /**
     * A request that arrives between the check and the half-close is not answered; that window is much shorter than a
     * batch.
     */
    @Override
    public boolean halfCloseIfQuiet(ConnectionId caller) {
        IoSession session = callers.get(caller);
        return session == null || isQuiet(caller) && shutdownOutput(session);
    }

    @Override
    public void closeCaller(ConnectionId caller) {
        IoSession session = callers.get(caller);
        if (session != null) {
            pendingOutput.remove(session);
            session.closeNow();
        }
    }

    @Override
    public boolean closeStuckCaller() {
        long before = System.currentTimeMillis() - MIN_STALL_MS;
        IoSession longestStalled = backloggedCallers.stream()
                .filter(s -> s.getLastWriteTime() < before)
                .min(Comparator.comparingLong(IoSession::getLastWriteTime))
                .orElse(null);
        if (longestStalled != null) {
            backloggedCallers.remove(longestStalled);
            longestStalled.closeNow();
        }
        return longestStalled != null;
    }

    /** Runs on a thread of its own, since MINA's unbind blocks until the listener is closed. */
    @Override
    public void stopListening() {
        Thread t = new Thread(
                () -> {
                    acceptor.unbind();
                    enqueue(backend::listenerClosed);
                    listenerClosed.complete(null);
                },
                "unbind");
        t.setDaemon(true);
        t.start();
    }

    @Override
    public boolean areCallersWaiting() {
        return acceptor.isSuspended();
    }

    @Override
    public void sendToPeer(LinkId link, byte[] bytes) {
        to(peers.get(link), bytes);
    }

    private void to(IoSession session, byte[] bytes) {
        if (session != null) {
            pendingOutput
                    .computeIfAbsent(session, s -> new ByteArrayOutputStream(bytes.length))
                    .writeBytes(bytes);
        }
    }

    @Override
    public void connect(LinkId link, Peer peer, InetSocketAddress at) {
        connectingSince.put(link, now());
        SocketAddress to = at != null
                ? at
                : peer == Peer.STORE ? config.store : fleetKernelAddress != null ? fleetKernelAddress : config.kernel;
        if (to == null) { // no store is configured as no workload was expected to call it, but a run does
            enqueue(() -> connectFailed(link));
            return;
        }
        connector
                .connect(to, (session, future) -> session.setAttribute(LINK, link))
                .addListener(future -> {
                    if (!((ConnectFuture) future).isConnected()) {
                        enqueue(() -> connectFailed(link));
                    }
                });
    }

    private void connectFailed(LinkId link) {
        if (connectingSince.remove(link) != null) {
            backend.linkDown(link, true);
        }
    }

    private InetSocketAddress announceAddress() {
        return fleetAnnounceAddress != null ? fleetAnnounceAddress : config.announce;
    }

    @Override
    public void setPeerAddresses(InetSocketAddress kernel, InetSocketAddress announce) {
        fleetKernelAddress = kernel;
        fleetAnnounceAddress = announce;
        peerAddressesChanged();
    }

    private void peerAddressesChanged() {
        if (reportSession != null) {
            reportSession.closeNow();
            reportSession = null;
        }
        backend.addressesChanged();
    }

    @Override
    public void closeLink(LinkId link) {
        connectingSince.remove(link);
        IoSession session = peers.remove(link);
        if (session != null) {
            pendingOutput.remove(session);
            session.closeNow();
        }
    }

    /** A report that cannot be sent now is dropped; the next one follows soon. */
    @Override
    public void sendReport(byte[] datagram) {
        if (reportSession != null) {
            reportSession.write(IoBuffer.wrap(datagram));
        } else if (reportConnectingSince == 0) {
            openReportSession(datagram);
        }
    }

    private void openReportSession(byte[] first) {
        SocketAddress to = announceAddress();
        try {
            ConnectFuture connectFuture = datagramConnector.connect(to);
            reportConnectingSince = now();
            connectFuture.addListener(future -> enqueue(() -> reportSessionOpened(connectFuture, to, first)));
        } catch (RuntimeException | Error e) {
            failures.add(SocketFailures.Call.CONNECT, e); // the JVM throws an Error if connect is interrupted (EINTR)
        }
    }

    private void reportSessionOpened(ConnectFuture connectFuture, SocketAddress to, byte[] first) {
        reportConnectingSince = 0;
        if (!connectFuture.isConnected()) {
            return;
        }
        if (!to.equals(announceAddress())) {
            connectFuture.getSession().closeNow(); // the service's address has changed in the meantime
            sendReport(first);
            return;
        }
        reportSession = connectFuture.getSession();
        reportSession.write(IoBuffer.wrap(first));
    }

    // ---- called by other threads

    /**
     * Sets what reads the peers' addresses again when a peer cannot be reached. To be called before {@link #run}.
     *
     * @param refresh called by the decision thread; must not block
     */
    public void lookAgain(Runnable refresh) {
        addressRefresh = refresh;
    }

    @Override
    public void recheckConfig() {
        addressRefresh.run();
    }

    /**
     * Takes over the addresses of the kernel, the store and the announce service; everything else stays as at the
     * start. Any thread may call it.
     */
    public void updatePeerAddresses(Config newConfig) {
        enqueue(() -> {
            if (newConfig.kernel.equals(config.kernel)
                    && Objects.equals(newConfig.store, config.store)
                    && newConfig.announce.equals(config.announce)) {
                return;
            }
            config = newConfig;
            peerAddressesChanged();
        });
    }

    /**
     * Begins to drain on the notice to shut down. The server accepts and answers until the end. Any thread may call it.
     */
    public void drain() {
        long noticeAt = now();
        enqueue(() -> backend.drain(noticeAt));
    }

    /**
     * Makes this server a member of a fleet. To be called before {@link #run}, by the decision thread.
     *
     * @param fleet the fleet's name
     * @param lingerDuration how long a connection counts for a tenant after its last query
     * @param minRetryInterval the minimum wait before an unanswered request to the fleet is repeated
     * @param withdrawnWhenOut whether the server withdraws completely while it is out of the fleet
     * @param disabledGuards guards that are disabled, for drills only
     */
    public void joinFleet(
            FleetClient client,
            String fleet,
            long lingerDuration,
            long minRetryInterval,
            boolean withdrawnWhenOut,
            Set<Guard> disabledGuards) {
        backend.joinFleet(
                client,
                fleet,
                this::enqueue,
                config.listen.getHostString() + ":" + config.listen.getPort(),
                lingerDuration,
                minRetryInterval,
                withdrawnWhenOut,
                config.seed,
                startedAt,
                disabledGuards);
    }

    /**
     * Tells the fleet that this server has answered everything, so that the fleet need not detect its end by itself.
     * Waits at most one second for the decision thread, which must not call it.
     */
    public void leaveFleet() {
        CompletableFuture<Void> left = new CompletableFuture<>();
        enqueue(() -> {
            backend.leaveFleet();
            left.complete(null);
        });
        left.completeOnTimeout(null, 1, TimeUnit.SECONDS).join();
    }

    /** Compares these settings with those in force from now on; null for none. Any thread may call it. */
    public void compareWith(Settings shadow) {
        enqueue(() -> backend.setShadowSettings(shadow));
    }

    /** Runs the action once the listener is closed and nobody can connect any more, or at once if it is. */
    public void onListenerClosed(Runnable action) {
        listenerClosed.thenRun(action);
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
    public void addCounters(String prefix, Supplier<Map<String, Long>> figures) {
        backend.counters().addSource(prefix, figures);
    }

    /**
     * Chunks from the peers, and closes of their links, that have arrived and are not processed yet. Any thread may
     * call it.
     */
    public int pendingPeerChunks() {
        return eventQueue.pendingPeerChunks();
    }

    /** The counters as one line of text. Waits at most one second for the decision thread, which must not call it. */
    public String counters() {
        CompletableFuture<String> line = new CompletableFuture<>();
        enqueue(() -> line.complete(backend.counters().line()));
        return line.completeOnTimeout("no counters: the server does not respond", 1, TimeUnit.SECONDS)
                .join();
    }
}
