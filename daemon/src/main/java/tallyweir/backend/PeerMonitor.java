package tallyweir.backend;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.backend.Counters.Count;

/**
 * Detects that a peer is unreachable and has the configuration read again, with increasing delays and without end: the
 * notice of a changed address may have been lost, or the file may have been incomplete when it came. Does nothing while
 * the peer is reachable. Runs on the backend's thread; times are in tenths of a millisecond.
 */
final class PeerMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(PeerMonitor.class);
    // A second: a kernel that restarts is reachable again by then.
    private static final long FIRST_CHECK_DELAY_TENTHS_MS = 10_000;
    private static final int MAX_DOUBLINGS = 5; // after which the delay is about half a minute

    private final Links links;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Peer peer;
    // Since when the peer has been unreachable, -1 while it is reachable.
    private long unreachableSince = -1;
    private int checks;
    private Deadlines.Deadline nextCheck;

    PeerMonitor(Links links, Deadlines deadlines, Counters counters, Peer peer) {
        this.links = links;
        this.deadlines = deadlines;
        this.counters = counters;
        this.peer = peer;
    }

    /** The peer was found to be unreachable. */
    void unreachable(long now) {
        if (unreachableSince < 0) {
            unreachableSince = now;
            scheduleCheck(now);
        }
    }

    /** The peer is reachable. */
    void reachable(long now) {
        if (checks > 0) {
            LOG.atInfo()
                    .addKeyValue("peer", peer)
                    .addKeyValue("after_ms", (now - unreachableSince) / 10)
                    .log("a peer is there again");
        }
        unreachableSince = -1;
        checks = 0;
        deadlines.cancel(nextCheck);
        nextCheck = null;
    }

    private void scheduleCheck(long now) {
        long at = now + (FIRST_CHECK_DELAY_TENTHS_MS << Math.min(MAX_DOUBLINGS, checks));
        nextCheck = deadlines.set(at, () -> check(at));
    }

    private void check(long now) {
        checks++;
        counters.add(Count.PEERS_MISSED);
        LOG.atWarn()
                .addKeyValue("peer", peer)
                .addKeyValue("for_ms", (now - unreachableSince) / 10)
                .log("a peer cannot be reached; retrying and reading the configuration again");
        scheduleCheck(now);
        links.recheckConfig();
    }
}
