package tallyweir.backend;

import java.nio.ByteBuffer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.backend.Counters.Count;
import tallyweir.ids.JobId;
import tallyweir.ids.LinkId;
import tallyweir.kernel.Commands;
import tallyweir.kernel.NoticeReader;
import tallyweir.kernel.RunEnd;

/**
 * The link to the kernel. Checks the numbers of notices, reconnects after a break and recovers what may be lost with a
 * link. Runs on the backend's thread; times are in tenths of a millisecond.
 */
final class Kernel implements NoticeReader.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(Kernel.class);
    private static final long RECONNECT_DELAY_TENTHS_MS = 1_000; // a tenth of a second
    // Requests in a row; a time would also run down while this process is paused.
    private static final int MAX_UNANSWERED_GAUGE_REQUESTS = 20;
    // Half a second. A run whose reply was not lost usually makes its next call or ends within this time.
    private static final long PROGRESS_TIMEOUT_TENTHS_MS = 5_000;
    // A second: reports of the same start differ by less than this.
    private static final long START_TOLERANCE_TENTHS_MS = 10_000;
    private static final String RESUMED_TAG = "resumed";
    private static final String GAUGES_TAG_PREFIX = "g";
    private static final String HANDOVER_TAG_PREFIX = "h";

    private final Links links;
    private final LongSupplier linkNumbers;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final Runs runs;
    private final KernelCommands commands;
    private final RateLimitedLog warnings;
    private final PeerMonitor monitor;
    private NoticeReader notices;
    private LinkId link; // the link that is in use, or null
    private LinkId openingLink; // the link that is to replace it, or null
    private LinkHandover handover; // to a link that is open and is about to replace it, or null
    private boolean booted; // whether the kernel has reported its boot on the link that is in use
    private int linkGeneration; // number of links that have been in use so far
    private long openedAt; // when the link that is in use was opened
    private long kernelStartedAt = Long.MAX_VALUE / 2; // the kernel did not start later than this
    private long lastNoticeNumber;
    private long lastGaugesTag;
    private long lastHandoverTag;
    private int unansweredGaugeRequests;

    Kernel(Links links, LongSupplier numbers, Deadlines deadlines, Counters counters, Queries queries, Runs runs) {
        this.links = links;
        this.linkNumbers = numbers;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        this.runs = runs;
        warnings = new RateLimitedLog(Kernel.class, queries::now);
        commands = new KernelCommands(links, warnings);
        monitor = new PeerMonitor(links, deadlines, counters, Peer.KERNEL);
    }

    KernelCommands commands() {
        return commands;
    }

    // ---- the links

    void connect() {
        if (openingLink == null && handover == null) {
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
        if (handover != null) {
            links.closeLink(handover.replacement());
            cancelHandover();
        }
        connect();
    }

    /** A link is up. Returns false if it isn't a kernel link, like {@link #down} and {@link #read}. */
    boolean up(LinkId id) {
        if (!id.equals(openingLink)) {
            return false;
        }
        openingLink = null;
        monitor.reachable(queries.now());
        counters.add(Count.KERNEL_LINKS);
        if (booted) {
            startHandover(id);
        } else {
            switchTo(id);
        }
        return true;
    }

    /**
     * Starts to replace a working link. If it were closed at once, commands on their way would be lost, and nobody
     * could tell which.
     */
    private void startHandover(LinkId replacement) {
        counters.add(Count.KERNEL_HANDOVERS);
        String tag = HANDOVER_TAG_PREFIX + ++lastHandoverTag;
        commands.requestGauges(tag);
        commands.hold();
        handover = new LinkHandover(replacement, tag, deadlines, queries::now, this::handoverTimedOut);
    }

    private void handoverTimedOut() {
        counters.add(Count.KERNEL_HANDOVERS_UNCONFIRMED);
        warnings.warn("the kernel does not answer on the present link; it is replaced all the same");
        switchTo(handover.replacement());
    }

    /** The new link is not to be used: the present one stays in use. */
    private void cancelHandover() {
        handover.cancel();
        handover = null;
        commands.sendOn(link);
    }

    /** Uses a link that is up in place of the present one, if there is one. */
    private void switchTo(LinkId replacement) {
        if (handover != null) {
            handover.cancel();
            handover = null;
        }
        if (link != null) {
            links.closeLink(link);
        }
        commands.linkEnded();
        link = replacement;
        linkGeneration++;
        unansweredGaugeRequests = 0;
        booted = false;
        notices = new NoticeReader(this);
        openedAt = queries.now();
        links.sendToPeer(link, Commands.open(lastNoticeNumber));
    }

    boolean down(LinkId id) {
        if (id.equals(openingLink)) {
            openingLink = null;
            reconnectLater();
        } else if (handover != null && id.equals(handover.replacement())) {
            cancelHandover();
            reconnectLater();
        } else if (id.equals(link)) {
            linkLost();
        } else {
            return false;
        }
        return true;
    }

    private void reconnectLater() {
        monitor.unreachable(queries.now());
        deadlines.set(queries.now() + RECONNECT_DELAY_TENTHS_MS, this::connect);
    }

    /** Reconnects, at once if the link was in use: a broken link doesn't mean that the kernel or its runs have ended. */
    private void linkLost() {
        boolean reconnectNow = booted;
        link = null;
        booted = false;
        commands.linkEnded();
        if (handover != null) {
            switchTo(handover.replacement());
        } else if (reconnectNow) {
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
        if (handover != null && handover.isConfirmed()) {
            switchTo(handover.replacement());
        }
        return true;
    }

    /** Requests the gauges if a link is up. */
    void requestGauges() {
        // Detects a link whose other end has silently gone. No notice is lost: the kernel repeats them on the new link.
        if (link != null && ++unansweredGaugeRequests > MAX_UNANSWERED_GAUGE_REQUESTS) {
            onInvalidStream("nothing received after " + MAX_UNANSWERED_GAUGE_REQUESTS + " gauge requests");
        }
        commands.requestGauges(GAUGES_TAG_PREFIX + ++lastGaugesTag);
    }

    // ---- notices

    @Override
    public void onBooted(boolean fresh, long before) {
        booted = true;
        LOG.atInfo()
                .addKeyValue("since_ms", before / 10)
                .addKeyValue("at_start", fresh ? "cold" : "warm")
                .log("the kernel is up");
        if (hasRestarted(before)) {
            // Its notice numbers start again and none of the earlier runs is left.
            lastNoticeNumber = 0;
            commands.discardWaiting();
            runs.kernelLost();
            kernelStartedAt = Long.MAX_VALUE / 2;
        }
        kernelStartedAt = Math.min(kernelStartedAt, queries.now() - before);
        commands.sendOn(link);
        if (linkGeneration > 1) {
            commands.requestGauges(RESUMED_TAG); // its reply comes after all repeated notices
        }
        queries.kernelBooted(fresh, before);
    }

    /**
     * Whether another kernel answers than before. The report may lie unread while this process is paused, so its time of reading
     * tells only that the kernel did not start later. It was written after the link was opened, so it did not start earlier
     * than by that time.
     */
    private boolean hasRestarted(long before) {
        return openedAt - before > kernelStartedAt + START_TOLERANCE_TENTHS_MS;
    }

    /**
     * Recovers the commands that may be lost, once all notices of the time without a link have been read. Runs of harmless
     * queries and stops are sent again, which has no effect on a run that has already got them. A run with an effect could
     * end just before it is requested again, and would run twice: it is left to {@link OverdueRuns}.
     */
    private void recoverUncertainCommands() {
        for (InFlight inFlight : runs.inProgress()) {
            if (Delivery.isUncertain(inFlight.runDelivery) && inFlight.pendingCall == null) {
                recoverRun(inFlight);
            }
            if (Delivery.isUncertain(inFlight.replyDelivery)) {
                runs.uncertain(inFlight);
                awaitProgress(inFlight);
            }
            if (Delivery.isUncertain(inFlight.stopDelivery)) {
                commands.stop(inFlight);
            }
        }
    }

    private void recoverRun(InFlight inFlight) {
        if (inFlight.isHarmless()) {
            commands.run(inFlight);
        } else {
            runs.uncertain(inFlight);
        }
    }

    /**
     * Gives a run time to show that it got the reply to its call. The reply is never sent again: it names only the job, so
     * a run that did get it would take a copy for the reply to its next call.
     */
    private void awaitProgress(InFlight inFlight) {
        counters.add(Count.KERNEL_REPLIES_UNCERTAIN);
        Delivery reply = inFlight.replyDelivery;
        deadlines.set(queries.now() + PROGRESS_TIMEOUT_TENTHS_MS, () -> {
            // Without a link, what the run has done since may not have been read yet; the next link is followed by
            // another wait.
            if (booted && inFlight.running && inFlight.replyDelivery == reply) {
                queries.stopStuckRun(inFlight);
            }
        });
    }

    /** Counts a notice; returns false if it has been received before. */
    private boolean countNotice(long n) {
        if (n <= lastNoticeNumber) {
            counters.add(Count.KERNEL_NOTICES_REPEATED);
            return false;
        }
        if (n > lastNoticeNumber + 1) {
            counters.add(Count.KERNEL_NOTICES_MISSED);
            runs.noticesMissed();
        }
        lastNoticeNumber = n;
        counters.add(Count.KERNEL_NOTICES);
        return true;
    }

    @Override
    public void onRunEnded(long n, JobId job, RunEnd end, byte[] result) {
        if (countNotice(n)) {
            runs.ended(job, end, result);
        }
    }

    @Override
    public void onCall(long n, JobId job, byte[] body) {
        if (countNotice(n)) {
            runs.blockedOnCall(job, body);
        }
    }

    @Override
    public void onGauges(String ref, double[] values) {
        commands.gaugesAnswered(ref);
        if (handover != null) {
            handover.answered(ref);
        }
        if (ref.equals(RESUMED_TAG)) {
            recoverUncertainCommands();
        } else if (ref.equals(GAUGES_TAG_PREFIX + lastGaugesTag)) {
            counters.add(Count.GAUGES_READ);
            queries.gaugesReceived(values);
        }
    }

    @Override
    public void onCommandFailed(String command, JobId job) {
        counters.add(Count.RUNS_NOT_DONE);
        warnings.warn("kernel: " + command + " of " + job.value() + " was not carried out");
        if (command.equals("SCHED")) {
            runs.rejected(job);
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
