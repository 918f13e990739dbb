package tallyweir;

import static tallyweir.Query.State.*;

import java.util.*;
import tallyweir.ids.*;
import tallyweir.ring.Ring;
import tallyweir.rules.Rules;

/**
 * Every decision of one server. A front makes one Choice a process life, hands it the settings (machine to
 * connections), calls start, then clock before each round of news and a method for each piece. Decisions
 * leave through Outgoing. After each input the rules of the constructor are gone through in order until none
 * fires. Times are tenths of a millisecond; dues come rounded down, ages up.
 */
public class Choice {
    // The source's two readings and ours. The cut is where the lowest revenue starts to be shed, the end is
    // where the highest is certain; the distinct revenues share the stretch between evenly.
    static final double CPU_CUT = 0.90;
    static final double CPU_END = 1.10; // past 1: busy cores alone never turn all of the top revenue away
    static final double LATE_CUT = 0.25;
    static final double LATE_END = 1.0;
    static final double WAIT_CUT = 0.25; // the third reading: wait ahead, of the time a query has to spare
    static final double WAIT_END = 1.0;
    static final long LATE_SPAN = 3 * 10_000; // a few seconds, as the source's reading
    static final long SECOND = 10_000;
    static final long GAUGE_EVERY = SECOND / 10;
    static final int BUCKETS = 12;
    // The guards, as ratios to what the settings allow.
    static final double CROWD_SAFE = 0.85; // of the crowd survived now
    static final double MEMORY_RUN = 0.95; // of memory, to start a run
    static final double MEMORY_HOLD = 0.85; // of memory, to take a query in
    static final double MEMORY_KEYS = 0.30; // of memory, for entries of harmless queries
    static final double BELOW_SAFE = 0.90; // of this server's share of calls in hand
    static final double CROWDED = 1.25; // run queue over the cores at which the runs allowed shrink again
    static final double NEEDS = 0.5; // of a mean run: time a query must have left to be started
    static final double SHARE_SLACK = 1.1; // of a tenant's share, before its surplus counts as such
    static final double CHANCE = 2; // deviations of a count that chance alone may make
    static final double AGAIN_MANY = 0.20; // of the reads: further tries, at which all the fleet is in need
    static final double TURNED_MANY = 0.20; // of the reads: refusals that tell the same without a mark
    static final double AGAIN_DOWN = 3; // bands lower for a further try, times their share past that
    static final double CALL_SLOW = 3; // times the usual: length of calls at which fewer go out
    static final double CALLS_FEW = 3; // calls that their mean is taken over at least
    static final double CALLS_LEAST = 0.2; // of this server's share of calls in hand
    static final double CALLS_CUT = 0.9; // each time the gauges are read
    static final double CALL_PART = 0.25; // of the time that calls may take in the span: for one at first
    static final double SAY_STEP = 0.1; // of what was said last: the least change worth saying
    static final double DEAR = 5; // times unread time over run length: how much advice is given
    static final int CALL_TRIES = 3;
    static final double IDLE_COST = 2; // openings that cost what one idle for the longest does
    static final int IDLE_STEPS = 6; // idle spans looked at,
    static final int IDLE_STEP = 5; // each this part of the one before

    private final Outgoing out;
    private final SplittableRandom chance;
    private final long born;
    private long now;
    private final Map<WorkloadId, Workload> workloads = new HashMap<>();
    private final TreeSet<Double> revenues = new TreeSet<>();
    private final Map<TenantId, Tenant> tenants = new HashMap<>();
    private final Map<QueryId, Query> live = new HashMap<>();
    // Queries and calls that must wait: the higher revenue goes first, then who came first.
    private static final Comparator<Query> DEARER =
            Comparator.comparingDouble((Query q) -> -q.workload.revenue).thenComparingLong(q -> q.order);
    private final PriorityQueue<Query> hold = new PriorityQueue<>(DEARER);
    private final PriorityQueue<Query> atCall = new PriorityQueue<>(DEARER);
    private final ArrayDeque<Query> callLater = new ArrayDeque<>();
    private final ArrayDeque<Query> reuses = new ArrayDeque<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    private final Ring late = new Ring(LATE_SPAN, BUCKETS);
    private final Ring lateBelow = new Ring(LATE_SPAN, BUCKETS); // of runs that called below
    private final Ring runs = new Ring(LATE_SPAN, BUCKETS);
    private final Ring unread = new Ring(LATE_SPAN, BUCKETS);
    private final Ring turned = new Ring(LATE_SPAN, BUCKETS);
    private final Ring tries = new Ring(LATE_SPAN, BUCKETS); // reads; summed: those that are further tries
    private Returns returns;
    private long idleMost;
    private long idleFor;
    private Query fresh;
    private boolean lastConnection; // the query read next would leave a health check none
    private double draw;
    private long order;
    private long wakeAt = Long.MAX_VALUE;
    private boolean gaugeDue;
    private double coresBusy;
    private double runQueue;
    private final Crowd crowd = new Crowd();
    private Memory memory;
    private Calls calls;
    private int cores;
    private double runsAllowed; // on the cores at once
    private long pauseAgain; // no run is asked to pause before
    private double fallMultiple;
    private double coldFrom;
    private long coldFor;
    private double callsShare;
    private double callsAllowed; // in hand at once
    private double callUsual = Double.MAX_VALUE;
    private boolean cold; // just begun, in another's place
    private long callSpan;
    private double callTime; // that this server's calls in hand may take in the span
    private double callPart; // of that: promised to one that can be made again
    private Halt halt = Halt.OFF;
    private Said said = Said.OFF;
    private double saidLast;
    private long shortest = Long.MAX_VALUE; // expected time
    private long round = 1;
    private long grace;
    private long shareFor;
    private long keepOffMost;
    private double surplusWorth = 1;
    private long draining = -1;
    private long stopBy = Long.MAX_VALUE;
    private final Rules rules = new Rules();

    public Choice(Outgoing out, long seed, long now) {
        this.out = out;
        this.chance = new SplittableRandom(seed);
        this.born = now;
        this.now = now;
        // What is owed comes first, then what was just read, then what waits below, then the cores.
        rules.add(this::somethingDue, this::answerDue);
        rules.add(() -> fresh != null && hopeless(fresh), () -> deferFresh(keepOffMost, true));
        rules.add(() -> fresh != null && lastConnection, () -> deferFresh(adviceFor(), false));
        rules.add(
                () -> fresh != null && fresh.leader == null && (draw < chanceFor(fresh) || tooLate(fresh)),
                () -> deferFresh(adviceFor(), nowhereElse(fresh)));
        rules.add(() -> fresh != null && !fitsHold(fresh), () -> deferFresh(adviceFor(), false));
        rules.add(() -> fresh != null && fresh.leader != null, this::follow);
        rules.add(() -> fresh != null, () -> takeFresh(HELD));
        rules.add(() -> !reuses.isEmpty(), this::reuse);
        rules.add(this::callFails, this::giveUpCall);
        rules.add(this::callFits, this::call);
        rules.add(() -> !hold.isEmpty() && cannotMake(hold.peek()), () -> giveUp(hold.peek()));
        rules.add(() -> !hold.isEmpty() && coresFree() && fitsRun(hold.peek()), this::begin);
        rules.add(() -> !hold.isEmpty() && mayPause() && pausable() != null, () -> pause(pausable()));
        rules.add(() -> gaugeDue, this::readGauges);
        rules.add(() -> !dues.isEmpty() && dues.peek().at() < wakeAt, this::setTimer);
    }

    private void settle() {
        rules.settle();
    }

    // ---- settings, each to the part that needs it

    public void machine(int cores, double fallMultiple, boolean cold, double coldFrom, long coldFor, Halt halt) {
        this.cores = cores;
        this.cold = cold;
        this.halt = halt;
        runsAllowed = cores;
        this.fallMultiple = fallMultiple;
        this.coldFrom = coldFrom;
        this.coldFor = cold ? coldFor : 0;
    }

    /** The crowd on the cores that is survived now; a cold server never warms more slowly than in even steps. */
    private double survived() {
        double warm = coldFor <= 0 ? 1 : coldFrom + (1 - coldFrom) * Math.min(1, (now - born) / (double) coldFor);
        return cores * (1 + (fallMultiple - 1) * warm);
    }

    public void memory(double limitKb, double runFactor, double entryKb) {
        memory = new Memory(limitKb, runFactor, entryKb);
    }

    public void below(double callsOut, long span, long linger) {
        calls = new Calls(span, SECOND, LATE_SPAN, BUCKETS, linger);
        callsShare = callsOut <= 0 ? Double.MAX_VALUE : callsOut;
        callsAllowed = callsShare;
        callSpan = span;
        callTime = callsOut <= 0 ? Double.MAX_VALUE : callsOut * span * BELOW_SAFE;
        callPart = callTime * CALL_PART;
    }

    public void workload(
            WorkloadId id,
            Effect effect,
            long expected,
            long hard,
            double revenue,
            double lateValue,
            long window,
            boolean callsBelow,
            double poorerValue) {
        Workload settings = new Workload(effect, expected, hard, revenue, lateValue, window, callsBelow, poorerValue);
        settings.measuredOver(LATE_SPAN, BUCKETS);
        workloads.put(id, settings);
        revenues.add(revenue);
        shortest = Math.min(shortest, expected);
    }

    public void tenant(TenantId id, double quotaPerSecond, int servers) {
        tenants.put(id, new Tenant(quotaPerSecond / Math.max(1, servers), new Ring(LATE_SPAN, BUCKETS)));
    }

    public void duties(long round, long grace, double surplusWorth) {
        this.round = Math.max(1, round);
        this.grace = grace;
        this.surplusWorth = surplusWorth;
    }

    public void callers(Said said, long shareFor, long keepOffMost) {
        this.said = said;
        this.shareFor = shareFor;
        this.keepOffMost = keepOffMost;
    }

    public void connections(long idleMost) {
        this.idleMost = Math.max(1, idleMost);
        long[] spans = new long[IDLE_STEPS];
        for (int i = 0; i < IDLE_STEPS; i++) {
            spans[i] = Math.min(this.idleMost, Math.max(100, (long) (idleMost / Math.pow(IDLE_STEP, i))));
        }
        returns = new Returns(now, spans, idleMost / 2, BUCKETS);
        idleFor = this.idleMost;
    }

    public void start() {
        out.health(true, true);
        keepIdle();
        out.wake(now + GAUGE_EVERY, GAUGES);
    }

    // ---- news

    public static final TimerId GAUGES = new TimerId(1);
    private static final TimerId DUES = new TimerId(2);

    public void clock(long now) {
        this.now = Math.max(this.now, now);
    }

    public void read(
            QueryId id,
            QueryId earlier,
            CallerId caller,
            SubjectId subject,
            WorkloadId workload,
            double sizeKb,
            long age,
            double rank,
            long patience,
            boolean again,
            TenantId tenant,
            long predicted) {
        Query q = new Query();
        q.id = id;
        q.order = order++;
        q.workload = workloads.get(workload);
        q.tenant = tenant == null ? null : tenants.get(tenant);
        q.subject = subject;
        q.arrived = now - age;
        q.size = sizeKb;
        q.again = again;
        q.predicted = predicted;
        long due = patience > 0 ? now + patience : Math.max(now, q.arrived + q.workload.hard);
        q.answerBy = Math.min(due, stopBy) - round;
        q.goodBy = Math.min(q.answerBy, q.arrived + q.workload.expected);
        q.useBy = q.workload.lateValue > 0 ? q.answerBy : q.goodBy;
        if (earlier != null) {
            q.leader = live.get(earlier);
            if (q.leader == null) {
                q.leader = new Query(); // known from before: the reuse tells whether its result stands
                q.leader.state = OVER;
            } else if (q.harmless() && q.leader.answered) {
                q.leader = null; // given up on, so nothing will come of it
            }
        }
        if (q.tenant != null && !again) {
            q.tenant.reads().add(now, 1);
        }
        returns.read(now, caller, IDLE_COST / idleMost);
        tries.add(now, again ? 1 : 0);
        unread.add(now, age);
        live.put(id, q);
        fresh = q;
        draw = draw();
        settle();
    }

    /**
     * Whether the query that is read next is on the last connection that owes no answer, while there is room for no other.
     * Taken, it would keep health checks out until a query ends, and a server that is only busy would look dead.
     */
    public void lastConnection(boolean last) {
        lastConnection = last;
    }

    /** One draw a read; whoever watches other settings beside these lets them have the same. */
    protected double draw() {
        return chance.nextDouble();
    }

    public void ended(QueryId id, Outcome how) {
        Query q = live.get(id);
        if (q == null || q.state == HELD || q.state == FOLLOWING) {
            return;
        }
        if (q.state == REPLAYING) {
            over(q);
        } else {
            boolean wasAnswered = q.answered;
            boolean pauses = halt == Halt.SUSPEND && how == Outcome.RECALLED && !wasAnswered && q.harmless();
            leaveCores(q, how, pauses);
            if (pauses) {
                pauseAgain = now;
                toHold(q);
            } else if (how == Outcome.RECALLED && !wasAnswered) {
                backToHold(q);
            } else {
                over(q);
            }
        }
        settle();
    }

    public void standsAtCall(QueryId id) {
        Query q = live.get(id);
        if (q != null && q.state == RUNNING) {
            crowd.offCores(now, q);
            stand(q);
            q.stood = true;
            q.calls = 0;
            atCall.add(q);
            settle();
        }
    }

    public void callEnded(QueryId id, Outcome how, long took) {
        Query q = live.get(id);
        if (q == null || q.state != CALLING) {
            return;
        }
        calls.ended(now, q, how == Outcome.OVERDUE || how == Outcome.SEVERED);
        // A call cut short was promised too little, where calls have become longer than a part.
        callPart = how == Outcome.OVERDUE
                ? Math.min(callTime, 2 * callPart)
                : how == Outcome.COMPLETED ? Math.max(callTime * CALL_PART, callPart * CALLS_CUT) : callPart;
        if (how == Outcome.COMPLETED) { // a lost reply is no slowness of what lies below
            calls.took.add(now, took);
            calls.lately.add(now, took);
            q.state = RUNNING;
            crowd.onCores(now, q);
        } else {
            stand(q);
            boolean provenNotRun = how == Outcome.SATURATED || how == Outcome.REFUSED_CONN;
            if (!q.harmless() && !provenNotRun) {
                q.calls = CALL_TRIES;
            }
            (q.workload.poorerValue > 0 ? atCall : callLater).add(q);
        }
        settle();
    }

    public void gone(QueryId id) {
        Query q = live.get(id);
        if (q == null) {
            return;
        }
        boolean stop = q.state == RUNNING && q.harmless() && halt != Halt.OFF && !q.answered;
        q.answered = true;
        if (q.state == HELD || q.state == FOLLOWING || q.state == REPLAYING) {
            over(q);
        } else if (stop) {
            out.stop(id);
        }
        settle();
    }

    public void drain(long left) {
        draining = now;
        stopBy = now + left;
        for (Query q : live.values().stream()
                .sorted(Comparator.comparingLong(q -> q.order))
                .toList()) {
            q.answerBy = Math.min(q.answerBy, stopBy - round);
            q.useBy = Math.min(q.useBy, q.answerBy);
            q.goodBy = Math.min(q.goodBy, q.answerBy);
            watch(q, q.useBy);
        }
        out.health(false, true);
        settle();
    }

    public void gauges(double coresBusy, double runQueue) {
        this.coresBusy = coresBusy;
        this.runQueue = runQueue;
        gaugeDue = true;
    }

    public void timer(TimerId timer) {
        if (timer.equals(GAUGES)) {
            out.wake(now + GAUGE_EVERY, GAUGES);
        } else {
            gaugeDue = false;
            wakeAt = Long.MAX_VALUE;
        }
        settle();
    }

    // ---- the mechanism: two readings, a rise for each band, the higher chance

    private double chanceFor(Query q) {
        double spare = Math.max(1, q.workload.expected - runTime(q));
        double wait = (now - q.arrived + waitAhead(q.workload.revenue)) / spare;
        double surplus = q.tenant == null ? 0 : (1 - surplusWorth) * surplus(q.tenant);
        // A further try is nearer to its end than a first one; turned away by an idle server it brings more.
        double use = Math.min(1, Math.max(dear(), runQueue / cores));
        double down = Math.max(surplus, q.again ? AGAIN_DOWN * manyAgain() * use : 0);
        return bandChance(revenues.headSet(q.workload.revenue).size() - down, wait, q.workload.callsBelow);
    }

    /** The part of a tenant's reads here that is past this server's part of its share and past chance. */
    private double surplus(Tenant tenant) {
        double fits = tenant.perSecond() * LATE_SPAN / SECOND * SHARE_SLACK;
        double usual = fits + CHANCE * Math.sqrt(fits);
        return Math.max(0, 1 - usual / Math.max(1, tenant.reads().count(now)));
    }

    private double bandChance(double band, double wait, boolean calls) {
        // A few cores are full for half a second by chance: past what that makes of them it is overload.
        boolean pressed = runQueue > cores + CHANCE * Math.sqrt(cores);
        double busy = pressed ? rise(coresBusy, CPU_CUT, CPU_END, band) : 0;
        // What lies below makes late only what calls it, so the rest is not shed for that.
        double ended = late.count(now) + (calls ? lateBelow.count(now) : 0);
        double lateShare = (late.sum(now) + (calls ? lateBelow.sum(now) : 0)) / Math.max(ended, cores);
        return Math.max(
                rise(wait, WAIT_CUT, WAIT_END, band), Math.max(busy, rise(lateShare, LATE_CUT, LATE_END, band)));
    }

    private double rise(double reading, double cut, double end, double band) {
        double width = (end - cut) / revenues.size();
        return Math.min(1, Math.max(0, (reading - cut - band * width) / width));
    }

    /**
     * Further tries in numbers tell that the others turn away as well: one more would be read in vain. So do
     * this server's own refusals, where tries bear no mark. Harms where this server alone is in need.
     */
    private boolean nowhereElse(Query q) {
        return q.again || manyAgain() > 0 || turned.count(now) > TURNED_MANY * Math.max(cores, tries.count(now));
    }

    /** How far the share of further tries in the reads is past what one server's trouble makes of it. */
    private double manyAgain() {
        return Math.max(0, tries.sum(now) / Math.max(cores, tries.count(now)) - AGAIN_MANY);
    }

    /** Where reading is quick next to a run, turning away costs little; keeping off costs top revenue. */
    private double dear() {
        return DEAR * unread.mean(now) / Math.max(1, meanRun());
    }

    private long adviceFor() {
        double share = turned.count(now) / Math.max((double) cores, tries.count(now));
        return (long) (keepOffMost * Math.min(1, dear()) * share);
    }

    private void readGauges() {
        gaugeDue = false;
        if (calls.lately.count(now) > BUCKETS) {
            callUsual = Math.min(callUsual, calls.lately.mean(now));
        }
        double took = calls.took.sum(now) / Math.max(CALLS_FEW, calls.took.count(now));
        // A crowded dependency gets less done, so fewer calls go out while they take far longer than usual.
        // Guards also against one that is slow by itself; harms where calls get longer for good. A share
        // that is used up says it too, even where calls were slow from the start.
        boolean usedUp = !atCall.isEmpty() && atCall.peek().workload.poorerValue > 0 && !callFits();
        callsAllowed = usedUp || took > CALL_SLOW * callUsual
                ? Math.max(callsShare * CALLS_LEAST, callsAllowed * CALLS_CUT)
                : Math.min(callsShare, callsAllowed / CALLS_CUT);
        if (!hold.isEmpty() && runQueue < cores) {
            runsAllowed += Math.max(1, cores - runQueue);
        } else if (runQueue > cores * CROWDED) {
            runsAllowed -= 1;
        }
        runsAllowed = Math.max(cores, Math.min(runsAllowed, survived()));
        saySoon();
        keepIdle();
        atCall.addAll(callLater);
        callLater.clear();
    }

    /**
     * Callers that seldom come back fill the table with what is not used again; those that do save an
     * opening. Guards also against tables filled by retries; harms where opening is far dearer than keeping.
     */
    private void keepIdle() {
        long best = returns.best(now);
        if (idleFor != best) {
            idleFor = best;
            out.closeIdle(best);
        }
    }

    /** Tells callers of overload in the way they know, so that what would be turned away is not sent. */
    private void saySoon() {
        double mean = meanRun();
        if (said == Said.OFF || mean <= 0) {
            return;
        }
        double spare = Math.max(1, shortest - mean);
        double shed = 0;
        int band = 0;
        for (double revenue : revenues) {
            shed += bandChance(band++, waitAhead(revenue) / spare, true) / revenues.size();
        }
        if (Math.abs(shed - saidLast) > SAY_STEP * Math.max(shed, saidLast)) {
            saidLast = shed;
            out.say(shed);
        }
    }

    // ---- what was just read

    private boolean hopeless(Query q) {
        return q.answerBy <= now || draining >= 0 && q.arrived > draining + grace;
    }

    private boolean fitsHold(Query q) {
        double entry = q.workload.effect == Effect.STAMPED && q.leader == null ? memory.entry : 0;
        return memory.used(now) + q.size + entry <= memory.limit * MEMORY_HOLD;
    }

    private boolean fitsKey() {
        return memory.used(now) + memory.entry <= memory.limit * MEMORY_HOLD
                && memory.kept(now) + memory.entry <= memory.limit * MEMORY_KEYS;
    }

    private boolean fitsRun(Query q) {
        return q.paused || memory.used(now) + q.size * (memory.runFactor - 1) <= memory.limit * MEMORY_RUN;
    }

    private boolean coresFree() {
        return crowd.on < runsAllowed && crowd.all + 1 <= survived() * CROWD_SAFE;
    }

    /** A repeat is served from its forerunner: at once when that has begun, else when it begins. */
    private void follow() {
        Query q = fresh;
        takeFresh(FOLLOWING);
        if (q.leader.state == HELD || q.leader.state == FOLLOWING) {
            q.leader.followers.add(q);
        } else {
            reuses.add(q);
        }
    }

    private void deferFresh(long keepOff, boolean nowhereElse) {
        turned.add(now, 1);
        Query q = fresh;
        fresh = null;
        defer(q, keepOff, nowhereElse);
    }

    private void takeFresh(Query.State as) {
        Query q = fresh;
        fresh = null;
        memory.held += q.size;
        q.state = as;
        watch(q, q.useBy);
        if (as == FOLLOWING) {
            return;
        }
        toHold(q);
        boolean shared = q.harmless() && shareFor > 0 && q.subject != null;
        if (q.workload.effect == Effect.STAMPED) {
            keep(q, q.workload.window);
        } else if (shared && fitsKey()) {
            keep(q, q.workload.expected + shareFor);
        }
    }

    private void keep(Query q, long span) {
        q.kept = true;
        memory.keep(now, span);
        out.keep(q.id, span);
    }

    // ---- time left

    private long runTime(Query q) {
        Workload w = q.workload;
        double mean = (w.runs.sum(now) + meanRun()) / (w.runs.count(now) + 1);
        double usual = w.predicted.mean(now);
        return (long) (q.predicted > 0 && usual > 0 ? mean * Math.min(1, q.predicted / usual) : mean);
    }

    /** Mean length of a run; those still on the cores count with their age, so that a stall shows at once. */
    private long meanRun() {
        return Math.max((long) runs.mean(now), crowd.meanAge(now));
    }

    private long waitAhead(double revenue) {
        if (hold.isEmpty() && coresFree()) {
            return 0;
        }
        int ahead = 1;
        for (Query h : hold) {
            ahead += h.workload.revenue >= revenue ? 1 : 0;
        }
        int begun = 0;
        for (Workload w : workloads.values()) {
            begun += w.revenue >= revenue ? w.begun : 0;
        }
        boolean next = halt == Halt.SUSPEND && ahead + begun <= runsAllowed; // the rest can be paused
        return next ? 0 : (long) (ahead * meanRun() / Math.max(crowd.on, runsAllowed));
    }

    /** What cannot be answered within its worth must not take space or cores; one of a kind may try. */
    private boolean tooLate(Query q) {
        long wait = waitAhead(q.workload.revenue);
        return now >= q.goodBy || (wait > 0 || q.workload.begun > 0) && now + wait + runTime(q) > q.goodBy;
    }

    private boolean cannotMake(Query q) {
        return crowd.all > 0 && now + (long) (NEEDS * runTime(q)) > q.goodBy;
    }

    // ---- answers

    private void watch(Query q, long at) {
        dues.add(new Due(at, order++, q));
    }

    private boolean somethingDue() {
        return !dues.isEmpty()
                && (dues.peek().at() <= now || !dues.peek().query().open());
    }

    private void answerDue() {
        Query q = dues.poll().query();
        if (!q.open()) {
            return;
        }
        boolean lastMoment = q.answerBy <= now;
        boolean canStop = q.state == AT_CALL || q.harmless() && (q.state != RUNNING || halt != Halt.OFF);
        if (lastMoment || canStop || !q.ran) {
            giveUp(q);
        } else {
            watch(q, q.answerBy);
        }
    }

    private void giveUp(Query q) {
        Query.State was = q.state;
        if (q.ran && !q.harmless() || was == REPLAYING) {
            q.answered = true;
            out.fail(q.id);
            if (was == REPLAYING) {
                over(q);
            }
        } else {
            defer(q, 0, true);
        }
        if (was == RUNNING && q.harmless() && halt != Halt.OFF) {
            out.stop(q.id);
        }
    }

    private void defer(Query q, long keepOff, boolean nowhereElse) {
        q.answered = true;
        out.defer(q.id, draining >= 0 ? keepOffMost : Math.min(keepOff, keepOffMost), nowhereElse);
        if (!q.begun()) {
            over(q);
        }
    }

    private void over(Query q) {
        if (hold.remove(q)) {
            freeHeld(q);
        } else if (q.state == FOLLOWING || q.state == REPLAYING) {
            memory.held -= q.size;
        }
        q.state = OVER;
        live.remove(q.id);
        if (q.kept && !q.ran) {
            out.forget(q.id);
        }
        releaseFollowers(q);
    }

    /** Repeats wait for what a forerunner has begun; if it never will begin, the first is its heir. */
    private void releaseFollowers(Query q) {
        Query heir = null;
        for (Query f : q.followers) {
            if (f.open() && q.ran) {
                reuses.add(f);
            } else if (f.open() && heir == null) {
                heir = f;
                f.leader = null;
                toHold(f);
                if (f.workload.effect == Effect.STAMPED) {
                    keep(f, f.workload.window);
                }
            } else if (f.open()) {
                f.leader = heir;
                heir.followers.add(f);
            }
        }
        q.followers.clear();
    }

    private void toHold(Query q) {
        q.state = HELD;
        hold.add(q);
    }

    private void freeHeld(Query q) {
        memory.held -= q.paused ? 0 : q.size;
        memory.running -= q.paused ? q.size * memory.runFactor : 0;
    }

    private void reuse() {
        Query q = reuses.poll();
        if (q.open() && q.state == FOLLOWING) {
            q.state = REPLAYING;
            out.reuse(q.id);
        }
    }

    // ---- the cores

    private void begin() {
        Query q = hold.poll();
        freeHeld(q);
        memory.running += q.size * memory.runFactor;
        q.ran = true;
        q.began = q.paused ? q.began : now;
        q.onCores = q.paused ? q.onCores : 0;
        q.paused = false;
        q.state = RUNNING;
        crowd.all++;
        q.workload.begun++;
        crowd.onCores(now, q);
        out.run(q.id);
        releaseFollowers(q);
    }

    private boolean mayPause() {
        return halt == Halt.SUSPEND && now >= pauseAgain && !coresFree() && fitsRun(hold.peek());
    }

    /** What can be taken up again makes way for what is dearer: the last begun of the cheapest. */
    private Query pausable() {
        Query least = null;
        for (Query q : live.values()) {
            boolean may = q.state == RUNNING && q.harmless() && !q.answered;
            if (may
                    && q.workload.revenue < hold.peek().workload.revenue
                    && (least == null || DEARER.compare(q, least) > 0)) {
                least = q;
            }
        }
        return least;
    }

    /** No word comes if nothing was stopped, so it is asked for again after a while. */
    private void pause(Query q) {
        pauseAgain = now + GAUGE_EVERY;
        out.stop(q.id);
    }

    private void leaveCores(Query q, Outcome how, boolean pauses) {
        if (q.state == RUNNING) {
            crowd.offCores(now, q);
        } else if (q.state == CALLING) {
            calls.ended(now, q, true);
        }
        crowd.all--;
        q.workload.begun--;
        if (pauses) {
            q.paused = true;
            return;
        }
        memory.running -= q.size * memory.runFactor;
        // A server whose runs fail at once is idle, answers first and so draws its callers' queries: what it
        // fails is worth no more than what it ends late, and says nothing of the length of a run.
        boolean failed = how == Outcome.ERRORED && !q.stood;
        if (how != Outcome.SUPERSEDED && !failed) {
            runs.add(now, q.onCores);
            q.workload.runs.add(now, now - q.began);
            q.workload.predicted.add(now, q.predicted);
        }
        if (how != Outcome.SUPERSEDED) {
            (q.stood ? lateBelow : late).add(now, failed || now - q.arrived > q.workload.expected ? 1 : 0);
        }
    }

    private void backToHold(Query q) {
        if (!q.harmless()) {
            q.answered = true;
            out.fail(q.id);
            over(q);
            return;
        }
        memory.held += q.size;
        toHold(q);
        watch(q, q.useBy);
    }

    // ---- calls below

    /** What has an effect and is past its use was let run on, but does not wait for a call any more. */
    private void stand(Query q) {
        q.state = AT_CALL;
        if (q.useBy <= now) {
            watch(q, now);
        }
    }

    private boolean callFails() {
        Query q = atCall.peek();
        return q != null
                && (q.state != AT_CALL
                        || q.answered
                        || q.calls >= CALL_TRIES
                        || q.workload.poorerValue > 0 && (q.calls > 0 || callsAllowed < callsShare && !callFits()));
    }

    private void giveUpCall() {
        Query q = atCall.poll();
        if (q.state != AT_CALL || q.answered) {
            return;
        }
        if (q.workload.poorerValue > 0) {
            poorer(q);
        } else {
            q.answered = true;
            out.fail(q.id);
        }
    }

    private void poorer(Query q) {
        q.state = RUNNING;
        crowd.onCores(now, q);
        out.poorer(q.id);
    }

    private long timeOut(Query q) {
        // A poorer answer wants its time too, and is worth more than a late one.
        return Math.max(1, q.workload.poorerValue > 0 ? (q.goodBy - now) / 2 : q.useBy - now);
    }

    /** Fewer whole calls are counted; where the share is under one, slow calls go out at a slower pace. */
    private double callPace() {
        return Math.min(1, callsAllowed) / Math.min(1, callsShare);
    }

    /**
     * What of this server's share is neither taken in the span nor promised. What the one before it in its place took
     * still counts below, and nobody tells how much: it may have been all that is safe, evenly, so the share comes with
     * the span, from the part on that no server takes.
     */
    private double callRoom() {
        double gone = cold && callSpan > 0 ? (now - born) / (double) callSpan : 1;
        double may = Math.min(1, gone + (1 - BELOW_SAFE) / BELOW_SAFE);
        return callTime * callPace() * may - calls.taken(now) - calls.linger;
    }

    /**
     * In a large fleet a server's share is about one call, and all the time a query has left may be more than
     * the span holds: such a call would never go out, nor any behind it. So none waits for more than a part.
     */
    private boolean callFits() {
        return !atCall.isEmpty()
                && calls.inHand < Math.max(1, callsAllowed)
                && Math.min(timeOut(atCall.peek()), callTime * callPace() * CALL_PART) <= callRoom();
    }

    /** What may be called again is promised a part, lest a lost reply hold the share; the rest all of it. */
    private void call() {
        Query q = atCall.poll();
        double most = q.harmless() ? Math.min(callPart, callRoom()) : callRoom();
        long span = (long) Math.max(1, Math.min(timeOut(q), most));
        q.calls++;
        q.state = CALLING;
        q.called = now;
        q.callUntil = now + span;
        calls.begun(q);
        out.call(q.id, span);
    }

    // ---- timers

    private void setTimer() {
        wakeAt = Math.max(now + 1, dues.peek().at());
        out.wake(wakeAt, DUES);
    }
}
