package tallyweir.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import tallyweir.Choice;
import tallyweir.Effect;
import tallyweir.Outcome;
import tallyweir.Outgoing;
import tallyweir.backend.Counters.Count;
import tallyweir.config.Settings;
import tallyweir.ids.CallerId;
import tallyweir.ids.JobId;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.TenantId;
import tallyweir.ids.TimerId;
import tallyweir.ids.WorkloadId;
import tallyweir.results.Known;
import tallyweir.results.ResultStore;

/**
 * The queries in flight at one backend. Connects the caller connections, the decision logic ({@link Choice}), the
 * kernel and the store. Each query is answered exactly once ({@link #answer}) and released exactly once
 * ({@link #releaseIfDone}). All methods run on the backend's thread; all times are in tenths of a millisecond.
 */
final class Queries implements Outgoing {
    private static final int SLOT_BITS = 20;
    // Stands for a query of the previous process.
    private static final QueryId BEFORE = new QueryId(0);
    // Separate random stream: routing must not shift the decisions' stream.
    private static final long ROUTING = 0x726f757465L;
    // Half a second, in which callers see the listener close and go to another server.
    private static final long LEAVE_BEFORE_STOP = 5_000;
    private static final long DAY = 24 * 3_600 * 10_000L;

    private final Deadlines deadlines;
    private final Counters counters;
    private final Settings settings;
    private final Map<WorkloadId, Effect> workloads;
    private final Repeats repeats;
    private final Kernel kernel;
    private final Store store;
    private final Connections connections;
    private final KeptResults kept; // null if results are not retained over restarts
    private final long seed;
    private final int coresBusyAt;
    private final int runQueueAt;
    private final RateLimitedLog warnings = new RateLimitedLog(Queries.class, this::now);
    private final Slots<InFlight> slots = new Slots<>();
    private final Map<JobId, InFlight> jobs = new HashMap<>();
    // Null until the kernel first reports that it has booted.
    private Watch choice;
    // Shadow settings, compared beside those in force; null for none.
    private Settings watched;
    private long serial;
    private long now;
    private long wall;
    private long stopAt = Long.MAX_VALUE;
    private Deadlines.Deadline gaugesDue;
    private long gaugesAsked;
    private long ended;
    private long bad;
    private final Map<WorkloadId, Long> expected;
    private final SplittableRandom routing;
    private Routes routes; // null if this server is in no fleet
    private FleetMembership fleet; // null if this server is in no fleet

    Queries(
            Links links,
            Deadlines deadlines,
            Counters counters,
            Settings settings,
            ConnectionLimits connectionLimits,
            int storeLinks,
            long seed,
            long now,
            ResultStore resultStore) {
        this.deadlines = deadlines;
        this.counters = counters;
        this.settings = settings;
        this.seed = seed;
        this.now = now;
        workloads = settings.workloads();
        expected = settings.expected();
        routing = new SplittableRandom(seed ^ ROUTING);
        coresBusyAt = settings.gauge("core_use");
        runQueueAt = settings.gauge("on_cores");
        repeats = new Repeats(deadlines, settings.shareFor());
        LongSupplier linkNumbers = new AtomicLong()::incrementAndGet;
        kernel = new Kernel(links, linkNumbers, deadlines, counters, this);
        store = new Store(links, linkNumbers, deadlines, counters, this, storeLinks);
        connections = new Connections(links, deadlines, counters, this, settings, connectionLimits);
        kept = resultStore == null ? null : new KeptResults(this, resultStore);
        if (kept != null) {
            counters.now("unsettled", kept::unsettled);
            counters.now("results_refused_by_disk", kept::lost);
        }
        counters.also("watch_", () -> choice == null ? Map.of() : choice.counts());
        counters.now("connections", connections::size);
        counters.also("connections_now_", connections::states);
        counters.now("queries", slots::size);
        counters.now("entries", repeats::size);
        counters.now("deadlines", deadlines::size);
        counters.now("store_links", store::size);
    }

    Kernel kernel() {
        return kernel;
    }

    Store store() {
        return store;
    }

    Connections connections() {
        return connections;
    }

    /** Sets the shadow settings; null for none. Settings equal to the present ones keep running with their state. */
    void watch(Settings shadow) {
        if (watched == shadow || shadow != null && shadow.sameAs(watched)) {
            return;
        }
        watched = shadow;
        if (choice != null) {
            choice.watch(shadow, seed, now, false);
        }
    }

    void clock(long now, long wall) {
        this.now = now;
        this.wall = wall;
        if (choice != null) {
            choice.clock(now);
        }
    }

    /** Makes this server a member of a fleet. */
    void joinFleet(FleetMembership membership) {
        fleet = membership;
        routes = Routes.none(workloads.keySet());
        counters.also("fleet_", membership::counts);
    }

    FleetMembership fleet() {
        return fleet;
    }

    /** Sets the routes for queries read from now on; queries already in flight keep the store they started with. */
    void route(Routes newRoutes) {
        routes = newRoutes;
    }

    Routes routes() {
        return routes;
    }

    /** Called when this server has been withdrawn, or is no longer withdrawn. */
    void standsBack() {
        connections.standBack(fleet.standsBack());
    }

    /** Whether this server reports to the announce service: always, unless its fleet has withdrawn it. */
    boolean announced() {
        return fleet == null || !fleet.standsBack();
    }

    Set<WorkloadId> workloads() {
        return workloads.keySet();
    }

    long now() {
        return now;
    }

    /** Whether a time is more than a day ahead of the wall clock: more than any clock step, so an invalid value. */
    boolean farAhead(long time) {
        return time - wall > DAY;
    }

    boolean harmless(InFlight inFlight) {
        return workloads.get(inFlight.workload) == Effect.HARMLESS;
    }

    boolean draining() {
        return stopAt != Long.MAX_VALUE;
    }

    // ---- from the caller connections

    boolean knows(WorkloadId workload) {
        return workloads.containsKey(workload);
    }

    Effect effect(WorkloadId workload) {
        return workloads.get(workload);
    }

    /**
     * Accepts an incoming query and passes it to the decisions. Wall-clock times are only used for incoming queries.
     *
     * @param responder answers the query
     * @param receivedAt wall clock, tenths of a millisecond since 1970
     * @param key the idempotency key of a stamped query or the resource key of a harmless one, null for none
     * @param callerTimeout how long the caller waits after receivedAt, negative if not given
     * @param retry whether the caller says that this is a retry
     * @param lastConnection whether accepting it would leave no connection without a pending answer
     * @return the query, or null if it was answered at once
     */
    InFlight read(
            Answer responder,
            JobId job,
            WorkloadId workload,
            byte[] body,
            long receivedAt,
            CallerId caller,
            SubjectId subject,
            SubjectId key,
            TenantId tenant,
            double size,
            double rank,
            long callerTimeout,
            boolean retry,
            boolean lastConnection) {
        counters.add(Count.QUERIES_READ);
        if (choice == null) {
            // No kernel has been connected yet, so the query cannot have run.
            counters.add(Count.ANSWERED_DEFERRED);
            responder.deferred(0, false);
            return null;
        }
        if (jobs.containsKey(job)) {
            // Two queries with the same job id cannot be told apart on the links.
            counters.add(Count.QUERIES_MALFORMED);
            responder.errored();
            return null;
        }
        InFlight inFlight = new InFlight(job, workload, body, responder);
        inFlight.slot = slots.add(inFlight);
        inFlight.id = new QueryId(++serial << SLOT_BITS | inFlight.slot);
        jobs.put(job, inFlight);
        if (fleet != null) {
            inFlight.store = routes.store(workload, routing);
            fleet.begun(now);
            inFlight.expected =
                    now - Math.max(0, wall - receivedAt) + expected.getOrDefault(workload, settings.longestHard());
        }
        // A clock that was set back must not give a negative age or a longer timeout than the caller sent.
        long age = Math.max(0, wall - receivedAt);
        long left = callerTimeout < 0 ? 0 : Math.max(1, Math.min(callerTimeout, receivedAt + callerTimeout - wall));
        inFlight.due = deadlines.set(now + (left > 0 ? left : settings.longestHard()), () -> overdue(inFlight));
        boolean stamped = effect(workload) == Effect.STAMPED;
        if (stamped && repeats.isOfAnother(inFlight, key, now - age)) {
            counters.add(Count.MARKS_OTHER_BODY);
            answerOtherBody(inFlight.id);
            return null;
        }
        QueryId earlier = key != null && (stamped || settings.shareFor() > 0 && harmless(inFlight))
                ? repeats.earlier(inFlight, key, stamped, now - age, now)
                : null;
        if (kept != null && !harmless(inFlight)) {
            switch (kept.read(inFlight, stamped ? key : new SubjectId(job.value()))) {
                case OTHER_BODY -> {
                    counters.add(Count.MARKS_OTHER_BODY);
                    answerOtherBody(inFlight.id);
                    return null;
                }
                case NO_ROOM -> {
                    counters.add(Count.MARKS_NO_ROOM);
                    if (answer(inFlight, Count.ANSWERED_DEFERRED)) {
                        responder.deferred(settings.keepOffMost(), false);
                    }
                    return null;
                }
                case REPEAT -> {
                    counters.add(Count.MARKS_REPEATED);
                    earlier = earlier == null ? BEFORE : earlier;
                }
                default -> {}
            }
        }
        choice.lastConnection(lastConnection);
        choice.read(inFlight.id, earlier, caller, subject, workload, size, age, rank, left, retry, tenant, 0);
        return inFlight.released ? null : inFlight;
    }

    /** The caller has disconnected or aborted the query and no longer waits for it. */
    void gone(InFlight inFlight) {
        if (inFlight.answered) {
            return;
        }
        counters.add(Count.QUERIES_GONE);
        inFlight.answered = true;
        if (inFlight.mark != null) {
            kept.leave(inFlight);
        }
        choice.gone(inFlight.id);
        releaseIfDone(inFlight);
    }

    /** Guards against a fault in the decisions: a query still unanswered at its deadline is failed. */
    private void overdue(InFlight inFlight) {
        if (!inFlight.answered && inFlight.recording) {
            errored(inFlight); // the disk is too slow: the query has run, and a retry will get its outcome
            kept.leave(inFlight);
        } else if (!inFlight.answered) {
            counters.add(Count.ANSWERED_BY_THE_LAST_GUARD);
            warnings.warn("a query was not decided by its deadline; it was answered as errored");
            errored(inFlight);
            choice.gone(inFlight.id);
        }
    }

    // ---- from the kernel

    void kernelBooted(boolean fresh, long before) {
        if (choice != null) {
            return;
        }
        choice = new Watch(this, seed, now - before);
        choice.clock(now);
        settings.start(choice, fresh, false, false, false);
        choice.watch(watched, seed, now - before, fresh);
        if (kept != null) {
            kept.kernelBegan(wall - before);
            deadlines.set(now + settings.longestHard(), kept::nobodyKnows);
        }
        if (draining()) {
            choice.drain(stopAt - now);
        }
    }

    /** All runs are lost: harmless queries go back to be run again; the effect of the others is unknown. */
    void kernelLost() {
        for (InFlight inFlight : running()) {
            if (inFlight.mark == null) {
                leaveKernel(inFlight, Outcome.RECALLED, null);
            } else {
                errored(inFlight);
                kept.ended(inFlight, Known.UNKNOWN, null);
                leaveKernel(inFlight, Outcome.ERRORED, null);
            }
        }
    }

    List<InFlight> running() {
        return slots.all().stream().filter(inFlight -> inFlight.running).toList();
    }

    void runEnded(JobId job, String state, byte[] result) {
        InFlight inFlight = jobs.get(job);
        if (inFlight == null || !inFlight.running) {
            if (kept != null && kept.endedBefore(job, state.equals("good") ? Known.GOOD : Known.BAD, result)) {
                counters.add(Count.MARKS_SETTLED);
            }
            return;
        }
        if (inFlight.mark != null) {
            keptEnded(inFlight, state, result);
            return;
        }
        Outcome outcome;
        switch (state) {
            case "good" -> {
                counters.add(Count.RUNS_GOOD);
                handled(inFlight, result);
                outcome = Outcome.COMPLETED;
            }
            case "cut" -> {
                counters.add(Count.RUNS_CUT);
                outcome = Outcome.RECALLED;
            }
            case "gone" -> {
                counters.add(Count.RUNS_GONE);
                errored(inFlight);
                outcome = Outcome.SUPERSEDED;
            }
            default -> {
                counters.add(Count.RUNS_BAD);
                errored(inFlight);
                outcome = Outcome.ERRORED;
            }
        }
        leaveKernel(inFlight, outcome, state.equals("good") ? result : null);
    }

    /**
     * Handles the end of a run whose outcome is recorded. A good result is answered only once it is on the disk; a
     * failure is answered at once.
     */
    private void keptEnded(InFlight inFlight, String state, byte[] result) {
        boolean good = state.equals("good");
        counters.add(
                good
                        ? Count.RUNS_GOOD
                        : state.equals("cut")
                                ? Count.RUNS_CUT
                                : state.equals("gone") ? Count.RUNS_GONE : Count.RUNS_BAD);
        inFlight.recording = good && !inFlight.answered;
        if (!good) {
            errored(inFlight);
        }
        leaveKernel(inFlight, good ? Outcome.COMPLETED : Outcome.ERRORED, null);
        kept.ended(inFlight, good ? Known.GOOD : Known.BAD, result);
    }

    /** The kernel rejected the run command: the query did not run, and would not if sent again. */
    void runNotDone(JobId job) {
        InFlight inFlight = jobs.get(job);
        if (inFlight != null && inFlight.running) {
            errored(inFlight);
            repeats.forget(inFlight);
            leaveKernel(inFlight, Outcome.SUPERSEDED, null);
            if (inFlight.mark != null) {
                kept.ended(inFlight, Known.BAD, null);
            }
        }
    }

    // ---- from the retained results

    /** Retries writes that the disk refused after the longest time that any caller waits for an answer. */
    void tryKeptAgainLater() {
        deadlines.set(now + settings.longestHard(), () -> kept.tryAgain(wall));
    }

    /** The intent is on the disk: sends the run to the kernel. */
    void beginKept(QueryId query) {
        InFlight inFlight = taken(query);
        if (inFlight != null && inFlight.running) {
            kernel.run(inFlight);
        }
    }

    /** Answers a query with its recorded result; null if the run failed or its outcome is unknown. */
    void answerKept(QueryId query, byte[] result) {
        InFlight inFlight = taken(query);
        if (inFlight == null || inFlight.answered) {
            return;
        }
        if (inFlight.recording) {
            inFlight.recording = false;
            if (result != null) {
                handled(inFlight, result);
            } else {
                errored(inFlight);
            }
        } else {
            deadlines.set(now, () -> serve(inFlight, result)); // deferred: the decisions are still handling this input
        }
    }

    /** Answers a query whose idempotency key belongs to a query with another body. */
    void answerOtherBody(QueryId query) {
        InFlight inFlight = taken(query);
        if (inFlight != null && answer(inFlight, Count.ANSWERED_ERRORED)) {
            inFlight.way.otherBody();
            choice.gone(inFlight.id);
        }
    }

    /** The run was requested but never started and never will: defers the query, so that its caller may retry. */
    void notBegun(QueryId query) {
        InFlight inFlight = taken(query);
        if (inFlight == null) {
            return;
        }
        counters.add(Count.MARKS_NOT_BEGUN);
        repeats.forget(inFlight);
        deadlines.set(now, () -> {
            if (answer(inFlight, Count.ANSWERED_DEFERRED)) {
                inFlight.way.deferred(settings.keepOffMost(), false);
            }
            if (inFlight.running) {
                leaveKernel(inFlight, Outcome.SUPERSEDED, null);
            } else {
                choice.gone(inFlight.id);
            }
        });
    }

    /** Ends the run: closes its call, tells the decisions, and answers queries that waited for its result. */
    private void leaveKernel(InFlight inFlight, Outcome outcome, byte[] result) {
        store.giveUp(inFlight);
        inFlight.call = null;
        inFlight.running = false;
        boolean runsAgain = outcome == Outcome.RECALLED && !inFlight.answered && harmless(inFlight);
        List<InFlight> served = runsAgain ? List.of() : repeats.ended(inFlight, result, now);
        choice.ended(inFlight.id, outcome);
        releaseIfDone(inFlight);
        served.forEach(this::serveRepeat);
    }

    /** The run is blocked on a call to the store with this body. */
    void standsAtCall(JobId job, byte[] body) {
        InFlight inFlight = jobs.get(job);
        if (inFlight != null && inFlight.running) {
            inFlight.call = body;
            inFlight.reply = null;
            choice.standsAtCall(inFlight.id);
        }
    }

    void gauges(double[] values) {
        if (gaugesDue != null) {
            choice.gauges(at(values, coresBusyAt), at(values, runQueueAt));
            gaugesOver();
        }
    }

    private static double at(double[] values, int index) {
        return index >= 0 && index < values.length ? values[index] : 0;
    }

    // ---- from the store

    void callEnded(InFlight inFlight, Outcome outcome, long duration, byte[] reply) {
        if (outcome == Outcome.COMPLETED) {
            inFlight.call = null;
            kernel.reply(inFlight, reply);
        }
        choice.callEnded(inFlight.id, outcome, duration);
    }

    // ---- answers

    private void handled(InFlight inFlight, byte[] result) {
        if (answer(inFlight, Count.ANSWERED_HANDLED)) {
            inFlight.way.handled(result);
        }
    }

    private void errored(InFlight inFlight) {
        if (answer(inFlight, Count.ANSWERED_ERRORED)) {
            inFlight.way.errored();
        }
    }

    /** How many queries have been handled or errored; counted only in a fleet. */
    long ended() {
        return ended;
    }

    /** How many queries have been errored, or handled after their expected time; counted only in a fleet. */
    long bad() {
        return bad;
    }

    /** Marks the query as answered and counts it. Returns true only the first time for each query. */
    private boolean answer(InFlight inFlight, Count count) {
        if (inFlight.answered) {
            return false;
        }
        if (fleet != null && count != Count.ANSWERED_DEFERRED) {
            ended++;
            bad += count == Count.ANSWERED_ERRORED || now > inFlight.expected ? 1 : 0;
        }
        inFlight.answered = true;
        counters.add(count);
        releaseIfDone(inFlight);
        return true;
    }

    private void releaseIfDone(InFlight inFlight) {
        if (inFlight.answered && !inFlight.running && !inFlight.released) {
            inFlight.released = true;
            deadlines.cancel(inFlight.due);
            jobs.remove(inFlight.job);
            slots.free(inFlight.slot);
        }
    }

    /** The query with this id, or null if it has been released. */
    private InFlight taken(QueryId id) {
        InFlight inFlight = slots.get((int) (id.value() & (1 << SLOT_BITS) - 1));
        return inFlight != null && inFlight.id.equals(id) ? inFlight : null;
    }

    // ---- requests of the decisions

    @Override
    public void run(QueryId query) {
        InFlight inFlight = taken(query);
        if (inFlight != null) {
            counters.add(Count.RUNS_ASKED);
            inFlight.running = true;
            inFlight.reply = null;
            inFlight.stopOn = 0;
            repeats.began(inFlight);
            if (inFlight.mark == null) {
                kernel.run(inFlight);
            } else {
                kept.admit(inFlight, wall + settings.longestHard());
                kept.want(inFlight);
            }
        }
    }

    @Override
    public void defer(QueryId query, long retryAfter, boolean nowhereElse) {
        InFlight inFlight = taken(query);
        if (inFlight != null && answer(inFlight, Count.ANSWERED_DEFERRED)) {
            inFlight.way.deferred(retryAfter, nowhereElse);
            // It never ran, so its key is free again. The decisions report that only after the query is released here.
            repeats.forget(inFlight);
            if (inFlight.mark != null) {
                kept.giveUp(inFlight);
            }
        }
    }

    @Override
    public void fail(QueryId query) {
        InFlight inFlight = taken(query);
        if (inFlight != null) {
            errored(inFlight);
            if (inFlight.mark != null) {
                kept.giveUp(inFlight);
            }
        }
    }

    @Override
    public void stop(QueryId query) {
        InFlight inFlight = taken(query);
        if (inFlight != null && inFlight.running) {
            counters.add(Count.RUNS_STOPPED);
            kernel.stop(inFlight);
        }
    }

    @Override
    public void call(QueryId query, long timeout) {
        InFlight inFlight = taken(query);
        if (inFlight != null && inFlight.call != null) {
            if (fleet != null && !fleet.whole()) {
                inFlight.store = routes.store(inFlight.workload, routing); // only if a drill has disabled this guard
            }
            store.call(inFlight, inFlight.call, timeout);
        }
    }

    /** The kernel has no command to skip a call, so no workload is declared to the decisions as able to degrade. */
    @Override
    public void poorer(QueryId query) {
        fail(query);
    }

    @Override
    public void keep(QueryId query, long window) {
        InFlight inFlight = taken(query);
        if (inFlight != null) {
            repeats.keep(inFlight, now + window, harmless(inFlight) ? 0 : settings.longestHard());
            if (inFlight.mark != null) {
                kept.admit(inFlight, wall + window);
            }
        }
    }

    @Override
    public void forget(QueryId query) {
        InFlight inFlight = taken(query);
        if (inFlight != null) {
            repeats.forget(inFlight);
            if (inFlight.mark != null) {
                kept.giveUp(inFlight);
            }
        }
    }

    @Override
    public void reuse(QueryId query) {
        InFlight inFlight = taken(query);
        if (inFlight != null && inFlight.mark != null) {
            kept.await(inFlight);
        } else if (inFlight != null && repeats.over(inFlight)) {
            deadlines.set(now, () -> serveRepeat(inFlight)); // deferred: the decisions are still handling this input
        }
    }

    private void serveRepeat(InFlight inFlight) {
        serve(inFlight, repeats.result(inFlight));
    }

    private void serve(InFlight inFlight, byte[] result) {
        if (inFlight.answered) {
            return;
        }
        if (result != null) {
            handled(inFlight, result);
        } else {
            errored(inFlight);
        }
        choice.ended(inFlight.id, result != null ? Outcome.COMPLETED : Outcome.ERRORED);
    }

    @Override
    public void health(boolean good, boolean stored) {
        connections.health(good);
    }

    /** Does nothing: answers have no field for load advice, and the decisions are configured accordingly. */
    @Override
    public void say(double value) {}

    @Override
    public void closeIdle(long idleDuration) {
        connections.closeIdle(idleDuration);
    }

    @Override
    public void wake(long at, TimerId timer) {
        if (timer.equals(Choice.GAUGES)) {
            long interval = at - now;
            deadlines.set(at, () -> askGauges(interval));
        } else {
            deadlines.set(at, () -> choice.timer(timer));
        }
    }

    /** Requests the gauges. If they do not arrive within the timeout, the decisions go on without them. */
    private void askGauges(long timeout) {
        kernel.askGauges();
        gaugesDue = deadlines.set(now + timeout, () -> {
            counters.add(Count.GAUGES_MISSED);
            gaugesOver();
        });
    }

    private void gaugesOver() {
        deadlines.cancel(gaugesDue);
        gaugesDue = null;
        choice.timer(Choice.GAUGES);
    }

    // ---- shutdown

    /**
     * Starts the shutdown: all pending queries are answered within the timeout, less twice the slack that the rules
     * allow, which is left for the answers' transport.
     */
    void drain(long stopTimeout) {
        if (draining()) {
            return;
        }
        long left = Math.max(0, stopTimeout - 2 * settings.answerSlack());
        stopAt = now + left;
        deadlines.set(stopAt - Math.min(LEAVE_BEFORE_STOP, left / 2), connections::stopListening);
        deadlines.set(stopAt, connections::leave);
        if (choice != null) {
            choice.drain(stopAt - now);
        }
    }
}
