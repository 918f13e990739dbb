package tallyweir;

import static tallyweir.Query.State.*;

import java.util.*;
import tallyweir.ids.*;
import tallyweir.ring.Ring;
import tallyweir.rules.Rules;

/**
 * Makes the admission and scheduling decisions of one server. The front end creates one Choice per process, passes it
 * the settings ({@link #configureMachine} to {@link #configureConnections}) and calls {@link #start}. From then on it calls
 * {@link #setTime} before each batch of events, and one method for each event. Decisions are carried out through
 * {@link Outgoing}. After each event the rules listed in the constructor are evaluated in order until none applies.
 *
 * <p>All times are tenths of a millisecond; the caller rounds deadlines down and ages up. Not thread-safe: all calls
 * must come from one thread.
 */
public class Choice {
    // Three readings decide on refusals: busy cores and the share of late runs, as in the algorithm that this one
    // follows, and the expected wait, added here. Of each, _FROM is where queries of the lowest revenue start to be
    // refused, and _ALL where queries of the highest are refused for certain. The distinct revenues divide the range
    // evenly.
    static final double CPU_CUT = 0.90;
    // Above 1, so that busy cores alone never refuse all queries of the highest revenue.
    static final double CPU_END = 1.10;
    static final double LATE_CUT = 0.25;
    static final double LATE_END = 1.0;
    // The wait is measured as a share of the time that a query can spare.
    static final double WAIT_CUT = 0.25;
    static final double WAIT_END = 1.0;
    // A few seconds, as in the same algorithm.
    static final long LATE_SPAN = 3 * 10_000;
    static final long SECOND = 10_000;
    static final long GAUGE_EVERY = SECOND / 10;
    static final int BUCKETS = 12;

    // Safety margins and thresholds, as ratios of what the settings allow.

    // A run starts only below this share of the concurrency that the server survives now.
    static final double CROWD_SAFE = 0.85;
    // Shares of the memory limit up to which a run may start, a query is admitted, and results of harmless queries are
    // retained.
    static final double MEMORY_RUN = 0.95;
    static final double MEMORY_HOLD = 0.85;
    static final double MEMORY_KEYS = 0.30;
    // The part of this server's share of the calls in flight that is used.
    static final double BELOW_SAFE = 0.90;
    // Run queue length per core above which fewer concurrent runs are allowed.
    static final double CROWDED = 1.25;
    // A query is given up if less than this part of its estimated run time is left.
    static final double NEEDS = 0.5;
    // Queries of a tenant count as surplus only above this multiple of its share.
    static final double SHARE_SLACK = 1.1;
    // Standard deviations of a count that are attributed to chance.
    static final double CHANCE = 2;
    // A larger share of retries among the queries read means that the whole fleet is overloaded.
    static final double AGAIN_MANY = 0.20;
    // A larger share of refusals means the same, for callers that don't mark their retries.
    static final double TURNED_MANY = 0.20;
    // Bands by which a retry is ranked lower, per unit of the share of retries above the limit.
    static final double AGAIN_DOWN = 3;
    // Calls that take longer than this multiple of their usual duration are slow; fewer are sent then.
    static final double CALL_SLOW = 3;
    // With fewer calls than this, their total duration is still divided by this number to get the mean.
    static final double CALLS_FEW = 3;
    // The calls allowed in flight never fall below this part of the server's share.
    static final double CALLS_LEAST = 0.2;
    // Factor by which the calls allowed in flight shrink, and recover, at each reading of the gauges.
    static final double CALLS_CUT = 0.9;
    // Part of the window's call time that is at first reserved for a call that may be repeated.
    static final double CALL_PART = 0.25;
    // Smaller relative changes of the load are not advertised.
    static final double SAY_STEP = 0.1;
    // Weight of the time that queries lie unread, relative to the duration of a run, in the advice to wait.
    static final double DEAR = 5;
    static final int CALL_TRIES = 3;
    // Cost of a connection that is idle for the maximum time, in connection openings.
    static final double IDLE_COST = 2;
    // Number of idle timeouts compared.
    static final int IDLE_STEPS = 6;
    // Each idle timeout is the next longer one divided by this.
    static final int IDLE_STEP = 5;

    private final Outgoing out;
    private final SplittableRandom chance;
    private final long born;
    private long now;
    private final Map<WorkloadId, Workload> workloads = new HashMap<>();
    private final TreeSet<Double> revenues = new TreeSet<>();
    private final Map<TenantId, Tenant> tenants = new HashMap<>();
    private final Map<QueryId, Query> live = new HashMap<>();
    // Order of waiting queries and calls: higher revenue first, then first come, first served.
    private static final Comparator<Query> DEARER =
            Comparator.comparingDouble((Query q) -> -q.workload.revenue).thenComparingLong(q -> q.order);
    private final PriorityQueue<Query> hold = new PriorityQueue<>(DEARER);
    private final PriorityQueue<Query> atCall = new PriorityQueue<>(DEARER);
    private final ArrayDeque<Query> callLater = new ArrayDeque<>();
    private final ArrayDeque<Query> reuses = new ArrayDeque<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    // 1 for each run past its expected time, else 0.
    private final Ring late = new Ring(LATE_SPAN, BUCKETS);
    // The same, of runs that called the store.
    private final Ring lateBelow = new Ring(LATE_SPAN, BUCKETS);
    private final Ring runs = new Ring(LATE_SPAN, BUCKETS);
    // Times that queries waited to be read.
    private final Ring unread = new Ring(LATE_SPAN, BUCKETS);
    private final Ring turned = new Ring(LATE_SPAN, BUCKETS);
    // Its count is the number of queries read, its sum the number of retries among them.
    private final Ring tries = new Ring(LATE_SPAN, BUCKETS);
    private Returns returns;
    private long idleMost;
    private long idleFor;
    private Query fresh;
    // Admitting the next query would leave no connection for health checks.
    private boolean lastConnection;
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
    // Concurrent runs that are allowed on the cores.
    private double runsAllowed;
    // No run is suspended before this time.
    private long pauseAgain;
    private double fallMultiple;
    private double coldFrom;
    private long coldFor;
    private double callsShare;
    // Calls that are allowed in flight.
    private double callsAllowed;
    private double callUsual = Double.MAX_VALUE;
    // Replaces a server that ended shortly before.
    private boolean cold;
    private long callSpan;
    // Time that this server's calls may take in the window.
    private double callTime;
    // Part of that time that is reserved for one call that may be repeated.
    private double callPart;
    private Halt halt = Halt.OFF;
    private Said said = Said.OFF;
    private double saidLast;
    // Shortest expected time of all workloads.
    private long shortest = Long.MAX_VALUE;
    private long round = 1;
    private long grace;
    private long shareFor;
    private long keepOffMost;
    private double surplusWorth = 1;
    // Negative while the server is not draining.
    private long draining = -1;
    private long stopBy = Long.MAX_VALUE;
    private final Rules rules = new Rules();

    /**
     * @param seed of the random draws, so that decisions can be reproduced
     * @param now current time
     */
    public Choice(Outgoing out, long seed, long now) {
        this.out = out;
        this.chance = new SplittableRandom(seed);
        this.born = now;
        this.now = now;
        // Order: due answers, the incoming query, waiting replays, calls to the store, runs on the cores, timers.
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

    // ---- settings

    /**
     * Sets what the machine can bear. A server is cold if it replaces another that ended shortly before.
     *
     * @param cores number of cores for runs
     * @param collapseMultiple concurrent runs at which a warm server collapses, as a multiple of the cores
     * @param coldStartShare part of the concurrency above the cores that a cold server survives at its start
     * @param coldDuration time until a cold server survives as much as a warm one
     * @param cancellation how a run can be ended before it completes
     */
    public void machine(
            int cores,
            double collapseMultiple,
            boolean cold,
            double coldStartShare,
            long coldDuration,
            Halt cancellation) {
        this.cores = cores;
        this.cold = cold;
        this.halt = cancellation;
        runsAllowed = cores;
        this.fallMultiple = collapseMultiple;
        this.coldFrom = coldStartShare;
        this.coldFor = cold ? coldDuration : 0;
    }

    /** Concurrent runs that the server survives now. A cold server is taken to warm up linearly, the worst case. */
    private double survived() {
        double warm = coldFor <= 0 ? 1 : coldFrom + (1 - coldFrom) * Math.min(1, (now - born) / (double) coldFor);
        return cores * (1 + (fallMultiple - 1) * warm);
    }

    /**
     * Sets the memory limit.
     *
     * @param runMemoryFactor memory of a run over the size of its query
     * @param entryKb memory of one retained result
     */
    public void memory(double limitKb, double runMemoryFactor, double entryKb) {
        memory = new Memory(limitKb, runMemoryFactor, entryKb);
    }

    /**
     * Sets this server's share of the calls to the store.
     *
     * @param maxCallsInFlight mean number of calls in flight over the window; 0 or less for no limit
     * @param shareWindow over which that mean is taken
     * @param linger time for which an abandoned call still occupies the store
     */
    public void below(double maxCallsInFlight, long shareWindow, long linger) {
        calls = new Calls(shareWindow, SECOND, LATE_SPAN, BUCKETS, linger);
        callsShare = maxCallsInFlight <= 0 ? Double.MAX_VALUE : maxCallsInFlight;
        callsAllowed = callsShare;
        callSpan = shareWindow;
        callTime = maxCallsInFlight <= 0 ? Double.MAX_VALUE : maxCallsInFlight * shareWindow * BELOW_SAFE;
        callPart = callTime * CALL_PART;
    }

    /**
     * Adds a workload, or replaces it.
     *
     * @param expectedTime from arrival, within which an answer earns the full revenue
     * @param hardLimit from arrival, after which an answer is worthless
     * @param lateValue part of the revenue that an answer past the expected time earns
     * @param repeatWindow in which a repeat of a stamped query must not run again
     * @param callsStore whether runs of this workload call the store
     * @param degradedValue part of the revenue that a degraded answer earns; 0 if there is none
     */
    public void workload(
            WorkloadId id,
            Effect effect,
            long expectedTime,
            long hardLimit,
            double revenue,
            double lateValue,
            long repeatWindow,
            boolean callsStore,
            double degradedValue) {
        Workload settings = new Workload(
                effect, expectedTime, hardLimit, revenue, lateValue, repeatWindow, callsStore, degradedValue);
        settings.measuredOver(LATE_SPAN, BUCKETS);
        workloads.put(id, settings);
        revenues.add(revenue);
        shortest = Math.min(shortest, expectedTime);
    }

    /** Adds a tenant whose quota is divided evenly among this many servers. */
    public void tenant(TenantId id, double quotaPerSecond, int servers) {
        tenants.put(id, new Tenant(quotaPerSecond / Math.max(1, servers), new Ring(LATE_SPAN, BUCKETS)));
    }

    /**
     * Sets the rules for answers.
     *
     * @param pollInterval time that may pass between two batches of events; answers are given earlier by this much
     * @param drainGrace time after the start of draining in which arriving queries are still carried out
     * @param surplusWeight weight, 0 to 1, of queries above a tenant's share
     */
    public void duties(long pollInterval, long drainGrace, double surplusWeight) {
        this.round = Math.max(1, pollInterval);
        this.grace = drainGrace;
        this.surplusWorth = surplusWeight;
    }

    /**
     * Sets what callers may be told and given.
     *
     * @param resultShareDuration time for which the result of a harmless query may be shared; 0 for never
     * @param maxRetryAfter longest time that a caller may be advised to wait; 0 for no advice
     */
    public void callers(Said loadAdvice, long resultShareDuration, long maxRetryAfter) {
        this.said = loadAdvice;
        this.shareFor = resultShareDuration;
        this.keepOffMost = maxRetryAfter;
    }

    /** Sets the longest time that a connection may be idle. */
    public void connections(long maxIdleTime) {
        this.idleMost = Math.max(1, maxIdleTime);
        long[] timeouts = new long[IDLE_STEPS];
        for (int i = 0; i < IDLE_STEPS; i++) {
            timeouts[i] = Math.min(this.idleMost, Math.max(100, (long) (maxIdleTime / Math.pow(IDLE_STEP, i))));
        }
        returns = new Returns(now, timeouts, maxIdleTime / 2, BUCKETS);
        idleFor = this.idleMost;
    }

    /** Starts to accept events, after all settings were made. */
    public void start() {
        out.health(true, true);
        keepIdle();
        out.wake(now + GAUGE_EVERY, GAUGES);
    }

    // ---- events

    /** The timer at which the front end calls {@link #setGauges} before {@link #onTimer}. */
    public static final TimerId GAUGES = new TimerId(1);

    private static final TimerId DUES = new TimerId(2);

    /** Sets the current time; a time earlier than the last one is ignored. */
    public void clock(long now) {
        this.now = Math.max(this.now, now);
    }

    /**
     * A query was read.
     *
     * @param earlier the query that this one repeats, null if none
     * @param age time since the query arrived
     * @param rank not used
     * @param timeout time from now for which the caller waits; 0 or less for the workload's hard limit
     * @param retry whether the caller marks the query as a retry
     * @param predictedRunTime as predicted by the caller; 0 if there is no prediction
     */
    public void read(
            QueryId id,
            QueryId earlier,
            CallerId caller,
            SubjectId subject,
            WorkloadId workload,
            double sizeKb,
            long age,
            double rank,
            long timeout,
            boolean retry,
            TenantId tenant,
            long predictedRunTime) {
        Query q = new Query();
        q.id = id;
        q.order = order++;
        q.workload = workloads.get(workload);
        q.tenant = tenant == null ? null : tenants.get(tenant);
        q.subject = subject;
        q.arrived = now - age;
        q.size = sizeKb;
        q.again = retry;
        q.predicted = predictedRunTime;
        long deadline = timeout > 0 ? now + timeout : Math.max(now, q.arrived + q.workload.hard);
        q.answerBy = Math.min(deadline, stopBy) - round;
        q.goodBy = Math.min(q.answerBy, q.arrived + q.workload.expected);
        q.useBy = q.workload.lateValue > 0 ? q.answerBy : q.goodBy;
        if (earlier != null) {
            q.leader = live.get(earlier);
            if (q.leader == null) {
                q.leader = new Query(); // ended before: the replay finds out whether its result is still there
                q.leader.state = OVER;
            } else if (q.harmless() && q.leader.answered) {
                q.leader = null; // already answered without its run, so there will be no result
            }
        }
        if (q.tenant != null && !retry) {
            q.tenant.reads().add(now, 1);
        }
        returns.read(now, caller, IDLE_COST / idleMost);
        tries.add(now, retry ? 1 : 0);
        unread.add(now, age);
        live.put(id, q);
        fresh = q;
        draw = draw();
        settle();
    }

    /**
     * Sets whether the next query is on the only connection without an unanswered query while the connection table is
     * full. Such a query is deferred: admitted, it would block health checks until a query ends, and a server that is
     * merely busy would look dead.
     */
    public void lastConnection(boolean last) {
        lastConnection = last;
    }

    /** Draws a number from 0 to 1 for each query read. Overridden so that shadow settings get the same draws. */
    protected double draw() {
        return chance.nextDouble();
    }

    /** A run or a replay ended, was cancelled or was suspended. */
    public void ended(QueryId id, Outcome outcome) {
        Query q = live.get(id);
        if (q == null || q.state == HELD || q.state == FOLLOWING) {
            return;
        }
        if (q.state == REPLAYING) {
            over(q);
        } else {
            boolean wasAnswered = q.answered;
            boolean suspended = halt == Halt.SUSPEND && outcome == Outcome.RECALLED && !wasAnswered && q.harmless();
            leaveCores(q, outcome, suspended);
            if (suspended) {
                pauseAgain = now;
                toHold(q);
            } else if (outcome == Outcome.RECALLED && !wasAnswered) {
                backToHold(q);
            } else {
                over(q);
            }
        }
        settle();
    }

    /** A run has reached its call to the store and is blocked until the call is made. */
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

    /**
     * A call to the store ended.
     *
     * @param duration time since the call was made
     */
    public void callEnded(QueryId id, Outcome outcome, long duration) {
        Query q = live.get(id);
        if (q == null || q.state != CALLING) {
            return;
        }
        calls.ended(now, q, outcome == Outcome.OVERDUE || outcome == Outcome.SEVERED);
        // A call that timed out had too little time reserved, if calls have become longer than the reservation.
        callPart = outcome == Outcome.OVERDUE
                ? Math.min(callTime, 2 * callPart)
                : outcome == Outcome.COMPLETED ? Math.max(callTime * CALL_PART, callPart * CALLS_CUT) : callPart;
        if (outcome == Outcome.COMPLETED) { // a lost reply does not mean that the store is slow
            calls.took.add(now, duration);
            calls.lately.add(now, duration);
            q.state = RUNNING;
            crowd.onCores(now, q);
        } else {
            stand(q);
            boolean provenNotRun = outcome == Outcome.SATURATED || outcome == Outcome.REFUSED_CONN;
            if (!q.harmless() && !provenNotRun) {
                q.calls = CALL_TRIES;
            }
            (q.workload.poorerValue > 0 ? atCall : callLater).add(q);
        }
        settle();
    }

    /** The caller of a query disconnected. */
    public void gone(QueryId id) {
        Query q = live.get(id);
        if (q == null) {
            return;
        }
        boolean cancel = q.state == RUNNING && q.harmless() && halt != Halt.OFF && !q.answered;
        q.answered = true;
        if (q.state == HELD || q.state == FOLLOWING || q.state == REPLAYING) {
            over(q);
        } else if (cancel) {
            out.stop(id);
        }
        settle();
    }

    /**
     * The server is to stop: health checks fail from now on.
     *
     * @param timeLeft after which the process ends
     */
    public void drain(long timeLeft) {
        draining = now;
        stopBy = now + timeLeft;
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

    /**
     * Sets the machine's gauges, which are evaluated with the next event.
     *
     * @param coresBusy busy share of the cores, 0 to 1
     * @param runQueue number of runs on the cores or waiting for one
     */
    public void gauges(double coresBusy, double runQueue) {
        this.coresBusy = coresBusy;
        this.runQueue = runQueue;
        gaugeDue = true;
    }

    /** A timer set through {@link Outgoing#wake} has expired. */
    public void timer(TimerId timer) {
        if (timer.equals(GAUGES)) {
            out.wake(now + GAUGE_EVERY, GAUGES);
        } else {
            gaugeDue = false;
            wakeAt = Long.MAX_VALUE;
        }
        settle();
    }

    // ---- refusal: each reading gives a probability for each band of revenue, and the highest of them counts

    private double chanceFor(Query q) {
        double spare = Math.max(1, q.workload.expected - runTime(q));
        double wait = (now - q.arrived + waitAhead(q.workload.revenue)) / spare;
        double surplus = q.tenant == null ? 0 : (1 - surplusWorth) * surplus(q.tenant);
        // A retry has less time left than a first query. But an idle server must not refuse it, which would cause
        // more retries.
        double load = Math.min(1, Math.max(dear(), runQueue / cores));
        double penalty = Math.max(surplus, q.again ? AGAIN_DOWN * manyAgain() * load : 0);
        return bandChance(revenues.headSet(q.workload.revenue).size() - penalty, wait, q.workload.callsBelow);
    }

    /** The part of a tenant's queries read here that exceeds this server's part of its share by more than chance. */
    private double surplus(Tenant tenant) {
        double share = tenant.perSecond() * LATE_SPAN / SECOND * SHARE_SLACK;
        double maxByChance = share + CHANCE * Math.sqrt(share);
        return Math.max(0, 1 - maxByChance / Math.max(1, tenant.reads().count(now)));
    }

    private double bandChance(double band, double wait, boolean callsStore) {
        // A few cores can be full for half a second by chance. Only a run queue above what chance explains is
        // overload.
        boolean overloaded = runQueue > cores + CHANCE * Math.sqrt(cores);
        double busy = overloaded ? rise(coresBusy, CPU_CUT, CPU_END, band) : 0;
        // A slow store delays only the workloads that call it, so the others are not refused for that.
        double ended = late.count(now) + (callsStore ? lateBelow.count(now) : 0);
        double lateShare = (late.sum(now) + (callsStore ? lateBelow.sum(now) : 0)) / Math.max(ended, cores);
        return Math.max(
                rise(wait, WAIT_CUT, WAIT_END, band), Math.max(busy, rise(lateShare, LATE_CUT, LATE_END, band)));
    }

    /** Rises linearly from 0 to 1 over the band's part of the range between the two bounds. */
    private double rise(double reading, double from, double all, double band) {
        double width = (all - from) / revenues.size();
        return Math.min(1, Math.max(0, (reading - from - band * width) / width));
    }

    /**
     * Whether to advise against a retry on another server. Many retries mean that the other servers refuse as well,
     * so that one more would only cost reading. Many refusals here mean the same, for callers that don't mark
     * retries. The advice does harm if only this server is overloaded.
     */
    private boolean nowhereElse(Query q) {
        return q.again || manyAgain() > 0 || turned.count(now) > TURNED_MANY * Math.max(cores, tries.count(now));
    }

    /** By how much the share of retries exceeds what the trouble of one server alone explains. */
    private double manyAgain() {
        return Math.max(0, tries.sum(now) / Math.max(cores, tries.count(now)) - AGAIN_MANY);
    }

    /**
     * The cost of reading queries, relative to running them. If reading is quick next to a run, a refusal costs
     * little, whereas advising callers to wait costs queries of the highest revenue.
     */
    private double dear() {
        return DEAR * unread.mean(now) / Math.max(1, meanRun());
    }

    private long adviceFor() {
        double refusedShare = turned.count(now) / Math.max((double) cores, tries.count(now));
        return (long) (keepOffMost * Math.min(1, dear()) * refusedShare);
    }

    private void readGauges() {
        gaugeDue = false;
        if (calls.lately.count(now) > BUCKETS) {
            callUsual = Math.min(callUsual, calls.lately.mean(now));
        }
        double recent = calls.took.sum(now) / Math.max(CALLS_FEW, calls.took.count(now));
        // An overloaded store gets less done, so fewer calls are sent while they take far longer than usual. This
        // also covers a store that is slow for other reasons; it does harm if calls have become longer for good. A
        // share that is used up is taken as a sign of slowness too, since calls may have been slow from the start.
        boolean usedUp = !atCall.isEmpty() && atCall.peek().workload.poorerValue > 0 && !callFits();
        callsAllowed = usedUp || recent > CALL_SLOW * callUsual
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
     * Sets the idle timeout with the greatest gain. Callers that seldom come back fill the connection table with
     * connections that are not used again; callers that do come back save an opening. This also protects against
     * tables filled by retries; it does harm if opening a connection costs far more than keeping one.
     */
    private void keepIdle() {
        long timeout = returns.best(now);
        if (idleFor != timeout) {
            idleFor = timeout;
            out.closeIdle(timeout);
        }
    }

    /** Advertises overload to callers, so that they don't send queries that would be refused. */
    private void saySoon() {
        double meanRunTime = meanRun();
        if (said == Said.OFF || meanRunTime <= 0) {
            return;
        }
        double spare = Math.max(1, shortest - meanRunTime);
        double load = 0;
        int band = 0;
        for (double revenue : revenues) {
            load += bandChance(band++, waitAhead(revenue) / spare, true) / revenues.size();
        }
        if (Math.abs(load - saidLast) > SAY_STEP * Math.max(load, saidLast)) {
            saidLast = load;
            out.say(load);
        }
    }

    // ---- the incoming query

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

    /** A repeat is answered from the query that it repeats, at once or as soon as that query starts. */
    private void follow() {
        Query q = fresh;
        takeFresh(FOLLOWING);
        if (q.leader.state == HELD || q.leader.state == FOLLOWING) {
            q.leader.followers.add(q);
        } else {
            reuses.add(q);
        }
    }

    private void deferFresh(long retryAfter, boolean finalRefusal) {
        turned.add(now, 1);
        Query q = fresh;
        fresh = null;
        defer(q, retryAfter, finalRefusal);
    }

    private void takeFresh(Query.State state) {
        Query q = fresh;
        fresh = null;
        memory.held += q.size;
        q.state = state;
        watch(q, q.useBy);
        if (state == FOLLOWING) {
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

    private void keep(Query q, long duration) {
        q.kept = true;
        memory.keep(now, duration);
        out.keep(q.id, duration);
    }

    // ---- time left

    /**
     * Mean of the workload's runs and one mean run of all; in proportion to the prediction, if it is below the usual
     * one.
     */
    private long runTime(Query q) {
        Workload w = q.workload;
        double mean = (w.runs.sum(now) + meanRun()) / (w.runs.count(now) + 1);
        double usual = w.predicted.mean(now);
        return (long) (q.predicted > 0 && usual > 0 ? mean * Math.min(1, q.predicted / usual) : mean);
    }

    /** Mean duration of a run; no less than the mean age of the runs on the cores, so that a stall shows at once. */
    private long meanRun() {
        return Math.max((long) runs.mean(now), crowd.meanAge(now));
    }

    /** Estimated time that an incoming query of this revenue waits for a core. */
    private long waitAhead(double revenue) {
        if (hold.isEmpty() && coresFree()) {
            return 0;
        }
        int ahead = 1;
        for (Query q : hold) {
            ahead += q.workload.revenue >= revenue ? 1 : 0;
        }
        int active = 0;
        for (Workload w : workloads.values()) {
            active += w.revenue >= revenue ? w.begun : 0;
        }
        boolean startsAtOnce = halt == Halt.SUSPEND && ahead + active <= runsAllowed; // the others can be suspended
        return startsAtOnce ? 0 : (long) (ahead * meanRun() / Math.max(crowd.on, runsAllowed));
    }

    /**
     * A query that can't be answered in time for its full revenue must not take memory or cores. One query of a
     * workload may try all the same if it need not wait.
     */
    private boolean tooLate(Query q) {
        long wait = waitAhead(q.workload.revenue);
        return now >= q.goodBy || (wait > 0 || q.workload.begun > 0) && now + wait + runTime(q) > q.goodBy;
    }

    private boolean cannotMake(Query q) {
        return crowd.all > 0 && now + (long) (NEEDS * runTime(q)) > q.goodBy;
    }

    // ---- answers

    private void watch(Query q, long time) {
        dues.add(new Due(time, order++, q));
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
        boolean finalDeadline = q.answerBy <= now;
        boolean canCancel = q.state == AT_CALL || q.harmless() && (q.state != RUNNING || halt != Halt.OFF);
        if (finalDeadline || canCancel || !q.ran) {
            giveUp(q);
        } else {
            watch(q, q.answerBy);
        }
    }

    private void giveUp(Query q) {
        Query.State previous = q.state;
        if (q.ran && !q.harmless() || previous == REPLAYING) {
            q.answered = true;
            out.fail(q.id);
            if (previous == REPLAYING) {
                over(q);
            }
        } else {
            defer(q, 0, true);
        }
        if (previous == RUNNING && q.harmless() && halt != Halt.OFF) {
            out.stop(q.id);
        }
    }

    private void defer(Query q, long retryAfter, boolean finalRefusal) {
        q.answered = true;
        out.defer(q.id, draining >= 0 ? keepOffMost : Math.min(retryAfter, keepOffMost), finalRefusal);
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

    /** Repeats are answered from a query that has run. If it never will run, the first of them runs in its place. */
    private void releaseFollowers(Query q) {
        Query successor = null;
        for (Query follower : q.followers) {
            if (follower.open() && q.ran) {
                reuses.add(follower);
            } else if (follower.open() && successor == null) {
                successor = follower;
                follower.leader = null;
                toHold(follower);
                if (follower.workload.effect == Effect.STAMPED) {
                    keep(follower, follower.workload.window);
                }
            } else if (follower.open()) {
                follower.leader = successor;
                successor.followers.add(follower);
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

    /** The latest run of the lowest revenue, if below that of the first waiting query; else null. */
    private Query pausable() {
        Query candidate = null;
        for (Query q : live.values()) {
            boolean canSuspend = q.state == RUNNING && q.harmless() && !q.answered;
            if (canSuspend
                    && q.workload.revenue < hold.peek().workload.revenue
                    && (candidate == null || DEARER.compare(q, candidate) > 0)) {
                candidate = q;
            }
        }
        return candidate;
    }

    /** The kernel does not report a suspension that did not take place, so it is asked for again after a while. */
    private void pause(Query q) {
        pauseAgain = now + GAUGE_EVERY;
        out.stop(q.id);
    }

    private void leaveCores(Query q, Outcome outcome, boolean suspended) {
        if (q.state == RUNNING) {
            crowd.offCores(now, q);
        } else if (q.state == CALLING) {
            calls.ended(now, q, true);
        }
        crowd.all--;
        q.workload.begun--;
        if (suspended) {
            q.paused = true;
            return;
        }
        memory.running -= q.size * memory.runFactor;
        // A server whose runs fail at once is idle, answers fastest and so attracts queries. A failed run therefore
        // counts like a late one, and does not count for the duration of a run.
        boolean failed = outcome == Outcome.ERRORED && !q.stood;
        if (outcome != Outcome.SUPERSEDED && !failed) {
            runs.add(now, q.onCores);
            q.workload.runs.add(now, now - q.began);
            q.workload.predicted.add(now, q.predicted);
        }
        if (outcome != Outcome.SUPERSEDED) {
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

    // ---- calls to the store

    /**
     * A query that has an effect keeps running when it earns nothing any more, but it does not wait for a call then.
     */
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
        // A degraded answer needs time too, and is worth more than a late one.
        return Math.max(1, q.workload.poorerValue > 0 ? (q.goodBy - now) / 2 : q.useBy - now);
    }

    /**
     * A share of more than one call is cut by the limit on calls in flight; one below that by this factor on call
     * time.
     */
    private double callPace() {
        return Math.min(1, callsAllowed) / Math.min(1, callsShare);
    }

    /**
     * Call time of this server's share that is neither used in the window nor reserved. What the server before a cold
     * one used still counts at the store, and is not known here: it may have been all that is safe, spread evenly. So
     * a cold server's share grows over the window, starting with the safety margin that no server uses.
     */
    private double callRoom() {
        double passedShare = cold && callSpan > 0 ? (now - born) / (double) callSpan : 1;
        double usableShare = Math.min(1, passedShare + (1 - BELOW_SAFE) / BELOW_SAFE);
        return callTime * callPace() * usableShare - calls.taken(now) - calls.linger;
    }

    /**
     * In a large fleet a server's share is about one call, and the time that a query has left may exceed the call
     * time of the whole window. Such a call would never be sent, nor any behind it, so none waits for more than a
     * part of that time.
     */
    private boolean callFits() {
        return !atCall.isEmpty()
                && calls.inHand < Math.max(1, callsAllowed)
                && Math.min(timeOut(atCall.peek()), callTime * callPace() * CALL_PART) <= callRoom();
    }

    /**
     * A call that may be repeated reserves only a part, so that a lost reply can't block the share; others reserve
     * all of it.
     */
    private void call() {
        Query q = atCall.poll();
        double available = q.harmless() ? Math.min(callPart, callRoom()) : callRoom();
        long timeout = (long) Math.max(1, Math.min(timeOut(q), available));
        q.calls++;
        q.state = CALLING;
        q.called = now;
        q.callUntil = now + timeout;
        calls.begun(q);
        out.call(q.id, timeout);
    }

    // ---- timers

    private void setTimer() {
        wakeAt = Math.max(now + 1, dues.peek().at());
        out.wake(wakeAt, DUES);
    }
}
