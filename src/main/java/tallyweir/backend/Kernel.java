package tallyweir.backend;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.logging.Logger;
import tallyweir.backend.Counters.Count;
import tallyweir.ids.JobId;
import tallyweir.kernel.Commands;
import tallyweir.kernel.Notices;

/** The link to the kernel: numbers of notices, commands that wait for a link, opening it again. */
final class Kernel implements Notices.Sink {
    private static final Logger LOG = Logger.getLogger(Kernel.class.getName());
    private static final int WAITING_MOST = 4_000;
    private static final long AGAIN_AFTER = 1_000;  // a tenth of a second
    private static final int UNHEARD_MOST = 20;     // askings in a row; not a time, which a pause would use up
    private static final long STARTS_APART = 10_000; // a second: the same start is told less exactly than this
    private static final String RESUMED = "resumed";

    private final Links links;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Queries queries;
    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    private final Seldom warnings;
    private Notices notices;
    private boolean booted;  // on this link
    private int link;
    private long started = Long.MAX_VALUE / 2;  // the kernel's start, by its own word
    private long last;
    private long tag;
    private int unheard;

    Kernel(Links links, Deadlines deadlines, Counters counters, Queries queries) {
        this.links = links;
        this.deadlines = deadlines;
        this.counters = counters;
        this.queries = queries;
        warnings = new Seldom(Kernel.class, queries::now);
    }

    void connect() {
        links.connect(Peer.KERNEL);
    }

    void up() {
        link++;
        unheard = 0;
        notices = new Notices(this);
        counters.add(Count.KERNEL_LINKS);
        links.to(Peer.KERNEL, Commands.open(last));
    }

    void down() {
        booted = false;
        deadlines.set(queries.now() + AGAIN_AFTER, this::connect);
    }

    void read(ByteBuffer bytes) {
        unheard = 0;
        notices.read(bytes);
    }

    // ---- commands

    void run(Taken t) {
        t.sentOn = booted ? link : link + 1;
        send(Commands.run(t.job, t.workload.value(), t.body));
    }

    void stop(Taken t) {
        send(Commands.stop(t.job));
    }

    void reply(Taken t, byte[] body) {
        send(Commands.reply(t.job, body));
    }

    /** Asks for the gauges where there is a link to ask on. */
    void askGauges() {
        // A link whose other end is gone without a word is opened again; nothing that was noticed is lost by it.
        if (booted && ++unheard > UNHEARD_MOST) {
            bad("nothing heard after " + UNHEARD_MOST + " askings");
        }
        if (booted) {
            links.to(Peer.KERNEL, Commands.gauges("g" + ++tag));
        }
    }

    private void send(byte[] command) {
        if (booted) {
            links.to(Peer.KERNEL, command);
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
        LOG.info("the kernel is up since " + before / 10 + " ms, " + (fresh ? "cold" : "warm") + " at its start");
        if (queries.now() - before > started + STARTS_APART) {
            // Another kernel: its notices are numbered anew, and nothing that the one before ran is left.
            last = 0;
            waiting.clear();
            queries.kernelLost();
        }
        started = queries.now() - before;
        if (link > 1) {
            links.to(Peer.KERNEL, Commands.gauges(RESUMED));  // its reply stands behind all repeated notices
        }
        while (!waiting.isEmpty()) {
            links.to(Peer.KERNEL, waiting.poll());
        }
        queries.kernelBooted(fresh, before);
    }

    /** What was asked shortly before a link broke may never have come: the harmless is asked for again. */
    private void resumed() {
        for (Taken t : queries.running()) {
            if (t.sentOn < link && t.call == null && queries.harmless(t)) {
                run(t);
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
        links.drop(Peer.KERNEL);
        down();
    }
}
