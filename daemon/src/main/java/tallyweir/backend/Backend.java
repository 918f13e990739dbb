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
 * One backend without its sockets: what came in goes into one of these methods, what goes out leaves through
 * Links. All of it is called by one thread, with clock before each round. Nothing that fails in here gets out.
 */
public final class Backend {
    private static final Logger LOG = LoggerFactory.getLogger(Backend.class);
    // The announce service drops what is silent for three seconds, and reports get lost on their way: a dozen in
    // a row has to.
    private static final long REPORT_EVERY = 2_500;
    private static final int SOCKETS_STORE = 8; // one in so many is for links to the store,
    // so many for the process itself: sixteen of its files, selectors and its listener, two links to the kernel, the
    // reports, the configuration's file, and some for what is being closed.
    private static final int SOCKETS_OWN = 24;
    private static final int SOCKETS_APART =
            8; // of the rest, one in so many is let in only until others have given way

    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final Links links;
    private final String name;
    private final long stopAfter;
    private final Queries queries;
    private long now;

    /** One that keeps no results over restarts. */
    public Backend(Links links, Config config, long now, long wall) {
        this(links, config, now, wall, null);
    }

    /** @param resultStore where results of queries with an effect are kept over restarts, null for nowhere */
    public Backend(Links links, Config config, long now, long wall, ResultStore resultStore) {
        this.links = links;
        this.now = now;
        name = config.name;
        stopAfter = config.stopAfter;
        queries = new Queries(
                links,
                deadlines,
                counters,
                config.settings,
                connectionLimits(config.sockets),
                config.sockets / SOCKETS_STORE,
                config.seed,
                now,
                resultStore);
        queries.clock(now, wall);
    }

    public void start() {
        guard(() -> queries.kernel().connect());
        guard(this::report);
    }

    public Counters counters() {
        return counters;
    }

    /** Both in tenths of a millisecond; the first only goes forward, the second is the Unix clock, rounded up. */
    public void clock(long now, long wall) {
        this.now = Math.max(this.now, now);
        queries.clock(this.now, wall);
        if (queries.fleet() != null) {
            guard(() -> queries.fleet().clock(this.now));
        }
    }

    /** The moment at which pass has something to do. */
    public long next() {
        return deadlines.next();
    }

    /** Does all that is due. */
    public void pass() {
        for (Runnable due = deadlines.due(now); due != null; due = deadlines.due(now)) {
            guard(due);
        }
    }

    /** How many connections of callers there may be at once, of so many sockets. */
    public static int callersMost(int sockets) {
        return sockets - sockets / SOCKETS_STORE - SOCKETS_OWN;
    }

    private static ConnectionLimits connectionLimits(int sockets) {
        int most = callersMost(sockets);
        return new ConnectionLimits(most - most / SOCKETS_APART, most);
    }

    /** The slot of a new connection. */
    public ConnectionId accepted() {
        return queries.connections().accepted();
    }

    /** Nobody more is let in: callers wait until others have given way. */
    public void full() {
        guard(() -> queries.connections().full());
    }

    /** Nobody can connect any more. */
    public void listenerClosed() {
        guard(() -> queries.connections().leave());
    }

    /** The other side has reset a connection, or nothing can be read from it or written to it any more. */
    public void reset() {
        counters.add(Count.CONNECTIONS_RESET);
    }

    /** A connection was closed since answers that were not read took too much memory. */
    public void unread() {
        counters.add(Count.CONNECTIONS_CLOSED_UNREAD);
    }

    public void read(ConnectionId caller, ByteBuffer bytes) {
        guard(() -> queries.connections().read(caller, bytes));
    }

    public void closed(ConnectionId caller) {
        guard(() -> queries.connections().closed(caller));
    }

    public void up(LinkId link) {
        guard(() -> {
            if (!queries.kernel().up(link)) {
                queries.store().up(link);
            }
        });
    }

    /** @param unwritten nothing of what was last to be written on it has left this process */
    public void down(LinkId link, boolean unwritten) {
        guard(() -> {
            if (!queries.kernel().down(link)) {
                queries.store().down(link, unwritten);
            }
        });
    }

    public void read(LinkId link, ByteBuffer bytes) {
        guard(() -> {
            if (!queries.kernel().read(link, bytes)) {
                queries.store().read(link, bytes);
            }
        });
    }

    /** The peers have other addresses: what opens from now on opens there. */
    public void moved() {
        guard(() -> queries.kernel().moved());
        guard(() -> queries.store().moved());
        if (queries.announced()) {
            guard(() -> links.report(Report.of(name, !queries.draining())));
        }
    }

    /**
     * This server is in a fleet; before it starts.
     *
     * @param fleet its name
     * @param linger how long a connection counts for a tenant after its last query
     * @param again how long it waits at the least before it asks again what was not answered
     * @param backWhole whether it stands back whole while it is out
     * @param life of this process: higher than that of the one before it
     * @param without guards that are off, for checks only
     */
    public void joinFleet(
            FleetClient client,
            String fleet,
            Executor deciding,
            String listen,
            long linger,
            long again,
            boolean backWhole,
            long seed,
            long life,
            Set<Guard> without) {
        queries.joinFleet(new FleetMembership(
                queries, links, deadlines, client, fleet, deciding, name, listen, linger, again, backWhole, seed, now,
                life, without));
    }

    /** Tells the fleet that this server has answered all and ends. */
    public void leaveFleet() {
        if (queries.fleet() != null) {
            queries.fleet().leave();
        }
    }

    /** From now on other settings are watched, or none where there are none. */
    public void watch(Settings watched) {
        guard(() -> queries.watch(watched));
    }

    public void drain() {
        guard(() -> queries.drain(stopAfter));
    }

    private void report() {
        deadlines.set(now + REPORT_EVERY, this::report);
        if (queries.announced()) { // who stands back lets its announcing lapse
            links.report(Report.of(name, !queries.draining()));
            counters.add(Count.REPORTS_SENT);
        }
    }

    /** A fault in the handling of one thing leaves the rest as it was. */
    private void guard(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            counters.add(Count.FAULTS);
            LOG.error("a fault was passed over", e);
        }
    }
}
