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
 * The sockets round one backend. MINA's threads only lay down what arrived; one thread takes it up,
 * reads the clocks once, hands it to the backend, does what is due and writes what came of it.
 */
public final class Server implements Links {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final AttributeKey SLOT = new AttributeKey(Server.class, "slot");
    private static final AttributeKey LINK = new AttributeKey(Server.class, "link");
    private static final AttributeKey INBOX = new AttributeKey(Server.class, "inbox");
    private static final AttributeKey WRITTEN =
            new AttributeKey(Server.class, "written"); // bytes, before what was written last
    private static final AttributeKey WAITS = new AttributeKey(Server.class, "waits"); // for what was written to go out
    private static final int READ_MOST = 8 << 10; // a piece; a few of each caller lie here at the most
    private static final int UNWRITTEN_MOST =
            64 << 10; // of one connection, then it is not read until that has gone out
    private static final int UNWRITTEN_ALL = 4 << 20; // of all, then the one with most is closed
    private static final int WRITE_SECONDS = 10; // that a peer may take nothing
    private static final int NO_PROGRESS_MILLIS = 1_000; // then a caller that takes nothing may give way to others
    private static final int CONNECT_MILLIS = 2_000;
    private static final int BACKLOG = 4_096;
    private static final long FAR = 10_000; // no sleep is longer than a second

    private Config config;
    private final Arrivals arrived = new Arrivals();
    private final ArrayDeque<Runnable> own = new ArrayDeque<>(); // what the deciding thread told itself
    private final Map<ConnectionId, IoSession> callers = new HashMap<>();
    private final Map<LinkId, Long> opening = new LinkedHashMap<>(); // since when, the oldest first
    private final Map<LinkId, IoSession> peers = new HashMap<>();
    private final Map<IoSession, ByteArrayOutputStream> toWrite = new LinkedHashMap<>();
    private final Set<IoSession> toEnd = new LinkedHashSet<>();
    private final Set<IoSession> standing = new LinkedHashSet<>(); // callers with answers that do not go out
    // Peers have a thread of their own, so that no flood of callers stands before them.
    private final SocketFailures failures = new SocketFailures();
    private final Executor processorThreads = Executors.newCachedThreadPool();
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
    private long reportsOpening; // since when, 0 for not
    private Runnable lookAgain = () -> {};
    private InetSocketAddress kernelAt; // by a revision of the fleet, null for where it was configured
    private InetSocketAddress announceAt;

    /** Made and run by the thread that is to decide. */
    public Server(Config config) {
        this(config, server -> null);
    }

    /** Makes the result store on which results are kept over restarts, null for none. */
    public interface Shelves {
        ResultStore make(Executor deciding) throws IOException;
    }

    /** @param shelves given what runs news on the deciding thread, which is the one that makes this server */
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

    /** Listens; the address being taken is the one thing that ends the start. */
    public void bind() throws IOException {
        acceptor.getSessionConfig().setMaxReadBufferSize(READ_MOST);
        acceptor.getSessionConfig().setWriteTimeout(0); // one that reads slowly gets all its answers
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.setCloseOnDeactivation(false); // or the close of the listener would reset every caller
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
     * An opening ends in time, well or not, by MINA's word. Where that does not come, its threads for the peers have ended
     * or stand, and nothing would be reached any more: others take their place. Links that are up stay where they are.
     */
    private void lookAfterPeers() {
        long before = now() - 2 * 10L * CONNECT_MILLIS;
        boolean stuck = !opening.isEmpty() && opening.values().iterator().next() < before
                || reportsOpening > 0 && reportsOpening < before;
        if (stuck) {
            LOG.error("the sockets to the peers are stuck and are made anew");
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

    /** Where it listens. */
    public SocketAddress address() {
        return acceptor.getLocalAddress();
    }

    public void run() {
        backend.start();
        List<Runnable> batch = new ArrayList<>();
        while (true) {
            try {
                round(batch);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                // Whatever fails here must not end the process, which others count on.
                LOG.error("a round failed", e);
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
                LOG.error("news was passed over", e);
            }
        }
        backend.pass();
        lookAfterPeers();
        write();
    }

    private long now() {
        return startWall + (System.nanoTime() - startNanos) / 100_000;
    }

    /** Tenths of a millisecond since 1970, rounded up: ages come rounded up, dues down. */
    private static long wall() {
        Instant t = Instant.now();
        return t.getEpochSecond() * 10_000 + (t.getNano() + 99_999) / 100_000;
    }

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

    /** What a caller's connection tells, in its turn. */
    private void tell(IoSession caller, Runnable news) {
        arrived.put(inbox(caller), news);
    }

    /** MINA's thread sees only at its next turn that it may read again, so it is woken. */
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

    /** Whether nothing has left this process since the last time that something was to be written. */
    private boolean unwritten(IoSession session) {
        return toWrite.remove(session) != null
                || session.getAttribute(WRITTEN) instanceof Long before && before == session.getWrittenBytes();
    }

    /** Callers whose answers have gone out are read again; of those that take too much memory one is given up. */
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
            LOG.warn("a connection is closed: answers that are not read take too much memory");
            backend.unread();
            most.closeNow();
        }
    }

    /**
     * The end of what is written, where a close would reset the connection over bytes that lie unread, or come the next moment,
     * and take with it what the other side has not read yet. MINA has no word for it, its session gives the channel.
     */
    private static boolean endOutput(IoSession session) {
        try {
            channel(session).shutdownOutput();
        } catch (IOException e) {
            session.closeNow(); // it has ended by itself
        }
        return true;
    }

    private static SocketChannel channel(IoSession session) {
        return (SocketChannel) ((NioSession) session).getChannel();
    }

    // ---- what MINA's threads tell

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
                    tell(backend::reset); // else it is how some answer the end of our side
                }
                super.exceptionCaught(session, cause);
            }

            @Override
            public void messageSent(IoSession session, Object message) {
                if (session.containsAttribute(WAITS)) {
                    tell(() -> {}); // a round looks what has gone out
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
                        session.closeNow(); // dropped meanwhile
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

    // ---- what the core asks for

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

    /** Looked at and ended in one go: what comes in between has crossed by less than a round. */
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

    /** MINA waits until that is done, so another thread does it. */
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
        if (to == null) { // a run calls though no workload was to
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

    /** A report that cannot go out now is left out; the next one follows soon. */
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
            failures.add(
                    SocketFailures.Call.CONNECT, e); // the virtual machine throws an Error where connect is interrupted
        }
    }

    private void reportsOpened(ConnectFuture opening, SocketAddress to, byte[] first) {
        reportsOpening = 0;
        if (!opening.isConnected()) {
            return;
        }
        if (!to.equals(announceAt())) {
            opening.getSession().closeNow(); // the service has moved meanwhile
            report(first);
            return;
        }
        reports = opening.getSession();
        reports.write(IoBuffer.wrap(first));
    }

    // ---- from other threads

    /** What looks the addresses of the peers up again; to be called before it runs. */
    public void lookAgain(Runnable how) {
        lookAgain = how;
    }

    @Override
    public void lookAgain() {
        lookAgain.run();
    }

    /** Where the kernel, the store and the announce service are from now on; all else stays as at the start. */
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

    /** The notice to leave. Goes on accepting and answering to the very end. */
    public void drain() {
        tell(backend::drain);
    }

    /** This server is in a fleet; to be called before it runs. */
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

    /** All is answered: the fleet need not find out by itself that this server has ended. */
    public void leaveFleet() {
        CompletableFuture<Void> left = new CompletableFuture<>();
        tell(() -> {
            backend.leaveFleet();
            left.complete(null);
        });
        left.completeOnTimeout(null, 1, TimeUnit.SECONDS).join();
    }

    /** From now on these settings are watched beside those in force, null for none. */
    public void watch(Settings watched) {
        tell(() -> backend.watch(watched));
    }

    /** Has this done once nobody can connect any more. */
    public void whenListenerCloses(Runnable then) {
        listenerClosed.thenRun(then);
    }

    /** What lies between the callers' sockets and the decisions, either way. */
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

    /** Figures of something else that are to be printed with the counters; to be called before it runs. */
    public void counts(String prefix, Supplier<Map<String, Long>> figures) {
        backend.counters().also(prefix, figures);
    }

    /** Pieces of the peers, ends of their links too, that have arrived and that the deciding thread has not gone through. */
    public int peerPieces() {
        return arrived.peerPieces();
    }

    /** The counters as they are. */
    public String counters() {
        CompletableFuture<String> line = new CompletableFuture<>();
        tell(() -> line.complete(backend.counters().line()));
        return line.completeOnTimeout("no counters: the server is stuck", 1, TimeUnit.SECONDS)
                .join();
    }
}
