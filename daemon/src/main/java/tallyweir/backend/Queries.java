package tallyweir.backend;

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
import tallyweir.results.ResultStore;

/**
 * The queries in flight at one backend. Connects the caller connections, the decision logic ({@link Choice}), the
 * kernel and the store. Each query is answered and released exactly once ({@link Answers}), and each of its runs ends exactly
 * once ({@link Runs}). All methods run on the backend's thread; all times are in tenths of a millisecond.
 */
final class Queries implements Outgoing {
    // Stands for a query of the previous process.
    private static final QueryId PREVIOUS_PROCESS = new QueryId(0);
    // Separate random stream: routing must not shift the decisions' stream.
    private static final long ROUTING_SEED_MASK = 0x726f757465L;
    // Half a second, in which callers see the listener close and go to another server.
    private static final long LISTENER_CLOSE_LEAD_TENTHS_MS = 5_000;
    private static final long DAY_TENTHS_MS = 24 * 3_600 * 10_000L;

    private final Deadlines deadlines;
    private final Counters counters;
    private final Settings settings;
    private final Map<WorkloadId, Effect> workloads;
    private final Repeats repeats;
    private final Kernel kernel;
    private final Store store;
    private final Connections connections;
    private final RetainedResults retainedResults; // null if results are not retained over restarts
    private final long seed;
    private final boolean canCancelRuns;
    private final RateLimitedLog warnings = new RateLimitedLog(Queries.class, this::now);
    private final QueryTable queries = new QueryTable();
    private final Answers answers;
    private final Runs runs;
    private final GaugePolling gauges;
    private final RecentRuns recentOneShotRuns;
    private final OverdueRuns overdueRuns;
    // Null until the kernel first reports that it has booted.
    private ShadowedChoice choice;
    // Shadow settings, compared beside those in force; null for none.
    private Settings shadowSettings;
    private long now;
    private long wall;
    private long noticeAt; // when the notice to shut down came, if it has
    private long stopAt = Long.MAX_VALUE;
    private final Map<WorkloadId, Long> expectedTimes;
    private final SplittableRandom routingRandom;
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
        workloads = settings.effects();
        expectedTimes = settings.expectedTimes();
        routingRandom = new SplittableRandom(seed ^ ROUTING_SEED_MASK);
        canCancelRuns = settings.canCancelRuns();
        repeats = new Repeats(deadlines, settings.resultCacheDuration());
        recentOneShotRuns = new RecentRuns(settings.maxHardLimit());
        LongSupplier linkNumbers = new AtomicLong()::incrementAndGet;
        answers = new Answers(queries, repeats, deadlines, counters, this::now);
        retainedResults = resultStore == null ? null : new RetainedResults(this, resultStore);
        store = new Store(links, linkNumbers, deadlines, counters, this, storeLinks);
        runs = new Runs(
                queries,
                answers,
                repeats,
                recentOneShotRuns,
                retainedResults,
                store,
                () -> choice,
                counters,
                this::now,
                settings.maxRetryAfter());
        kernel = new Kernel(links, linkNumbers, deadlines, counters, this, runs);
        overdueRuns = new OverdueRuns(deadlines, counters, kernel.commands(), this::now);
        gauges = new GaugePolling(kernel, deadlines, counters, settings);
        connections = new Connections(links, deadlines, counters, this, settings, connectionLimits);
        if (retainedResults != null) {
            counters.addGauge("unsettled", retainedResults::unsettledCount);
            counters.addGauge("results_refused_by_disk", retainedResults::unwrittenCount);
        }
        counters.addSource("watch_", () -> choice == null ? Map.of() : choice.counts());
        counters.addGauge("connections", connections::size);
        counters.addSource("connections_now_", connections::countsByState);
        counters.addGauge("queries", queries::size);
        counters.addGauge("entries", repeats::size);
        counters.addGauge("repeats_waiting", repeats::waitingCount);
        counters.addGauge("recent_one_shot_runs", recentOneShotRuns::size);
        counters.addGauge("deadlines", deadlines::size);
        counters.addGauge("store_links", store::linkCount);
    }

    Kernel kernel() {
        return kernel;
    }

    Store store() {
        return store;
    }

    Answers answers() {
        return answers;
    }

    Connections connections() {
        return connections;
    }

    /** Sets the shadow settings; null for none. Settings equal to the present ones keep running with their state. */
    void setShadowSettings(Settings shadow) {
        if (shadowSettings == shadow || shadow != null && shadow.sameAs(shadowSettings)) {
            return;
        }
        shadowSettings = shadow;
        if (choice != null) {
            choice.setShadow(shadow, seed, now, false);
        }
    }

    void updateClock(long now, long wall) {
        this.now = now;
        this.wall = wall;
        if (choice != null) {
            choice.setTime(now);
        }
    }

    /** Makes this server a member of a fleet. */
    void joinFleet(FleetMembership membership) {
        fleet = membership;
        routes = Routes.empty(workloads.keySet());
        answers.countFinished();
        counters.addSource("fleet_", membership::counts);
    }

    FleetMembership fleet() {
        return fleet;
    }

    /** Sets the routes for queries read from now on; queries already in flight keep the store they started with. */
    void setRoutes(Routes newRoutes) {
        routes = newRoutes;
    }

    Routes routes() {
        return routes;
    }

    /** Called when this server has been withdrawn, or is no longer withdrawn. */
    void withdrawalChanged() {
        connections.setWithdrawn(fleet.isWithdrawn());
    }

    /** Whether this server reports to the announce service: always, unless its fleet has withdrawn it. */
    boolean isAnnounced() {
        return fleet == null || !fleet.isWithdrawn();
    }

    Set<WorkloadId> workloads() {
        return workloads.keySet();
    }

    long now() {
        return now;
    }

    /** Whether a time is more than a day ahead of the wall clock: more than any clock step, so an invalid value. */
    boolean isFarAhead(long time) {
        return time - wall > DAY_TENTHS_MS;
    }

    /** Whether queries of the workload are known only by their ids once they have run. */
    private boolean isKnownByIdOnly(WorkloadId workload) {
        return effect(workload) == Effect.ONE_SHOT && retainedResults == null;
    }

    boolean isDraining() {
        return stopAt != Long.MAX_VALUE;
    }

    // ---- from the caller connections

    boolean isKnownWorkload(WorkloadId workload) {
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
    InFlight accept(
            QueryResponder responder,
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
        if (queries.find(job) != null) {
            // Two queries with the same job id cannot be told apart on the links.
            counters.add(Count.QUERIES_MALFORMED);
            responder.errored();
            return null;
        }
        if (isKnownByIdOnly(workload) && recentOneShotRuns.contains(job, now)) {
            // Its result is not kept, and it must not run again.
            counters.add(Count.QUERIES_RUN_BEFORE);
            responder.errored();
            return null;
        }
        InFlight inFlight = new InFlight(job, workload, effect(workload), body, responder);
        inFlight.knownByIdOnly = isKnownByIdOnly(workload);
        queries.add(inFlight);
        if (fleet != null) {
            inFlight.storeAddress = routes.pickStore(workload, routingRandom);
            fleet.onQueryRead(now);
            inFlight.expectedDeadline = now
                    - Math.max(0, wall - receivedAt)
                    + expectedTimes.getOrDefault(workload, settings.maxHardLimit());
        }
        // A clock that was set back must not give a negative age or a longer timeout than the caller sent.
        long age = Math.max(0, wall - receivedAt);
        long left = callerTimeout < 0 ? 0 : Math.max(1, Math.min(callerTimeout, receivedAt + callerTimeout - wall));
        inFlight.deadline =
                deadlines.set(now + (left > 0 ? left : settings.maxHardLimit()), () -> deadlinePassed(inFlight));
        boolean stamped = effect(workload) == Effect.STAMPED;
        if (stamped && repeats.hasConflictingBody(inFlight, key, now - age)) {
            counters.add(Count.MARKS_OTHER_BODY);
            answerBodyMismatch(inFlight.id);
            return null;
        }
        QueryId earlier = key != null && (stamped || settings.resultCacheDuration() > 0 && inFlight.isHarmless())
                ? repeats.findEarlier(inFlight, key, stamped, now - age, now)
                : null;
        if (retainedResults != null && !inFlight.isHarmless()) {
            switch (retainedResults.lookUp(inFlight, stamped ? key : new SubjectId(job.value()))) {
                case OTHER_BODY -> {
                    counters.add(Count.MARKS_OTHER_BODY);
                    answerBodyMismatch(inFlight.id);
                    return null;
                }
                case NO_ROOM -> {
                    counters.add(Count.MARKS_NO_ROOM);
                    answers.deferred(inFlight, settings.maxRetryAfter(), false);
                    return null;
                }
                case REPEAT -> {
                    counters.add(Count.MARKS_REPEATED);
                    earlier = earlier == null ? PREVIOUS_PROCESS : earlier;
                }
                default -> {}
            }
        }
        choice.setOnLastConnection(lastConnection);
        choice.onQueryRead(inFlight.id, earlier, caller, subject, workload, size, age, rank, left, retry, tenant, 0);
        return inFlight.released ? null : inFlight;
    }

    /** The caller has disconnected or aborted the query and no longer waits for it. */
    void disconnected(InFlight inFlight) {
        if (inFlight.answered) {
            return;
        }
        counters.add(Count.QUERIES_GONE);
        inFlight.answered = true;
        if (inFlight.resultKey != null) {
            retainedResults.detach(inFlight);
        }
        choice.onCallerDisconnected(inFlight.id);
        answers.releaseIfDone(inFlight);
    }

    /** The query is over: nobody waits for its answer any more, but its run may go on. */
    private void deadlinePassed(InFlight inFlight) {
        failIfUnanswered(inFlight);
        if (inFlight.running) {
            overdueRuns.add(inFlight);
        }
    }

    /** Guards against a fault in the decisions: a query still unanswered at its deadline is failed. */
    private void failIfUnanswered(InFlight inFlight) {
        if (!inFlight.answered && inFlight.recordingResult) {
            answers.errored(inFlight); // the disk is too slow: the query has run, and a retry will get its outcome
            retainedResults.detach(inFlight);
        } else if (!inFlight.answered) {
            counters.add(Count.ANSWERED_BY_THE_LAST_GUARD);
            warnings.warn("a query was not decided by its deadline; it was answered as errored");
            answers.errored(inFlight);
            choice.onCallerDisconnected(inFlight.id);
        }
    }

    // ---- from the kernel

    void kernelBooted(boolean fresh, long before) {
        if (choice != null) {
            return;
        }
        choice = new ShadowedChoice(this, seed, now - before);
        choice.setTime(now);
        settings.start(choice, fresh, false, false, false);
        choice.setShadow(shadowSettings, seed, now - before, fresh);
        if (retainedResults != null) {
            retainedResults.kernelStarted(wall - before);
            deadlines.set(now + settings.maxHardLimit(), retainedResults::settleRemainingAsUnknown);
        }
        if (isDraining()) {
            choice.drain(noticeAt, stopAt - now);
        }
    }

    /** Stops a run that makes no progress, so that its query runs again; only if the query is harmless. */
    void stopStuckRun(InFlight inFlight) {
        if (inFlight.stopDelivery == null && canCancelRuns && inFlight.isHarmless()) {
            cancel(inFlight.id);
        }
    }

    // ---- from the retained results

    /** Retries writes that the disk refused after the longest time that any caller waits for an answer. */
    void scheduleDiskRetry() {
        deadlines.set(now + settings.maxHardLimit(), () -> retainedResults.retryWrites(wall));
    }

    /** The intent is on the disk: sends the run to the kernel. */
    void intentWritten(QueryId query) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null && inFlight.running) {
            kernel.commands().run(inFlight);
        }
    }

    /** Answers a query with its recorded result; null if the run failed or its outcome is unknown. */
    void answerRecorded(QueryId query, byte[] result) {
        InFlight inFlight = queries.find(query);
        if (inFlight == null || inFlight.answered) {
            return;
        }
        if (inFlight.recordingResult) {
            inFlight.recordingResult = false;
            if (result != null) {
                answers.handled(inFlight, result);
            } else {
                answers.errored(inFlight);
            }
        } else {
            deadlines.set(
                    now,
                    () -> runs.answerRepeat(inFlight, result)); // deferred: the decisions are still handling this input
        }
    }

    /** Answers a query whose idempotency key belongs to a query with another body. */
    void answerBodyMismatch(QueryId query) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null && answers.bodyMismatch(inFlight)) {
            choice.onCallerDisconnected(inFlight.id);
        }
    }

    /** The run was requested but never started and never will: defers the query, so that its caller may retry. */
    void runNeverStarted(QueryId query) {
        InFlight inFlight = queries.find(query);
        if (inFlight == null) {
            return;
        }
        counters.add(Count.MARKS_NOT_BEGUN);
        repeats.forget(inFlight);
        deadlines.set(now, () -> {
            answers.deferred(inFlight, settings.maxRetryAfter(), false);
            if (inFlight.running) {
                runs.finish(inFlight, Outcome.SUPERSEDED, null);
            } else {
                choice.onCallerDisconnected(inFlight.id);
            }
        });
    }

    void gaugesReceived(double[] values) {
        gauges.received(choice, values);
    }

    // ---- from the store

    void callEnded(InFlight inFlight, Outcome outcome, long duration, byte[] reply) {
        if (outcome == Outcome.COMPLETED) {
            inFlight.pendingCall = null;
            kernel.commands().reply(inFlight, reply);
        }
        choice.onCallEnded(inFlight.id, outcome, duration);
    }

    // ---- requests of the decisions

    @Override
    public void run(QueryId query) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null) {
            counters.add(Count.RUNS_ASKED);
            runs.started(inFlight);
            if (inFlight.resultKey == null) {
                kernel.commands().run(inFlight);
            } else {
                retainedResults.admit(inFlight, wall + settings.maxHardLimit());
                retainedResults.requestRun(inFlight);
            }
        }
    }

    @Override
    public void defer(QueryId query, long retryAfter, boolean nowhereElse) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null && answers.deferred(inFlight, retryAfter, nowhereElse)) {
            // It never ran, so its key is free again. The decisions report that only after the query is released here.
            repeats.forget(inFlight);
            if (inFlight.resultKey != null) {
                retainedResults.cancel(inFlight);
            }
        }
    }

    @Override
    public void fail(QueryId query) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null) {
            answers.errored(inFlight);
            if (inFlight.resultKey != null) {
                retainedResults.cancel(inFlight);
            }
        }
    }

    @Override
    public void cancel(QueryId query) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null && inFlight.running) {
            counters.add(Count.RUNS_STOPPED);
            kernel.commands().stop(inFlight);
        }
    }

    @Override
    public void call(QueryId query, long timeout) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null && inFlight.pendingCall != null) {
            if (fleet != null && !fleet.pinsRoutes()) {
                inFlight.storeAddress =
                        routes.pickStore(inFlight.workload, routingRandom); // only if a drill has disabled this guard
            }
            store.call(inFlight, inFlight.pendingCall, timeout);
        }
    }

    /** The kernel has no command to skip a call, so no workload is declared to the decisions as able to degrade. */
    @Override
    public void degrade(QueryId query) {
        fail(query);
    }

    @Override
    public void retain(QueryId query, long window) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null) {
            repeats.retain(inFlight, now + window, inFlight.isHarmless() ? 0 : settings.maxHardLimit());
            if (inFlight.resultKey != null) {
                retainedResults.admit(inFlight, wall + window);
            }
        }
    }

    @Override
    public void discardRetained(QueryId query) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null) {
            repeats.forget(inFlight);
            if (inFlight.resultKey != null) {
                retainedResults.cancel(inFlight);
            }
        }
    }

    @Override
    public void replay(QueryId query) {
        InFlight inFlight = queries.find(query);
        if (inFlight != null && inFlight.resultKey != null) {
            retainedResults.awaitOutcome(inFlight);
        } else if (inFlight != null && repeats.endedOrEnqueue(inFlight)) {
            deadlines.set(
                    now,
                    () -> runs.answerRepeatFromEntry(
                            inFlight)); // deferred: the decisions are still handling this input
        }
    }

    @Override
    public void setHealth(boolean good, boolean stored) {
        connections.setHealthy(good);
    }

    /** Does nothing: answers have no field for load advice, and the decisions are configured accordingly. */
    @Override
    public void advertiseLoad(double value) {}

    @Override
    public void setIdleTimeout(long idleDuration) {
        connections.setIdleTimeout(idleDuration);
    }

    @Override
    public void setTimer(long at, TimerId timer) {
        if (timer.equals(Choice.GAUGES_TIMER)) {
            long interval = at - now;
            deadlines.set(at, () -> gauges.request(choice, now + interval));
        } else {
            deadlines.set(at, () -> choice.onTimer(timer));
        }
    }

    // ---- shutdown

    /**
     * Starts the shutdown: all pending queries are answered within the timeout, less twice the slack that the rules
     * allow, which is left for the answers' transport.
     *
     * @param notice when the notice to shut down came
     * @param stopTimeout time from the notice to the end of the process
     */
    void drain(long notice, long stopTimeout) {
        if (isDraining()) {
            return;
        }
        long left = Math.max(0, stopTimeout - 2 * settings.answerSlack());
        noticeAt = notice;
        stopAt = notice + left;
        deadlines.set(stopAt - Math.min(LISTENER_CLOSE_LEAD_TENTHS_MS, left / 2), connections::stopListening);
        deadlines.set(stopAt, connections::refuseIncompleteForShutdown);
        if (choice != null) {
            choice.drain(noticeAt, stopAt - now);
        }
    }
}
