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
import tallyweir.kernel.Notices;

/**
 * The link to the kernel. Checks the numbers of notices, holds commands until a link is up and reconnects after a
 * break. Runs on the backend's thread; times are in tenths of a millisecond.
 */
final class Kernel implements Notices.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(Kernel.class);
    private static final int WAITING_MOST = 4_000;
    private static final long AGAIN_AFTER = 1_000; // a tenth of a second
    // Requests in a row; a time would also run down while this process is paused.
    private static final int UNHEARD_MOST = 20;
    // Commands sent within this time before a break may not have arrived.
    private static final long MAYBE_LOST = 2_000;
    // A second: reports of the same start differ by less than this.
    private static final long STARTS_APART = 10_000;
    private static final String RESUMED = "resumed";

    private final Links links;
    private final LongSupplier numbers;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    private final RateLimitedLog warnings;
    private final PeerMonitor monitor;
    private Notices notices;
    private LinkId link; // the link that is up, or null
    private LinkId opening; // the link that is to replace it, or null
    private boolean booted; // whether the kernel has reported its boot on the link that is up
    private int turn; // number of links that have been up so far
    private long lastUp; // when the previous link was last seen up
    private long started = Long.MAX_VALUE / 2; // start time reported by the kernel
    private long last;
    private long tag;
    private int unheard;

    Kernel(Links links, LongSupplier numbers, Deadlines deadlines, Counters counters, Queries queries) {
        this.links = links;
        this.numbers = numbers;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        warnings = new RateLimitedLog(Kernel.class, queries::now);
        monitor = new PeerMonitor(links, deadlines, counters, Peer.KERNEL);
    }

    void connect() {
        if (opening == null) {
            opening = new LinkId(numbers.getAsLong());
            links.connect(opening, Peer.KERNEL, null);
        }
    }

    /** The kernel has another address: the present link stays in use until the new one is up. */
    void moved() {
        if (opening != null) {
            links.drop(opening);
            opening = null;
        }
        connect();
    }

    /** A link is up. Returns false if it isn't a kernel link, like {@link #down} and {@link #read}. */
    boolean up(LinkId id) {
        if (!id.equals(opening)) {
            return false;
        }
        if (link != null) {
            links.drop(link);
            lastUp = queries.now();
        }
        link = opening;
        opening = null;
        turn++;
        unheard = 0;
        booted = false;
        notices = new Notices(this);
        monitor.there(queries.now());
        counters.add(Count.KERNEL_LINKS);
        links.to(link, Commands.open(last));
        return true;
    }

    boolean down(LinkId id) {
        if (id.equals(opening)) {
            opening = null;
            monitor.gone(queries.now());
            deadlines.set(queries.now() + AGAIN_AFTER, this::connect);
        } else if (id.equals(link)) {
            lost();
        } else {
            return false;
        }
        return true;
    }

    /** Reconnects, at once if the link was in use: a broken link doesn't mean that the kernel or its runs have ended. */
    private void lost() {
        boolean reconnectNow = booted;
        link = null;
        booted = false;
        lastUp = queries.now();
        if (reconnectNow) {
            connect();
        } else {
            deadlines.set(queries.now() + AGAIN_AFTER, this::connect);
        }
    }

    boolean read(LinkId id, ByteBuffer bytes) {
        if (!id.equals(link)) {
            return false;
        }
        unheard = 0;
        notices.read(bytes);
        return true;
    }

    // ---- commands

    void run(InFlight inFlight) {
        inFlight.sentOn = next();
        send(Commands.run(inFlight.job, inFlight.workload.value(), inFlight.body));
    }

    void stop(InFlight inFlight) {
        inFlight.stopAt = queries.now();
        inFlight.stopOn = next();
        send(Commands.stop(inFlight.job));
    }

    void reply(InFlight inFlight, byte[] body) {
        inFlight.reply = body;
        inFlight.replyAt = queries.now();
        inFlight.replyOn = next();
        send(Commands.reply(inFlight.job, body));
    }

    /** Generation of the link on which the next command is sent. */
    private int next() {
        return booted ? turn : turn + 1;
    }

    /** Requests the gauges if a link is up. */
    void askGauges() {
        // Detects a link whose other end has silently gone. No notice is lost: the kernel repeats them on the new link.
        if (link != null && ++unheard > UNHEARD_MOST) {
            bad("nothing received after " + UNHEARD_MOST + " gauge requests");
        }
        if (booted) {
            links.to(link, Commands.gauges("g" + ++tag));
        }
    }

    private void send(byte[] command) {
        if (booted) {
            links.to(link, command);
        } else if (waiting.size() < WAITING_MOST) {
            waiting.add(command);
        } else {
            warnings.warn("no link to the kernel and too many commands are waiting; one was dropped");
        }
    }

    // ---- notices

    @Override
    public void booted(boolean fresh, long before) {
        booted = true;
        LOG.atInfo()
                .addKeyValue("since_ms", before / 10)
                .addKeyValue("at_start", fresh ? "cold" : "warm")
                .log("the kernel is up");
        if (queries.now() - before > started + STARTS_APART) {
            // The kernel has restarted: its notice numbers start again and none of the earlier runs is left.
            last = 0;
            waiting.clear();
            queries.kernelLost();
        }
        started = queries.now() - before;
        if (turn > 1) {
            links.to(link, Commands.gauges(RESUMED)); // its reply comes after all repeated notices
        }
        while (!waiting.isEmpty()) {
            links.to(link, waiting.poll());
        }
        queries.kernelBooted(fresh, before);
    }

    /**
     * Sends again what may have been lost because it was sent shortly before the link broke: runs of harmless queries,
     * which has no effect on one that already runs; and stops and replies to calls, without which a run would stay
     * blocked for ever.
     */
    private void resumed() {
        for (InFlight inFlight : queries.running()) {
            if (inFlight.call == null && inFlight.sentOn < turn && queries.harmless(inFlight)) {
                run(inFlight);
            }
            if (inFlight.reply != null && inFlight.replyOn < turn && inFlight.replyAt >= lastUp - MAYBE_LOST) {
                reply(inFlight, inFlight.reply);
            }
            if (inFlight.stopOn > 0 && inFlight.stopOn < turn && inFlight.stopAt >= lastUp - MAYBE_LOST) {
                stop(inFlight);
            }
        }
    }

    /** Counts a notice; returns false if it has been received before. */
    private boolean isNew(long n) {
        if (n <= last) {
            counters.add(Count.KERNEL_NOTICES_REPEATED);
            return false;
        }
        if (n > last + 1) {
            counters.add(Count.KERNEL_NOTICES_MISSED);
        }
        last = n;
        counters.add(Count.KERNEL_NOTICES);
        return true;
    }

    @Override
    public void ended(long n, JobId job, String state, byte[] result) {
        if (isNew(n)) {
            queries.runEnded(job, state, result);
        }
    }

    @Override
    public void needs(long n, JobId job, byte[] body) {
        if (isNew(n)) {
            queries.standsAtCall(job, body);
        }
    }

    @Override
    public void gauges(String ref, double[] values) {
        if (ref.equals(RESUMED)) {
            resumed();
        } else if (ref.equals("g" + tag)) {
            counters.add(Count.GAUGES_READ);
            queries.gauges(values);
        }
    }

    @Override
    public void notDone(String command, JobId job) {
        counters.add(Count.RUNS_NOT_DONE);
        warnings.warn("kernel: " + command + " of " + job.value() + " was not carried out");
        if (command.equals("SCHED")) {
            queries.runNotDone(job);
        }
    }

    @Override
    public void remark(long n, String text) {
        isNew(n);
    }

    @Override
    public void unknown(String reason) {
        counters.add(Count.KERNEL_NOTICES_UNKNOWN);
        warnings.warn("kernel: a line was passed over: " + reason);
    }

    @Override
    public void bad(String reason) {
        warnings.warn("kernel: " + reason + "; reopening the link");
        links.drop(link);
        lost();
    }
}
