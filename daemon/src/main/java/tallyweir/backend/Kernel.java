package tallyweir.backend;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.backend.Counters.Count;
import tallyweir.ids.JobId;
import tallyweir.ids.LinkId;
import tallyweir.kernel.Commands;
import tallyweir.kernel.NoticeReader;

/**
 * The link to the kernel. Checks the numbers of notices, holds commands until a link is up and reconnects after a
 * break. Runs on the backend's thread; times are in tenths of a millisecond.
 */
final class Kernel implements NoticeReader.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(Kernel.class);
    private static final int MAX_WAITING_COMMANDS = 4_000;
    private static final long RECONNECT_DELAY_TENTHS_MS = 1_000; // a tenth of a second
    // Requests in a row; a time would also run down while this process is paused.
    private static final int MAX_UNANSWERED_GAUGE_REQUESTS = 20;
    // Commands sent within this time before a break may not have arrived.
    private static final long MAYBE_LOST_WINDOW_TENTHS_MS = 2_000;
    // A second: reports of the same start differ by less than this.
    private static final long START_TOLERANCE_TENTHS_MS = 10_000;
    private static final String RESUMED_REF = "resumed";

    private final Links links;
    private final LongSupplier linkNumbers;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final ArrayDeque<byte[]> waitingCommands = new ArrayDeque<>();
    private final RateLimitedLog warnings;
    private final PeerMonitor monitor;
    private NoticeReader notices;
    private LinkId link; // the link that is up, or null
    private LinkId openingLink; // the link that is to replace it, or null
    private boolean booted; // whether the kernel has reported its boot on the link that is up
    private int linkGeneration; // number of links that have been up so far
    private long lastUpAt; // when the previous link was last seen up
    private long kernelStartedAt = Long.MAX_VALUE / 2; // start time reported by the kernel
    private long lastNoticeNumber;
    private long lastGaugesTag;
    private int unansweredGaugeRequests;

    Kernel(Links links, LongSupplier numbers, Deadlines deadlines, Counters counters, Queries queries) {
        this.links = links;
        this.linkNumbers = numbers;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        warnings = new RateLimitedLog(Kernel.class, queries::now);
        monitor = new PeerMonitor(links, deadlines, counters, Peer.KERNEL);
    }

    void connect() {
        if (openingLink == null) {
            openingLink = new LinkId(linkNumbers.getAsLong());
            links.connect(openingLink, Peer.KERNEL, null);
        }
    }

    /** The kernel has another address: the present link stays in use until the new one is up. */
    void addressChanged() {
        if (openingLink != null) {
            links.closeLink(openingLink);
            openingLink = null;
        }
        connect();
    }

    /** A link is up. Returns false if it isn't a kernel link, like {@link #down} and {@link #read}. */
    boolean up(LinkId id) {
        if (!id.equals(openingLink)) {
            return false;
        }
        if (link != null) {
            links.closeLink(link);
            lastUpAt = queries.now();
        }
        link = openingLink;
        openingLink = null;
        linkGeneration++;
        unansweredGaugeRequests = 0;
        booted = false;
        notices = new NoticeReader(this);
        monitor.reachable(queries.now());
        counters.add(Count.KERNEL_LINKS);
        links.sendToPeer(link, Commands.open(lastNoticeNumber));
        return true;
    }

    boolean down(LinkId id) {
        if (id.equals(openingLink)) {
            openingLink = null;
            monitor.unreachable(queries.now());
            deadlines.set(queries.now() + RECONNECT_DELAY_TENTHS_MS, this::connect);
        } else if (id.equals(link)) {
            linkLost();
        } else {
            return false;
        }
        return true;
    }

    /** Reconnects, at once if the link was in use: a broken link doesn't mean that the kernel or its runs have ended. */
    private void linkLost() {
        boolean reconnectNow = booted;
        link = null;
        booted = false;
        lastUpAt = queries.now();
        if (reconnectNow) {
            connect();
        } else {
            deadlines.set(queries.now() + RECONNECT_DELAY_TENTHS_MS, this::connect);
        }
    }

    boolean read(LinkId id, ByteBuffer bytes) {
        if (!id.equals(link)) {
            return false;
        }
        unansweredGaugeRequests = 0;
        notices.read(bytes);
        return true;
    }

    // ---- commands

    void run(InFlight inFlight) {
        inFlight.runLinkGeneration = nextLinkGeneration();
        send(Commands.run(inFlight.job, inFlight.workload.value(), inFlight.body));
    }

    void stop(InFlight inFlight) {
        inFlight.stopSentAt = queries.now();
        inFlight.stopLinkGeneration = nextLinkGeneration();
        send(Commands.stop(inFlight.job));
    }

    void reply(InFlight inFlight, byte[] body) {
        inFlight.lastReply = body;
        inFlight.replySentAt = queries.now();
        inFlight.replyLinkGeneration = nextLinkGeneration();
        send(Commands.reply(inFlight.job, body));
    }

    /** Generation of the link on which the next command is sent. */
    private int nextLinkGeneration() {
        return booted ? linkGeneration : linkGeneration + 1;
    }

    /** Requests the gauges if a link is up. */
    void requestGauges() {
        // Detects a link whose other end has silently gone. No notice is lost: the kernel repeats them on the new link.
        if (link != null && ++unansweredGaugeRequests > MAX_UNANSWERED_GAUGE_REQUESTS) {
            onInvalidStream("nothing received after " + MAX_UNANSWERED_GAUGE_REQUESTS + " gauge requests");
        }
        if (booted) {
            links.sendToPeer(link, Commands.gauges("g" + ++lastGaugesTag));
        }
    }

    private void send(byte[] command) {
        if (booted) {
            links.sendToPeer(link, command);
        } else if (waitingCommands.size() < MAX_WAITING_COMMANDS) {
            waitingCommands.add(command);
        } else {
            warnings.warn("no link to the kernel and too many commands are waiting; one was dropped");
        }
    }

    // ---- notices

    @Override
    public void onBooted(boolean fresh, long before) {
        booted = true;
        LOG.atInfo()
                .addKeyValue("since_ms", before / 10)
                .addKeyValue("at_start", fresh ? "cold" : "warm")
                .log("the kernel is up");
        if (queries.now() - before > kernelStartedAt + START_TOLERANCE_TENTHS_MS) {
            // The kernel has restarted: its notice numbers start again and none of the earlier runs is left.
            lastNoticeNumber = 0;
            waitingCommands.clear();
            queries.kernelLost();
        }
        kernelStartedAt = queries.now() - before;
        if (linkGeneration > 1) {
            links.sendToPeer(link, Commands.gauges(RESUMED_REF)); // its reply comes after all repeated notices
        }
        while (!waitingCommands.isEmpty()) {
            links.sendToPeer(link, waitingCommands.poll());
        }
        queries.kernelBooted(fresh, before);
    }

    /**
     * Sends again what may have been lost because it was sent shortly before the link broke: runs of harmless queries,
     * which has no effect on one that already runs; and stops and replies to calls, without which a run would stay
     * blocked for ever.
     */
    private void resendAfterReconnect() {
        for (InFlight inFlight : queries.runningQueries()) {
            if (inFlight.pendingCall == null
                    && inFlight.runLinkGeneration < linkGeneration
                    && queries.isHarmless(inFlight)) {
                run(inFlight);
            }
            if (inFlight.lastReply != null
                    && inFlight.replyLinkGeneration < linkGeneration
                    && inFlight.replySentAt >= lastUpAt - MAYBE_LOST_WINDOW_TENTHS_MS) {
                reply(inFlight, inFlight.lastReply);
            }
            if (inFlight.stopLinkGeneration > 0
                    && inFlight.stopLinkGeneration < linkGeneration
                    && inFlight.stopSentAt >= lastUpAt - MAYBE_LOST_WINDOW_TENTHS_MS) {
                stop(inFlight);
            }
        }
    }

    /** Counts a notice; returns false if it has been received before. */
    private boolean countNotice(long n) {
        if (n <= lastNoticeNumber) {
            counters.add(Count.KERNEL_NOTICES_REPEATED);
            return false;
        }
        if (n > lastNoticeNumber + 1) {
            counters.add(Count.KERNEL_NOTICES_MISSED);
        }
        lastNoticeNumber = n;
        counters.add(Count.KERNEL_NOTICES);
        return true;
    }

    @Override
    public void onRunEnded(long n, JobId job, String state, byte[] result) {
        if (countNotice(n)) {
            queries.runEnded(job, state, result);
        }
    }

    @Override
    public void onCall(long n, JobId job, byte[] body) {
        if (countNotice(n)) {
            queries.runBlockedOnCall(job, body);
        }
    }

    @Override
    public void onGauges(String ref, double[] values) {
        if (ref.equals(RESUMED_REF)) {
            resendAfterReconnect();
        } else if (ref.equals("g" + lastGaugesTag)) {
            counters.add(Count.GAUGES_READ);
            queries.gaugesReceived(values);
        }
    }

    @Override
    public void onCommandFailed(String command, JobId job) {
        counters.add(Count.RUNS_NOT_DONE);
        warnings.warn("kernel: " + command + " of " + job.value() + " was not carried out");
        if (command.equals("SCHED")) {
            queries.runRejected(job);
        }
    }

    @Override
    public void onMessage(long n, String text) {
        countNotice(n);
    }

    @Override
    public void onUnknownNotice(String reason) {
        counters.add(Count.KERNEL_NOTICES_UNKNOWN);
        warnings.warn("kernel: a line was passed over: " + reason);
    }

    @Override
    public void onInvalidStream(String reason) {
        warnings.warn("kernel: " + reason + "; reopening the link");
        links.closeLink(link);
        linkLost();
    }
}
