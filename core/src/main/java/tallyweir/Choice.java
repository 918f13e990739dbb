package tallyweir;

import static tallyweir.Query.State.*;

import java.util.*;
import tallyweir.ids.*;
import tallyweir.ring.SlidingWindow;
import tallyweir.rules.RuleList;

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
    static final double BUSY_CORES_REFUSE_FROM = 0.90;
    // Above 1, so that busy cores alone never refuse all queries of the highest revenue.
    static final double BUSY_CORES_REFUSE_ALL = 1.10;
    static final double LATE_SHARE_REFUSE_FROM = 0.25;
    static final double LATE_SHARE_REFUSE_ALL = 1.0;
    // The wait is measured as a share of the time that a query can spare.
    static final double WAIT_SHARE_REFUSE_FROM = 0.25;
    static final double WAIT_SHARE_REFUSE_ALL = 1.0;
    // A few seconds, as in the same algorithm.
    static final long MEASUREMENT_WINDOW_TENTHS_MS = 3 * 10_000;
    static final long SECOND_TENTHS_MS = 10_000;
    static final long GAUGE_INTERVAL_TENTHS_MS = SECOND_TENTHS_MS / 10;
    static final int WINDOW_BUCKETS = 12;

    // Safety margins and thresholds, as ratios of what the settings allow.

    // A run starts only below this share of the concurrency that the server survives now.
    static final double MAX_CONCURRENCY_SHARE = 0.85;
    // Shares of the memory limit up to which a run may start, a query is admitted, and results of harmless queries are
    // retained.
    static final double MAX_MEMORY_SHARE_TO_RUN = 0.95;
    static final double MAX_MEMORY_SHARE_TO_ADMIT = 0.85;
    static final double MAX_MEMORY_SHARE_TO_RETAIN = 0.30;
    // The part of this server's share of the calls in flight that is used.
    static final double MAX_CALL_SHARE = 0.90;
    // Run queue length per core above which fewer concurrent runs are allowed.
    static final double MAX_RUN_QUEUE_PER_CORE = 1.25;
    // A query is given up if less than this part of its estimated run time is left.
    static final double MIN_RUN_SHARE_LEFT = 0.5;
    // Queries of a tenant count as surplus only above this multiple of its share.
    static final double TENANT_SHARE_TOLERANCE = 1.1;
    // Standard deviations of a count that are attributed to chance.
    static final double CHANCE_DEVIATIONS = 2;
    // A larger share of retries among the queries read means that the whole fleet is overloaded.
    static final double MAX_USUAL_RETRY_SHARE = 0.20;
    // A larger share of refusals means the same, for callers that don't mark their retries.
    static final double MAX_USUAL_REFUSAL_SHARE = 0.20;
    // Bands by which a retry is ranked lower, per unit of the share of retries above the limit.
    static final double RETRY_PENALTY_BANDS = 3;
    // Calls that take longer than this multiple of their usual duration are slow; fewer are sent then.
    static final double SLOW_CALL_RATIO = 3;
    // With fewer calls than this, their total duration is still divided by this number to get the mean.
    static final double MIN_CALLS_FOR_MEAN = 3;
    // The calls allowed in flight never fall below this part of the server's share.
    static final double MIN_CALL_LIMIT_SHARE = 0.2;
    // Factor by which the calls allowed in flight shrink, and recover, at each reading of the gauges.
    static final double CALL_LIMIT_DECAY = 0.9;
    // Part of the window's call time that is at first reserved for a call that may be repeated.
    static final double INITIAL_RESERVATION_SHARE = 0.25;
    // Smaller relative changes of the load are not advertised.
    static final double MIN_ADVERTISED_CHANGE = 0.1;
    // Weight of the time that queries lie unread, relative to the duration of a run, in the advice to wait.
    static final double UNREAD_TIME_WEIGHT = 5;
    static final int MAX_CALL_ATTEMPTS = 3;
    // Cost of a connection that is idle for the maximum time, in connection openings.
    static final double MAX_IDLE_COST_OPENINGS = 2;
    // Number of idle timeouts compared.
    static final int IDLE_TIMEOUT_COUNT = 6;
    // Each idle timeout is the next longer one divided by this.
    static final int IDLE_TIMEOUT_RATIO = 5;

    private final Outgoing out;
    private final SplittableRandom random;
    private final long startedAt;
    private long now;
    private final Map<WorkloadId, Workload> workloads = new HashMap<>();
    private final TreeSet<Double> revenues = new TreeSet<>();
    private final Map<TenantId, Tenant> tenants = new HashMap<>();
    private final Map<QueryId, Query> liveQueries = new HashMap<>();
    // Order of waiting queries and calls: higher revenue first, then first come, first served.
    private static final Comparator<Query> BY_REVENUE_THEN_ORDER =
            Comparator.comparingDouble((Query q) -> -q.workload.revenue).thenComparingLong(q -> q.sequence);
    private final PriorityQueue<Query> waitingQueue = new PriorityQueue<>(BY_REVENUE_THEN_ORDER);
    private final PriorityQueue<Query> callQueue = new PriorityQueue<>(BY_REVENUE_THEN_ORDER);
    private final ArrayDeque<Query> callRetries = new ArrayDeque<>();
    private final ArrayDeque<Query> replayQueue = new ArrayDeque<>();
    private final TreeSet<QueryDeadline> deadlines = new TreeSet<>();
    // 1 for each run past its expected time, else 0.
    private final SlidingWindow lateRuns = new SlidingWindow(MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS);
    // The same, of runs that called the store.
    private final SlidingWindow lateCallingRuns = new SlidingWindow(MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS);
    private final SlidingWindow runDurations = new SlidingWindow(MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS);
    // Times that queries waited to be read.
    private final SlidingWindow unreadTimes = new SlidingWindow(MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS);
    private final SlidingWindow refusals = new SlidingWindow(MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS);
    // Its count is the number of queries read, its sum the number of retries among them.
    private final SlidingWindow readsAndRetries = new SlidingWindow(MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS);
    private IdleTimeoutChooser idleTimeouts;
    private long maxIdle;
    private long idleTimeout;
    private Query incoming;
    // Admitting the next query would leave no connection for health checks.
    private boolean onLastConnection;
    private double incomingDraw;
    private long nextSequence;
    private long deadlineTimerAt = Long.MAX_VALUE;
    private boolean gaugesPending;
    private boolean gaugesMissed; // the last ones asked for did not arrive
    private double coresBusy;
    private double runQueue;
    private final Concurrency concurrency = new Concurrency();
    private MemoryUse memoryUse;
    private CallBudget callBudget;
    private int cores;
    // Concurrent runs that are allowed on the cores.
    private double runLimit;
    // No run is suspended before this time.
    private long nextSuspendAt;
    private double collapseMultiple;
    private double coldStartShare;
    private long coldDuration;
    private double callShare;
    // Calls that are allowed in flight.
    private double callLimit;
    private double usualCallDuration = Double.MAX_VALUE;
    // Replaces a server that ended shortly before.
    private boolean cold;
    private long callWindow;
    // Time that this server's calls may take in the window.
    private double callTimeShare;
    // Part of that time that is reserved for one call that may be repeated.
    private double callReservation;
    private CancellationMode cancellation = CancellationMode.OFF;
    private LoadAdvice loadAdvice = LoadAdvice.OFF;
    private double lastAdvertisedLoad;
    // Shortest expected time of all workloads.
    private long minExpectedTime = Long.MAX_VALUE;
    private long pollInterval = 1;
    private long drainGrace;
    private long resultShareDuration;
    private long maxRetryAfter;
    private double surplusWeight = 1;
    // Negative while the server is not draining.
    private long drainStartedAt = -1;
    private long stopDeadline = Long.MAX_VALUE;
    private final RuleList rules = new RuleList();

    /**
     * @param seed of the random draws, so that decisions can be reproduced
     * @param now current time
     */
    public Choice(Outgoing out, long seed, long now) {
        this.out = out;
        this.random = new SplittableRandom(seed);
        this.startedAt = now;
        this.now = now;
        // Order: due answers, the incoming query, waiting replays, calls to the store, runs on the cores, timers.
        rules.add(this::isDeadlineDue, this::handleDeadline);
        rules.add(() -> incoming != null && isTooLateToAnswer(incoming), () -> deferIncoming(maxRetryAfter, true));
        rules.add(() -> incoming != null && onLastConnection, () -> deferIncoming(adviseRetryAfter(), false));
        rules.add(
                () -> incoming != null
                        && incoming.leader == null
                        && (incomingDraw < refusalProbability(incoming) || wouldBeLate(incoming)),
                () -> deferIncoming(adviseRetryAfter(), isFinalRefusal(incoming)));
        rules.add(
                () -> incoming != null && !fitsMemoryToAdmit(incoming), () -> deferIncoming(adviseRetryAfter(), false));
        rules.add(() -> incoming != null && incoming.leader != null, this::followLeader);
        rules.add(() -> incoming != null, () -> admitIncoming(HELD));
        rules.add(() -> !replayQueue.isEmpty(), this::replayNext);
        rules.add(this::isNextCallHopeless, this::giveUpNextCall);
        rules.add(this::fitsNextCall, this::startNextCall);
        rules.add(
                () -> !waitingQueue.isEmpty() && canNoLongerBeInTime(waitingQueue.peek()),
                () -> giveUp(waitingQueue.peek()));
        rules.add(
                () -> !waitingQueue.isEmpty() && hasFreeCore() && fitsMemoryToRun(waitingQueue.peek()),
                this::startNext);
        rules.add(
                () -> !waitingQueue.isEmpty() && maySuspend() && suspensionCandidate() != null,
                () -> suspend(suspensionCandidate()));
        rules.add(() -> gaugesPending, this::evaluateGauges);
        rules.add(() -> !deadlines.isEmpty() && deadlines.first().dueAt() < deadlineTimerAt, this::setDeadlineTimer);
    }

    private void applyRules() {
        rules.runUntilStable();
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
    public void configureMachine(
            int cores,
            double collapseMultiple,
            boolean cold,
            double coldStartShare,
            long coldDuration,
            CancellationMode cancellation) {
        this.cores = cores;
        this.cold = cold;
        this.cancellation = cancellation;
        runLimit = cores;
        this.collapseMultiple = collapseMultiple;
        this.coldStartShare = coldStartShare;
        this.coldDuration = cold ? coldDuration : 0;
    }

    /** Concurrent runs that the server survives now. A cold server is taken to warm up linearly, the worst case. */
    private double survivableConcurrency() {
        double warm = coldDuration <= 0
                ? 1
                : coldStartShare + (1 - coldStartShare) * Math.min(1, (now - startedAt) / (double) coldDuration);
        return cores * (1 + (collapseMultiple - 1) * warm);
    }

    /**
     * Sets the memory limit.
     *
     * @param runMemoryFactor memory of a run over the size of its query
     * @param entryKb memory of one retained result
     */
    public void configureMemory(double limitKb, double runMemoryFactor, double entryKb) {
        memoryUse = new MemoryUse(limitKb, runMemoryFactor, entryKb);
    }

    /**
     * Sets this server's share of the calls to the store.
     *
     * @param maxCallsInFlight mean number of calls in flight over the window; 0 or less for no limit
     * @param shareWindow over which that mean is taken
     * @param linger time for which an abandoned call still occupies the store
     */
    public void configureCalls(double maxCallsInFlight, long shareWindow, long linger) {
        callBudget =
                new CallBudget(shareWindow, SECOND_TENTHS_MS, MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS, linger);
        callShare = maxCallsInFlight <= 0 ? Double.MAX_VALUE : maxCallsInFlight;
        callLimit = callShare;
        callWindow = shareWindow;
        callTimeShare = maxCallsInFlight <= 0 ? Double.MAX_VALUE : maxCallsInFlight * shareWindow * MAX_CALL_SHARE;
        callReservation = callTimeShare * INITIAL_RESERVATION_SHARE;
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
    public void addWorkload(
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
        settings.setMeasurementWindow(MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS);
        workloads.put(id, settings);
        revenues.add(revenue);
        minExpectedTime = Math.min(minExpectedTime, expectedTime);
    }

    /** Adds a tenant whose quota is divided evenly among this many servers. */
    public void addTenant(TenantId id, double quotaPerSecond, int servers) {
        tenants.put(
                id,
                new Tenant(
                        quotaPerSecond / Math.max(1, servers),
                        new SlidingWindow(MEASUREMENT_WINDOW_TENTHS_MS, WINDOW_BUCKETS)));
    }

    /**
     * Sets the rules for answers.
     *
     * @param pollInterval time that may pass between two batches of events; answers are given earlier by this much
     * @param drainGrace time after the start of draining in which arriving queries are still carried out
     * @param surplusWeight weight, 0 to 1, of queries above a tenant's share
     */
    public void configureAnswers(long pollInterval, long drainGrace, double surplusWeight) {
        this.pollInterval = Math.max(1, pollInterval);
        this.drainGrace = drainGrace;
        this.surplusWeight = surplusWeight;
    }

    /**
     * Sets what callers may be told and given.
     *
     * @param resultShareDuration time for which the result of a harmless query may be shared; 0 for never
     * @param maxRetryAfter longest time that a caller may be advised to wait; 0 for no advice
     */
    public void configureCallers(LoadAdvice loadAdvice, long resultShareDuration, long maxRetryAfter) {
        this.loadAdvice = loadAdvice;
        this.resultShareDuration = resultShareDuration;
        this.maxRetryAfter = maxRetryAfter;
    }

    /** Sets the longest time that a connection may be idle. */
    public void configureConnections(long maxIdleTime) {
        this.maxIdle = Math.max(1, maxIdleTime);
        long[] timeouts = new long[IDLE_TIMEOUT_COUNT];
        for (int i = 0; i < IDLE_TIMEOUT_COUNT; i++) {
            timeouts[i] = Math.min(this.maxIdle, Math.max(100, (long) (maxIdleTime / Math.pow(IDLE_TIMEOUT_RATIO, i))));
        }
        idleTimeouts = new IdleTimeoutChooser(now, timeouts, maxIdleTime / 2, WINDOW_BUCKETS);
        idleTimeout = this.maxIdle;
    }

    /** Starts to accept events, after all settings were made. */
    public void start() {
        out.setHealth(true, true);
        updateIdleTimeout();
        out.setTimer(now + GAUGE_INTERVAL_TENTHS_MS, GAUGES_TIMER);
    }

    // ---- events

    /** The timer at which the front end calls {@link #setGauges} before {@link #onTimer}. */
    public static final TimerId GAUGES_TIMER = new TimerId(1);

    private static final TimerId DEADLINE_TIMER = new TimerId(2);

    /** Sets the current time; a time earlier than the last one is ignored. */
    public void setTime(long now) {
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
    public void onQueryRead(
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
        q.sequence = nextSequence++;
        q.workload = workloads.get(workload);
        q.tenant = tenant == null ? null : tenants.get(tenant);
        q.subject = subject;
        q.arrivedAt = now - age;
        q.sizeKb = sizeKb;
        q.retry = retry;
        q.predictedRunTime = predictedRunTime;
        long deadline = timeout > 0 ? now + timeout : Math.max(now, q.arrivedAt + q.workload.hardLimit);
        q.answerDeadline = Math.min(deadline, stopDeadline) - pollInterval;
        q.fullRevenueUntil = Math.min(q.answerDeadline, q.arrivedAt + q.workload.expectedTime);
        q.anyRevenueUntil = q.workload.lateValue > 0 ? q.answerDeadline : q.fullRevenueUntil;
        if (earlier != null) {
            q.leader = liveQueries.get(earlier);
            if (q.leader == null) {
                q.leader = new Query(); // ended before: the replay finds out whether its result is still there
                q.leader.state = ENDED;
            } else if (q.isHarmless() && q.leader.answered) {
                q.leader = null; // already answered without its run, so there will be no result
            }
        }
        if (q.tenant != null && !retry) {
            q.tenant.reads().add(now, 1);
        }
        idleTimeouts.onRead(now, caller, MAX_IDLE_COST_OPENINGS / maxIdle);
        readsAndRetries.add(now, retry ? 1 : 0);
        unreadTimes.add(now, age);
        liveQueries.put(id, q);
        incoming = q;
        incomingDraw = nextDraw();
        applyRules();
    }

    /**
     * Sets whether the next query is on the only connection without an unanswered query while the connection table is
     * full. Such a query is deferred: admitted, it would block health checks until a query ends, and a server that is
     * merely busy would look dead.
     */
    public void setOnLastConnection(boolean last) {
        onLastConnection = last;
    }

    /** Draws a number from 0 to 1 for each query read. Overridden so that shadow settings get the same draws. */
    protected double nextDraw() {
        return random.nextDouble();
    }

    /** A run or a replay ended, was cancelled or was suspended. */
    public void onRunEnded(QueryId id, Outcome outcome) {
        Query q = liveQueries.get(id);
        if (q == null || q.state == HELD || q.state == FOLLOWING) {
            return;
        }
        if (q.state == REPLAYING) {
            end(q);
        } else {
            boolean wasAnswered = q.answered;
            boolean suspended = cancellation == CancellationMode.SUSPEND
                    && outcome == Outcome.RECALLED
                    && !wasAnswered
                    && q.isHarmless();
            endRun(q, outcome, suspended);
            if (suspended) {
                nextSuspendAt = now;
                enqueue(q);
            } else if (outcome == Outcome.RECALLED && !wasAnswered) {
                requeueCancelled(q);
            } else {
                end(q);
            }
        }
        applyRules();
    }

    /**
     * It isn't known whether a run that was started is on the cores: its start, the reply to its call or its end may be
     * lost.
     */
    public void onRunUncertain(QueryId id) {
        Query q = liveQueries.get(id);
        if (q != null && q.state == RUNNING) {
            concurrency.disregardAge(q);
        }
    }

    /** A run has reached its call to the store and is blocked until the call is made. */
    public void onBlockedOnCall(QueryId id) {
        Query q = liveQueries.get(id);
        if (q != null && q.state == RUNNING) {
            concurrency.leaveCores(now, q);
            blockOnCall(q);
            q.wasBlocked = true;
            q.callAttempts = 0;
            callQueue.add(q);
            applyRules();
        }
    }

    /**
     * A call to the store ended.
     *
     * @param duration time since the call was made
     */
    public void onCallEnded(QueryId id, Outcome outcome, long duration) {
        Query q = liveQueries.get(id);
        if (q == null || q.state != CALLING) {
            return;
        }
        callBudget.onCallEnded(now, q, outcome == Outcome.OVERDUE || outcome == Outcome.SEVERED);
        // A call that timed out had too little time reserved, if calls have become longer than the reservation.
        callReservation = outcome == Outcome.OVERDUE
                ? Math.min(callTimeShare, 2 * callReservation)
                : outcome == Outcome.COMPLETED
                        ? Math.max(callTimeShare * INITIAL_RESERVATION_SHARE, callReservation * CALL_LIMIT_DECAY)
                        : callReservation;
        if (outcome == Outcome.COMPLETED) { // a lost reply does not mean that the store is slow
            callBudget.recentDurations.add(now, duration);
            callBudget.usualDurations.add(now, duration);
            q.state = RUNNING;
            concurrency.enterCores(now, q);
        } else {
            blockOnCall(q);
            boolean provenNotRun = outcome == Outcome.SATURATED || outcome == Outcome.REFUSED_CONN;
            if (!q.isHarmless() && !provenNotRun) {
                q.callAttempts = MAX_CALL_ATTEMPTS;
            }
            (q.workload.degradedValue > 0 ? callQueue : callRetries).add(q);
        }
        applyRules();
    }

    /** The caller of a query disconnected. */
    public void onCallerDisconnected(QueryId id) {
        Query q = liveQueries.get(id);
        if (q == null) {
            return;
        }
        boolean cancel = q.state == RUNNING && q.isHarmless() && cancellation != CancellationMode.OFF && !q.answered;
        q.answered = true;
        if (q.state == HELD || q.state == FOLLOWING || q.state == REPLAYING) {
            end(q);
        } else if (cancel) {
            out.cancel(id);
        }
        applyRules();
    }

    /** The notice to shut down comes now; see {@link #drain(long, long)}. */
    public final void drain(long timeLeft) {
        drain(now, timeLeft);
    }

    /**
     * The server is to stop: health checks fail from now on.
     *
     * @param noticeAt when the notice to shut down came; the grace in which arriving queries still run begins then
     * @param timeLeft after which the process ends, from now
     */
    public void drain(long noticeAt, long timeLeft) {
        drainStartedAt = noticeAt;
        stopDeadline = now + timeLeft;
        for (Query q : liveQueries.values().stream()
                .sorted(Comparator.comparingLong(q -> q.sequence))
                .toList()) {
            q.answerDeadline = Math.min(q.answerDeadline, stopDeadline - pollInterval);
            q.anyRevenueUntil = Math.min(q.anyRevenueUntil, q.answerDeadline);
            q.fullRevenueUntil = Math.min(q.fullRevenueUntil, q.answerDeadline);
            setDeadline(q, q.anyRevenueUntil);
        }
        out.setHealth(false, true);
        applyRules();
    }

    /**
     * Sets the machine's gauges, which are evaluated with the next event.
     *
     * @param coresBusy busy share of the cores, 0 to 1
     * @param runQueue number of runs on the cores or waiting for one
     */
    public void setGauges(double coresBusy, double runQueue) {
        this.coresBusy = coresBusy;
        this.runQueue = runQueue;
        gaugesPending = true;
    }

    /** A timer set through {@link Outgoing#setTimer} has expired. */
    public void onTimer(TimerId timer) {
        if (timer.equals(GAUGES_TIMER)) {
            gaugesMissed = !gaugesPending;
            out.setTimer(now + GAUGE_INTERVAL_TENTHS_MS, GAUGES_TIMER);
        } else {
            gaugesPending = false;
            deadlineTimerAt = Long.MAX_VALUE;
        }
        applyRules();
    }

    // ---- refusal: each reading gives a probability for each band of revenue, and the highest of them counts

    private double refusalProbability(Query q) {
        double spare = Math.max(1, q.workload.expectedTime - estimateRunTime(q));
        double wait = (now - q.arrivedAt + estimateWait(q.workload.revenue)) / spare;
        double surplus = q.tenant == null ? 0 : (1 - surplusWeight) * surplusShare(q.tenant);
        // A retry has less time left than a first query. But an idle server must not refuse it, which would cause
        // more retries.
        double load = Math.min(1, Math.max(readingCost(), runQueue / cores));
        double penalty = Math.max(surplus, q.retry ? RETRY_PENALTY_BANDS * excessRetryShare() * load : 0);
        return bandRefusalProbability(
                revenues.headSet(q.workload.revenue).size() - penalty, wait, q.workload.callsStore);
    }

    /** The part of a tenant's queries read here that exceeds this server's part of its share by more than chance. */
    private double surplusShare(Tenant tenant) {
        double share =
                tenant.quotaPerSecond() * MEASUREMENT_WINDOW_TENTHS_MS / SECOND_TENTHS_MS * TENANT_SHARE_TOLERANCE;
        double maxByChance = share + CHANCE_DEVIATIONS * Math.sqrt(share);
        return Math.max(0, 1 - maxByChance / Math.max(1, tenant.reads().count(now)));
    }

    private double bandRefusalProbability(double band, double wait, boolean callsStore) {
        // A few cores can be full for half a second by chance. Only a run queue above what chance explains is
        // overload.
        boolean overloaded = runQueue > cores + CHANCE_DEVIATIONS * Math.sqrt(cores);
        double busy = overloaded ? ramp(coresBusy, BUSY_CORES_REFUSE_FROM, BUSY_CORES_REFUSE_ALL, band) : 0;
        // A slow store delays only the workloads that call it, so the others are not refused for that.
        double ended = lateRuns.count(now) + (callsStore ? lateCallingRuns.count(now) : 0);
        double lateShare = (lateRuns.sum(now) + (callsStore ? lateCallingRuns.sum(now) : 0)) / Math.max(ended, cores);
        return Math.max(
                ramp(wait, WAIT_SHARE_REFUSE_FROM, WAIT_SHARE_REFUSE_ALL, band),
                Math.max(busy, ramp(lateShare, LATE_SHARE_REFUSE_FROM, LATE_SHARE_REFUSE_ALL, band)));
    }

    /** Rises linearly from 0 to 1 over the band's part of the range between the two bounds. */
    private double ramp(double reading, double from, double all, double band) {
        double width = (all - from) / revenues.size();
        return Math.min(1, Math.max(0, (reading - from - band * width) / width));
    }

    /**
     * Whether to advise against a retry on another server. Many retries mean that the other servers refuse as well,
     * so that one more would only cost reading. Many refusals here mean the same, for callers that don't mark
     * retries. The advice does harm if only this server is overloaded.
     */
    private boolean isFinalRefusal(Query q) {
        return q.retry
                || excessRetryShare() > 0
                || refusals.count(now) > MAX_USUAL_REFUSAL_SHARE * Math.max(cores, readsAndRetries.count(now));
    }

    /** By how much the share of retries exceeds what the trouble of one server alone explains. */
    private double excessRetryShare() {
        return Math.max(
                0, readsAndRetries.sum(now) / Math.max(cores, readsAndRetries.count(now)) - MAX_USUAL_RETRY_SHARE);
    }

    /**
     * The cost of reading queries, relative to running them. If reading is quick next to a run, a refusal costs
     * little, whereas advising callers to wait costs queries of the highest revenue.
     */
    private double readingCost() {
        return UNREAD_TIME_WEIGHT * unreadTimes.mean(now) / Math.max(1, meanRunDuration());
    }

    private long adviseRetryAfter() {
        double refusedShare = refusals.count(now) / Math.max((double) cores, readsAndRetries.count(now));
        return (long) (maxRetryAfter * Math.min(1, readingCost()) * refusedShare);
    }

    private void evaluateGauges() {
        gaugesPending = false;
        if (callBudget.usualDurations.count(now) > WINDOW_BUCKETS) {
            usualCallDuration = Math.min(usualCallDuration, callBudget.usualDurations.mean(now));
        }
        double recent = callBudget.recentDurations.sum(now)
                / Math.max(MIN_CALLS_FOR_MEAN, callBudget.recentDurations.count(now));
        // An overloaded store gets less done, so fewer calls are sent while they take far longer than usual. This
        // also covers a store that is slow for other reasons; it does harm if calls have become longer for good. A
        // share that is used up is taken as a sign of slowness too, since calls may have been slow from the start.
        boolean usedUp = !callQueue.isEmpty() && callQueue.peek().workload.degradedValue > 0 && !fitsNextCall();
        callLimit = usedUp || recent > SLOW_CALL_RATIO * usualCallDuration
                ? Math.max(callShare * MIN_CALL_LIMIT_SHARE, callLimit * CALL_LIMIT_DECAY)
                : Math.min(callShare, callLimit / CALL_LIMIT_DECAY);
        if (!waitingQueue.isEmpty() && runQueue < cores) {
            runLimit += Math.max(1, cores - runQueue);
        } else if (runQueue > cores * MAX_RUN_QUEUE_PER_CORE) {
            runLimit -= 1;
        }
        runLimit = Math.max(cores, Math.min(runLimit, survivableConcurrency()));
        updateAdvertisedLoad();
        updateIdleTimeout();
        callQueue.addAll(callRetries);
        callRetries.clear();
    }

    /**
     * Sets the idle timeout with the greatest gain. Callers that seldom come back fill the connection table with
     * connections that are not used again; callers that do come back save an opening. This also protects against
     * tables filled by retries; it does harm if opening a connection costs far more than keeping one.
     */
    private void updateIdleTimeout() {
        long timeout = idleTimeouts.bestTimeout(now);
        if (idleTimeout != timeout) {
            idleTimeout = timeout;
            out.setIdleTimeout(timeout);
        }
    }

    /** Advertises overload to callers, so that they don't send queries that would be refused. */
    private void updateAdvertisedLoad() {
        double meanRunTime = meanRunDuration();
        if (loadAdvice == LoadAdvice.OFF || meanRunTime <= 0) {
            return;
        }
        double spare = Math.max(1, minExpectedTime - meanRunTime);
        double load = 0;
        int band = 0;
        for (double revenue : revenues) {
            load += bandRefusalProbability(band++, estimateWait(revenue) / spare, true) / revenues.size();
        }
        if (Math.abs(load - lastAdvertisedLoad) > MIN_ADVERTISED_CHANGE * Math.max(load, lastAdvertisedLoad)) {
            lastAdvertisedLoad = load;
            out.advertiseLoad(load);
        }
    }

    // ---- the incoming query

    private boolean isTooLateToAnswer(Query q) {
        return q.answerDeadline <= now || drainStartedAt >= 0 && q.arrivedAt > drainStartedAt + drainGrace;
    }

    private boolean fitsMemoryToAdmit(Query q) {
        double entry = q.workload.effect == Effect.STAMPED && q.leader == null ? memoryUse.entryKb : 0;
        return memoryUse.usedKb(now) + q.sizeKb + entry <= memoryUse.limitKb * MAX_MEMORY_SHARE_TO_ADMIT;
    }

    private boolean fitsMemoryToRetain() {
        return memoryUse.usedKb(now) + memoryUse.entryKb <= memoryUse.limitKb * MAX_MEMORY_SHARE_TO_ADMIT
                && memoryUse.retainedKb(now) + memoryUse.entryKb <= memoryUse.limitKb * MAX_MEMORY_SHARE_TO_RETAIN;
    }

    private boolean fitsMemoryToRun(Query q) {
        return q.suspended
                || memoryUse.usedKb(now) + q.sizeKb * (memoryUse.runMemoryFactor - 1)
                        <= memoryUse.limitKb * MAX_MEMORY_SHARE_TO_RUN;
    }

    private boolean hasFreeCore() {
        return concurrency.running < runLimit
                && concurrency.started + 1 <= survivableConcurrency() * MAX_CONCURRENCY_SHARE;
    }

    /** A repeat is answered from the query that it repeats, at once or as soon as that query starts. */
    private void followLeader() {
        Query q = incoming;
        admitIncoming(FOLLOWING);
        if (q.leader.state == HELD || q.leader.state == FOLLOWING) {
            q.leader.followers.add(q);
        } else {
            replayQueue.add(q);
        }
    }

    private void deferIncoming(long retryAfter, boolean finalRefusal) {
        refusals.add(now, 1);
        Query q = incoming;
        incoming = null;
        defer(q, retryAfter, finalRefusal);
    }

    private void admitIncoming(Query.State state) {
        Query q = incoming;
        incoming = null;
        memoryUse.heldKb += q.sizeKb;
        q.state = state;
        setDeadline(q, q.anyRevenueUntil);
        if (state == FOLLOWING) {
            return;
        }
        enqueue(q);
        boolean shared = q.isHarmless() && resultShareDuration > 0 && q.subject != null;
        if (q.workload.effect == Effect.STAMPED) {
            retain(q, q.workload.repeatWindow);
        } else if (shared && fitsMemoryToRetain()) {
            retain(q, q.workload.expectedTime + resultShareDuration);
        }
    }

    private void retain(Query q, long duration) {
        q.retained = true;
        memoryUse.retain(now, duration);
        out.retain(q.id, duration);
    }

    // ---- time left

    /**
     * Mean of the workload's runs and one mean run of all; in proportion to the prediction, if it is below the usual
     * one.
     */
    private long estimateRunTime(Query q) {
        Workload w = q.workload;
        double mean = (w.runDurations.sum(now) + meanRunDuration()) / (w.runDurations.count(now) + 1);
        double usual = w.predictedRunTimes.mean(now);
        return (long) (q.predictedRunTime > 0 && usual > 0 ? mean * Math.min(1, q.predictedRunTime / usual) : mean);
    }

    /** Mean duration of a run; no less than the mean age of the runs on the cores, so that a stall shows at once. */
    private long meanRunDuration() {
        return Math.max((long) runDurations.mean(now), concurrency.meanAge(now, gaugesMissed || runQueue >= cores));
    }

    /** Estimated time that an incoming query of this revenue waits for a core. */
    private long estimateWait(double revenue) {
        if (waitingQueue.isEmpty() && hasFreeCore()) {
            return 0;
        }
        int ahead = 1;
        for (Query q : waitingQueue) {
            ahead += q.workload.revenue >= revenue ? 1 : 0;
        }
        int active = 0;
        for (Workload w : workloads.values()) {
            active += w.revenue >= revenue ? w.startedRuns : 0;
        }
        boolean startsAtOnce =
                cancellation == CancellationMode.SUSPEND && ahead + active <= runLimit; // the others can be suspended
        return startsAtOnce ? 0 : (long) (ahead * meanRunDuration() / Math.max(concurrency.running, runLimit));
    }

    /**
     * A query that can't be answered in time for its full revenue must not take memory or cores. One query of a
     * workload may try all the same if it need not wait.
     */
    private boolean wouldBeLate(Query q) {
        long wait = estimateWait(q.workload.revenue);
        return now >= q.fullRevenueUntil
                || (wait > 0 || q.workload.startedRuns > 0) && now + wait + estimateRunTime(q) > q.fullRevenueUntil;
    }

    private boolean canNoLongerBeInTime(Query q) {
        return concurrency.started > 0 && now + (long) (MIN_RUN_SHARE_LEFT * estimateRunTime(q)) > q.fullRevenueUntil;
    }

    // ---- answers

    private void setDeadline(Query q, long time) {
        clearDeadline(q);
        q.deadline = new QueryDeadline(time, nextSequence++, q);
        deadlines.add(q.deadline);
    }

    private void clearDeadline(Query q) {
        if (q.deadline != null) {
            deadlines.remove(q.deadline);
            q.deadline = null;
        }
    }

    /** How many queries have a deadline; none that has ended does. */
    int deadlineCount() {
        return deadlines.size();
    }

    private boolean isDeadlineDue() {
        return !deadlines.isEmpty()
                && (deadlines.first().dueAt() <= now
                        || !deadlines.first().query().isPending());
    }

    private void handleDeadline() {
        Query q = deadlines.first().query();
        clearDeadline(q);
        if (!q.isPending()) {
            return;
        }
        boolean finalDeadline = q.answerDeadline <= now;
        boolean canCancel = q.state == BLOCKED_ON_CALL
                || q.isHarmless() && (q.state != RUNNING || cancellation != CancellationMode.OFF);
        if (finalDeadline || canCancel || !q.hasRun) {
            giveUp(q);
        } else {
            setDeadline(q, q.answerDeadline);
        }
    }

    private void giveUp(Query q) {
        Query.State previous = q.state;
        if (q.hasRun && !q.isHarmless() || previous == REPLAYING) {
            q.answered = true;
            out.fail(q.id);
            if (previous == REPLAYING) {
                end(q);
            }
        } else {
            defer(q, 0, true);
        }
        if (previous == RUNNING && q.isHarmless() && cancellation != CancellationMode.OFF) {
            out.cancel(q.id);
        }
    }

    private void defer(Query q, long retryAfter, boolean finalRefusal) {
        q.answered = true;
        out.defer(q.id, drainStartedAt >= 0 ? maxRetryAfter : Math.min(retryAfter, maxRetryAfter), finalRefusal);
        if (!q.isStarted()) {
            end(q);
        }
    }

    private void end(Query q) {
        if (waitingQueue.remove(q)) {
            releaseWaitingMemory(q);
        } else if (q.state == FOLLOWING || q.state == REPLAYING) {
            memoryUse.heldKb -= q.sizeKb;
        }
        q.state = ENDED;
        liveQueries.remove(q.id);
        clearDeadline(q);
        if (q.leader != null) {
            q.leader.followers.remove(q);
        }
        if (q.retained && !q.hasRun) {
            out.discardRetained(q.id);
        }
        releaseFollowers(q);
    }

    /** Repeats are answered from a query that has run. If it never will run, the first of them runs in its place. */
    private void releaseFollowers(Query q) {
        Query successor = null;
        for (Query follower : q.followers) {
            if (follower.isPending() && q.hasRun) {
                replayQueue.add(follower);
            } else if (follower.isPending() && successor == null) {
                successor = follower;
                follower.leader = null;
                enqueue(follower);
                if (follower.workload.effect == Effect.STAMPED) {
                    retain(follower, follower.workload.repeatWindow);
                }
            } else if (follower.isPending()) {
                follower.leader = successor;
                successor.followers.add(follower);
            }
        }
        q.followers.clear();
    }

    private void enqueue(Query q) {
        q.state = HELD;
        waitingQueue.add(q);
    }

    private void releaseWaitingMemory(Query q) {
        memoryUse.heldKb -= q.suspended ? 0 : q.sizeKb;
        memoryUse.runningKb -= q.suspended ? q.sizeKb * memoryUse.runMemoryFactor : 0;
    }

    private void replayNext() {
        Query q = replayQueue.poll();
        if (q.isPending() && q.state == FOLLOWING) {
            q.state = REPLAYING;
            out.replay(q.id);
        }
    }

    // ---- the cores

    private void startNext() {
        Query q = waitingQueue.poll();
        releaseWaitingMemory(q);
        memoryUse.runningKb += q.sizeKb * memoryUse.runMemoryFactor;
        q.hasRun = true;
        q.startedAt = q.suspended ? q.startedAt : now;
        q.coreTime = q.suspended ? q.coreTime : 0;
        q.suspended = false;
        q.state = RUNNING;
        concurrency.started++;
        q.workload.startedRuns++;
        concurrency.enterCores(now, q);
        out.run(q.id);
        releaseFollowers(q);
    }

    private boolean maySuspend() {
        return cancellation == CancellationMode.SUSPEND
                && now >= nextSuspendAt
                && !hasFreeCore()
                && fitsMemoryToRun(waitingQueue.peek());
    }

    /** The latest run of the lowest revenue, if below that of the first waiting query; else null. */
    private Query suspensionCandidate() {
        Query candidate = null;
        for (Query q : liveQueries.values()) {
            boolean canSuspend = q.state == RUNNING && q.isHarmless() && !q.answered;
            if (canSuspend
                    && q.workload.revenue < waitingQueue.peek().workload.revenue
                    && (candidate == null || BY_REVENUE_THEN_ORDER.compare(q, candidate) > 0)) {
                candidate = q;
            }
        }
        return candidate;
    }

    /** The kernel does not report a suspension that did not take place, so it is asked for again after a while. */
    private void suspend(Query q) {
        nextSuspendAt = now + GAUGE_INTERVAL_TENTHS_MS;
        out.cancel(q.id);
    }

    private void endRun(Query q, Outcome outcome, boolean suspended) {
        if (q.state == RUNNING) {
            concurrency.leaveCores(now, q);
        } else if (q.state == CALLING) {
            callBudget.onCallEnded(now, q, true);
        }
        concurrency.started--;
        q.workload.startedRuns--;
        if (suspended) {
            q.suspended = true;
            return;
        }
        memoryUse.runningKb -= q.sizeKb * memoryUse.runMemoryFactor;
        // A server whose runs fail at once is idle, answers fastest and so attracts queries. A failed run therefore
        // counts like a late one, and does not count for the duration of a run.
        boolean failed = outcome == Outcome.ERRORED && !q.wasBlocked;
        if (outcome != Outcome.SUPERSEDED && !failed) {
            runDurations.add(now, q.coreTime);
            q.workload.runDurations.add(now, now - q.startedAt);
            q.workload.predictedRunTimes.add(now, q.predictedRunTime);
        }
        if (outcome != Outcome.SUPERSEDED) {
            (q.wasBlocked ? lateCallingRuns : lateRuns)
                    .add(now, failed || now - q.arrivedAt > q.workload.expectedTime ? 1 : 0);
        }
    }

    private void requeueCancelled(Query q) {
        if (!q.isHarmless()) {
            q.answered = true;
            out.fail(q.id);
            end(q);
            return;
        }
        memoryUse.heldKb += q.sizeKb;
        enqueue(q);
        setDeadline(q, q.anyRevenueUntil);
    }

    // ---- calls to the store

    /**
     * A query that has an effect keeps running when it earns nothing any more, but it does not wait for a call then.
     */
    private void blockOnCall(Query q) {
        q.state = BLOCKED_ON_CALL;
        if (q.anyRevenueUntil <= now) {
            setDeadline(q, now);
        }
    }

    private boolean isNextCallHopeless() {
        Query q = callQueue.peek();
        return q != null
                && (q.state != BLOCKED_ON_CALL
                        || q.answered
                        || q.callAttempts >= MAX_CALL_ATTEMPTS
                        || q.workload.degradedValue > 0
                                && (q.callAttempts > 0 || callLimit < callShare && !fitsNextCall()));
    }

    private void giveUpNextCall() {
        Query q = callQueue.poll();
        if (q.state != BLOCKED_ON_CALL || q.answered) {
            return;
        }
        if (q.workload.degradedValue > 0) {
            degrade(q);
        } else {
            q.answered = true;
            out.fail(q.id);
        }
    }

    private void degrade(Query q) {
        q.state = RUNNING;
        concurrency.enterCores(now, q);
        out.degrade(q.id);
    }

    private long callTimeout(Query q) {
        // A degraded answer needs time too, and is worth more than a late one.
        return Math.max(1, q.workload.degradedValue > 0 ? (q.fullRevenueUntil - now) / 2 : q.anyRevenueUntil - now);
    }

    /**
     * A share of more than one call is cut by the limit on calls in flight; one below that by this factor on call
     * time.
     */
    private double callTimeFactor() {
        return Math.min(1, callLimit) / Math.min(1, callShare);
    }

    /**
     * Call time of this server's share that is neither used in the window nor reserved. What the server before a cold
     * one used still counts at the store, and is not known here: it may have been all that is safe, spread evenly. So
     * a cold server's share grows over the window, starting with the safety margin that no server uses.
     */
    private double availableCallTime() {
        double passedShare = cold && callWindow > 0 ? (now - startedAt) / (double) callWindow : 1;
        double usableShare = Math.min(1, passedShare + (1 - MAX_CALL_SHARE) / MAX_CALL_SHARE);
        return callTimeShare * callTimeFactor() * usableShare - callBudget.usedTime(now) - callBudget.linger;
    }

    /**
     * In a large fleet a server's share is about one call, and the time that a query has left may exceed the call
     * time of the whole window. Such a call would never be sent, nor any behind it, so none waits for more than a
     * part of that time.
     */
    private boolean fitsNextCall() {
        return !callQueue.isEmpty()
                && callBudget.inFlight < Math.max(1, callLimit)
                && Math.min(callTimeout(callQueue.peek()), callTimeShare * callTimeFactor() * INITIAL_RESERVATION_SHARE)
                        <= availableCallTime();
    }

    /**
     * A call that may be repeated reserves only a part, so that a lost reply can't block the share; others reserve
     * all of it.
     */
    private void startNextCall() {
        Query q = callQueue.poll();
        double available = q.isHarmless() ? Math.min(callReservation, availableCallTime()) : availableCallTime();
        long timeout = (long) Math.max(1, Math.min(callTimeout(q), available));
        q.callAttempts++;
        q.state = CALLING;
        q.calledAt = now;
        q.callDeadline = now + timeout;
        callBudget.onCallStarted(q);
        out.call(q.id, timeout);
    }

    // ---- timers

    private void setDeadlineTimer() {
        deadlineTimerAt = Math.max(now + 1, deadlines.first().dueAt());
        out.setTimer(deadlineTimerAt, DEADLINE_TIMER);
    }
}
