package tallyweir.backend;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.backend.Counters.Count;

/**
 * Notices that a peer cannot be reached and has the configuration looked at again, for ever, ever more seldom: the notice
 * of a move may not have come, or the file that it was about was not whole yet. While nothing is missing, nothing is done.
 */
final class PeerMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(PeerMonitor.class);
    private static final long FIRST_AFTER = 10_000; // a second: a kernel that starts anew is back by then
    private static final int DOUBLED_MOST = 5; // then every half minute

    private final Links links;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Peer peer;
    private long since = -1; // when it was last seen to be there, -1 while it is
    private int looks;
    private Deadlines.Deadline next;

    PeerMonitor(Links links, Deadlines deadlines, Counters counters, Peer peer) {
        this.links = links;
        this.deadlines = deadlines;
        this.counters = counters;
        this.peer = peer;
    }

    /** It was found not to be there. */
    void gone(long now) {
        if (since < 0) {
            since = now;
            later(now);
        }
    }

    /** It is there. */
    void there(long now) {
        if (looks > 0) {
            LOG.atInfo()
                    .addKeyValue("peer", peer)
                    .addKeyValue("after_ms", (now - since) / 10)
                    .log("a peer is there again");
        }
        since = -1;
        looks = 0;
        deadlines.cancel(next);
        next = null;
    }

    private void later(long now) {
        long at = now + (FIRST_AFTER << Math.min(DOUBLED_MOST, looks));
        next = deadlines.set(at, () -> look(at));
    }

    private void look(long now) {
        looks++;
        counters.add(Count.PEERS_MISSED);
        LOG.atWarn()
                .addKeyValue("peer", peer)
                .addKeyValue("for_ms", (now - since) / 10)
                .log("a peer cannot be reached; it is tried on, and the configuration is looked at again");
        later(now);
        links.lookAgain();
    }
}
