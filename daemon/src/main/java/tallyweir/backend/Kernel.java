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

/** The link to the kernel: numbers of notices, commands that wait for a link, opening it again. */
final class Kernel implements Notices.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(Kernel.class);
    private static final int WAITING_MOST = 4_000;
    private static final long AGAIN_AFTER = 1_000; // a tenth of a second
    private static final int UNHEARD_MOST = 20; // askings in a row; not a time, which a pause would use up
    private static final long MAYBE_LOST = 2_000; // what was sent so shortly before a break may not have come
    private static final long STARTS_APART = 10_000; // a second: the same start is told less exactly than this
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
    private LinkId link; // the one that is up
    private LinkId opening; // the one that is to take its place
    private boolean booted; // on the link that is up
    private int turn; // how many links there have been
    private long lastUp; // when the link before was last seen up
    private long started = Long.MAX_VALUE / 2; // the kernel's start, by its own word
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

    /** The kernel has another address: the link up stays in use until the new one is there to take its place. */
    void moved() {
        if (opening != null) {
            links.drop(opening);
            opening = null;
        }
        connect();
    }

    /** False for a link that is none of ours; so with the next two. */
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

    /** Opened again at once: a link that breaks says nothing of the kernel, whose runs go on. */
    private void lost() {
        boolean atOnce = booted;
        link = null;
        booted = false;
        lastUp = queries.now();
        if (atOnce) {
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

    void run(InFlight t) {
        t.sentOn = next();
        send(Commands.run(t.job, t.workload.value(), t.body));
    }

    void stop(InFlight t) {
        t.stopAt = queries.now();
        t.stopOn = next();
        send(Commands.stop(t.job));
    }

    void reply(InFlight t, byte[] body) {
        t.reply = body;
        t.replyAt = queries.now();
        t.replyOn = next();
        send(Commands.reply(t.job, body));
    }

    /** The link on which the next command goes. */
    private int next() {
        return booted ? turn : turn + 1;
    }

    /** Asks for the gauges where there is a link to ask on. */
    void askGauges() {
        // A link whose other end is gone without a word is opened again; nothing that was noticed is lost by it.
        if (link != null && ++unheard > UNHEARD_MOST) {
            bad("nothing heard after " + UNHEARD_MOST + " askings");
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
            warnings.warn("no link to the kernel and too many commands wait: one is left out");
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
            // Another kernel: its notices are numbered anew, and nothing that the one before ran is left.
            last = 0;
            waiting.clear();
            queries.kernelLost();
        }
        started = queries.now() - before;
        if (turn > 1) {
            links.to(link, Commands.gauges(RESUMED)); // its reply stands behind all repeated notices
        }
        while (!waiting.isEmpty()) {
            links.to(link, waiting.poll());
        }
        queries.kernelBooted(fresh, before);
    }

    /**
     * What was asked shortly before a link broke may never have come. The harmless is asked for again, which does
     * nothing to what runs already; so do a stop and the reply to a call, without which a run would stand for good.
     */
    private void resumed() {
        for (InFlight t : queries.running()) {
            if (t.call == null && t.sentOn < turn && queries.harmless(t)) {
                run(t);
            }
            if (t.reply != null && t.replyOn < turn && t.replyAt >= lastUp - MAYBE_LOST) {
                reply(t, t.reply);
            }
            if (t.stopOn > 0 && t.stopOn < turn && t.stopAt >= lastUp - MAYBE_LOST) {
                stop(t);
            }
        }
    }

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
    public void ended(long n, JobId job, String how, byte[] result) {
        if (isNew(n)) {
            queries.runEnded(job, how, result);
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
    public void unknown(String why) {
        counters.add(Count.KERNEL_NOTICES_UNKNOWN);
        warnings.warn("kernel: a line was passed over: " + why);
    }

    @Override
    public void bad(String why) {
        warnings.warn("kernel: " + why + "; the link is opened again");
        links.drop(link);
        lost();
    }
}
