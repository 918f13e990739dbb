package tallyweir.backend;

import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.announce.Report;
import tallyweir.backend.Counters.Count;
import tallyweir.config.Config;
import tallyweir.config.Settings;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.Guard;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;
import tallyweir.results.ResultStore;

/**
 * One backend without its sockets: input is passed to these methods, output is sent through {@link Links}. Called by
 * one thread only, with {@link #updateClock} before each round of input. All times are in tenths of a millisecond. An exception
 * in the handling of one input is logged and counted, not thrown to the caller.
 */
public final class Backend {
    private static final Logger LOG = LoggerFactory.getLogger(Backend.class);
    // The announce service drops a server that is silent for three seconds. At this interval a dozen reports in a row
    // have to be lost for that.
    private static final long REPORT_INTERVAL_TENTHS_MS = 2_500;
    private static final int STORE_SOCKETS_DIVISOR = 8; // one in eight sockets is reserved for links to the store
    // Descriptors of the process itself: sixteen for its files, selectors and listener, two for links to the kernel,
    // one
    // each for the reports and the configuration file, and some for connections that are being closed.
    private static final int RESERVED_SOCKETS = 24;
    private static final int OVERFLOW_CONNECTIONS_DIVISOR =
            8; // one in eight caller connections is accepted only until idle ones have been closed

    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final Links links;
    private final String name;
    private final long stopTimeout;
    private final Queries queries;
    private long now;

    /** Creates a backend that retains no results over restarts. */
    public Backend(Links links, Config config, long now, long wall) {
        this(links, config, now, wall, null);
    }

    /**
     * Creates a backend.
     *
     * @param now monotonic time in tenths of a millisecond
     * @param wall Unix time in tenths of a millisecond
     * @param resultStore retains results of queries with an effect over restarts, null to retain none
     */
    public Backend(Links links, Config config, long now, long wall, ResultStore resultStore) {
        this.links = links;
        this.now = now;
        name = config.name;
        stopTimeout = config.shutdownTimeoutTenthsMs;
        queries = new Queries(
                links,
                deadlines,
                counters,
                config.settings,
                connectionLimits(config.maxSockets),
                config.maxSockets / STORE_SOCKETS_DIVISOR,
                config.seed,
                now,
                resultStore);
        queries.updateClock(now, wall);
    }

    /** Connects to the kernel and starts reporting to the announce service. */
    public void start() {
        runGuarded(() -> queries.kernel().connect());
        runGuarded(this::sendReport);
    }

    public Counters counters() {
        return counters;
    }

    /**
     * Sets the time for the input that follows.
     *
     * @param now monotonic time in tenths of a millisecond; an earlier time than before is ignored
     * @param wall Unix time in tenths of a millisecond, rounded up
     */
    public void updateClock(long now, long wall) {
        this.now = Math.max(this.now, now);
        queries.updateClock(this.now, wall);
        if (queries.fleet() != null) {
            runGuarded(() -> queries.fleet().clock(this.now));
        }
    }

    /** When {@link #runDue} next has something to do, Long.MAX_VALUE for never. */
    public long nextDeadline() {
        return deadlines.nextAt();
    }

    /** Runs all actions whose deadline has passed. */
    public void runDue() {
        for (Runnable action = deadlines.pollDue(now); action != null; action = deadlines.pollDue(now)) {
            runGuarded(action);
        }
    }

    /** Maximum number of simultaneous caller connections for a process with this many sockets. */
    public static int maxCallerConnections(int sockets) {
        return sockets - sockets / STORE_SOCKETS_DIVISOR - RESERVED_SOCKETS;
    }

    private static ConnectionLimits connectionLimits(int sockets) {
        int max = maxCallerConnections(sockets);
        return new ConnectionLimits(max - max / OVERFLOW_CONNECTIONS_DIVISOR, max);
    }

    /** Registers a new caller connection and returns its slot, or null if there is none left. */
    public ConnectionId accepted() {
        return queries.connections().onAccepted();
    }

    /** No more connections can be accepted: callers wait until others have been closed. */
    public void connectionLimitReached() {
        runGuarded(() -> queries.connections().onTableFull());
    }

    /** The listener is closed: nobody can connect any more. */
    public void listenerClosed() {
        runGuarded(() -> queries.connections().closeAllForShutdown());
    }

    /** Counts a connection that its peer has reset, or that failed on a read or a write. */
    public void connectionReset() {
        counters.add(Count.CONNECTIONS_RESET);
    }

    /** Counts a connection that was closed because answers its caller didn't read took too much memory. */
    public void closedWithUnreadAnswers() {
        counters.add(Count.CONNECTIONS_CLOSED_UNREAD);
    }

    /** Handles bytes from a caller after which none are unread. */
    public void read(ConnectionId caller, ByteBuffer bytes) {
        read(caller, bytes, false);
    }

    /**
     * Handles bytes from a caller.
     *
     * @param moreExpected whether further bytes of it are likely to be unread
     */
    public void read(ConnectionId caller, ByteBuffer bytes, boolean moreExpected) {
        runGuarded(() -> queries.connections().read(caller, bytes, moreExpected));
    }

    /** A caller's connection is closed. */
    public void closed(ConnectionId caller) {
        runGuarded(() -> queries.connections().onClosed(caller));
    }

    /** A link to the kernel or the store is open. */
    public void linkUp(LinkId link) {
        runGuarded(() -> {
            if (!queries.kernel().up(link)) {
                queries.store().onLinkUp(link);
            }
        });
    }

    /**
     * A link to the kernel or the store has failed to open or has broken.
     *
     * @param unwritten whether nothing of the last write to it has left this process
     */
    public void linkDown(LinkId link, boolean unwritten) {
        runGuarded(() -> {
            if (!queries.kernel().down(link)) {
                queries.store().onLinkDown(link, unwritten);
            }
        });
    }

    /** Handles bytes from the kernel or the store. */
    public void read(LinkId link, ByteBuffer bytes) {
        runGuarded(() -> {
            if (!queries.kernel().read(link, bytes)) {
                queries.store().read(link, bytes);
            }
        });
    }

    /** The peers' addresses have changed; links opened from now on use the new ones. */
    public void addressesChanged() {
        runGuarded(() -> queries.kernel().addressChanged());
        runGuarded(() -> queries.store().onAddressChanged());
        if (queries.isAnnounced()) {
            runGuarded(() -> links.sendReport(Report.encode(name, !queries.isDraining())));
        }
    }

    /**
     * Makes this server a member of a fleet. Called before {@link #start}.
     *
     * @param fleet name of the fleet
     * @param deciding runs work on the backend's thread
     * @param listen address that callers connect to
     * @param linger how long a connection counts for a tenant after its last query
     * @param minRetryDelay minimum delay before an unanswered request to the fleet service is sent again
     * @param withdrawFully whether a server that the fleet has taken out is withdrawn completely, or goes on without
     *     what the fleet lent it
     * @param incarnation of this process: higher than that of the process before it
     * @param disabledGuards guards that are disabled, for tests and drills only
     */
    public void joinFleet(
            FleetClient client,
            String fleet,
            Executor deciding,
            String listen,
            long linger,
            long minRetryDelay,
            boolean withdrawFully,
            long seed,
            long incarnation,
            Set<Guard> disabledGuards) {
        queries.joinFleet(new FleetMembership(
                queries,
                links,
                deadlines,
                client,
                fleet,
                deciding,
                name,
                listen,
                linger,
                minRetryDelay,
                withdrawFully,
                seed,
                now,
                incarnation,
                disabledGuards));
    }

    /** Tells the fleet that this server has answered all queries and is about to exit. */
    public void leaveFleet() {
        if (queries.fleet() != null) {
            queries.fleet().leave();
        }
    }

    /** Sets the shadow settings, compared beside those in force; null for none. */
    public void setShadowSettings(Settings watched) {
        runGuarded(() -> queries.setShadowSettings(watched));
    }

    /**
     * Starts the shutdown: pending queries are answered, callers disconnected and the listener closed.
     *
     * @param noticeAt monotonic time at which the notice to shut down came, in tenths of a millisecond
     */
    public void drain(long noticeAt) {
        runGuarded(() -> queries.drain(noticeAt, stopTimeout));
    }

    private void sendReport() {
        deadlines.set(now + REPORT_INTERVAL_TENTHS_MS, this::sendReport);
        if (queries.isAnnounced()) { // a withdrawn server lets its entry at the announce service expire
            links.sendReport(Report.encode(name, !queries.isDraining()));
            counters.add(Count.REPORTS_SENT);
        }
    }

    /** Runs one piece of work; an exception in it is logged and counted and doesn't affect the rest. */
    private void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            counters.add(Count.FAULTS);
            LOG.error("unexpected exception; the input that caused it was skipped", e);
        }
    }
}
