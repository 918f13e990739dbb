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
 * The queries of one backend between the fronts, the decisions, the kernel and the store. Each is answered
 * once, in answer, and given back once, in release.
 */
final class Queries implements Outgoing {
    private static final int SLOT_BITS = 20;
    private static final QueryId BEFORE = new QueryId(0); // of no query here: known from before
    private static final long ROUTING = 0x726f757465L; // chance of its own, so that the decisions' is as without
    private static final long LEAVE_BEFORE_STOP = 5_000; // half a second: callers see the end and go elsewhere
    private static final long DAY = 24 * 3_600 * 10_000L;

    private final Deadlines deadlines;
    private final Counters counters;
    private final Settings settings;
    private final Map<WorkloadId, Effect> workloads;
    private final Repeats repeats;
    private final Kernel kernel;
    private final Store store;
    private final Connections connections;
    private final KeptResults kept; // null where no results are kept over restarts
    private final long seed;
    private final int coresBusyAt;
    private final int runQueueAt;
    private final RateLimitedLog warnings = new RateLimitedLog(Queries.class, this::now);
    private final Slots<InFlight> slots = new Slots<>();
    private final Map<JobId, InFlight> jobs = new HashMap<>();
    private Watch choice; // from the kernel's first word on
    private Settings watched; // beside those in force, null for none
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
    private Routes routes; // null where this server is in no fleet
    private FleetMembership fleet; // null where this server is in none

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

    /** Those already watched go on, with what they know. */
    void watch(Settings others) {
        if (watched == others || others != null && others.sameAs(watched)) {
            return;
        }
        watched = others;
        if (choice != null) {
            choice.watch(others, seed, now, false);
        }
    }

    void clock(long now, long wall) {
        this.now = now;
        this.wall = wall;
        if (choice != null) {
            choice.clock(now);
        }
    }

    /** This server is in a fleet. */
    void joinFleet(FleetMembership membership) {
        fleet = membership;
        routes = Routes.none(workloads.keySet());
        counters.also("fleet_", membership::counts);
    }

    FleetMembership fleet() {
        return fleet;
    }

    /** Queries that are read from now on call there; those under way go on as they began. */
    void route(Routes to) {
        routes = to;
    }

    Routes routes() {
        return routes;
    }

    /** Whether this server is to stand back, or no longer, has changed. */
    void standsBack() {
        connections.standBack(fleet.standsBack());
    }

    boolean announced() {
        return fleet == null || !fleet.standsBack();
    }

    Set<WorkloadId> workloads() {
        return workloads.keySet();
    }

    long now() {
        return now;
    }

    /** Past any step of a clock: a time that no caller means. */
    boolean farAhead(long time) {
        return time - wall > DAY;
    }

    boolean harmless(InFlight t) {
        return workloads.get(t.workload) == Effect.HARMLESS;
    }

    boolean draining() {
        return stopAt != Long.MAX_VALUE;
    }

    // ---- from the fronts

    boolean knows(WorkloadId workload) {
        return workloads.containsKey(workload);
    }

    Effect effect(WorkloadId workload) {
        return workloads.get(workload);
    }

    /**
     * Takes a query in; null if it was answered at once. The wall's times are only used for what comes in.
     *
     * @param lastConnection taken, it would leave no connection without an answer owed
     */
    InFlight read(
            Answer way,
            JobId job,
            WorkloadId workload,
            byte[] body,
            long receivedAt,
            CallerId caller,
            SubjectId subject,
            SubjectId mark,
            TenantId tenant,
            double size,
            double rank,
            long patience,
            boolean again,
            boolean lastConnection) {
        counters.add(Count.QUERIES_READ);
        if (choice == null) {
            // No kernel was there yet: nothing can run, so nothing has.
            counters.add(Count.ANSWERED_DEFERRED);
            way.deferred(0, false);
            return null;
        }
        if (jobs.containsKey(job)) {
            // Two of one name cannot be told apart on the links.
            counters.add(Count.QUERIES_MALFORMED);
            way.errored();
            return null;
        }
        InFlight t = new InFlight(job, workload, body, way);
        t.slot = slots.add(t);
        t.id = new QueryId(++serial << SLOT_BITS | t.slot);
        jobs.put(job, t);
        if (fleet != null) {
            t.store = routes.store(workload, routing);
            fleet.begun(now);
            t.expected = now - Math.max(0, wall - receivedAt) + expected.getOrDefault(workload, settings.longestHard());
        }
        // A clock that was set back must not make it younger than new, nor its caller more patient than told.
        long age = Math.max(0, wall - receivedAt);
        long left = patience < 0 ? 0 : Math.max(1, Math.min(patience, receivedAt + patience - wall));
        t.due = deadlines.set(now + (left > 0 ? left : settings.longestHard()), () -> overdue(t));
        boolean stamped = effect(workload) == Effect.STAMPED;
        if (stamped && repeats.isOfAnother(t, mark, now - age)) {
            counters.add(Count.MARKS_OTHER_BODY);
            answerOtherBody(t.id);
            return null;
        }
        QueryId earlier = mark != null && (stamped || settings.shareFor() > 0 && harmless(t))
                ? repeats.earlier(t, mark, stamped, now - age, now)
                : null;
        if (kept != null && !harmless(t)) {
            switch (kept.read(t, stamped ? mark : new SubjectId(job.value()))) {
                case OTHER_BODY -> {
                    counters.add(Count.MARKS_OTHER_BODY);
                    answerOtherBody(t.id);
                    return null;
                }
                case NO_ROOM -> {
                    counters.add(Count.MARKS_NO_ROOM);
                    if (answer(t, Count.ANSWERED_DEFERRED)) {
                        way.deferred(settings.keepOffMost(), false);
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
        choice.read(t.id, earlier, caller, subject, workload, size, age, rank, left, again, tenant, 0);
        return t.released ? null : t;
    }

    /** The caller does not wait any longer. */
    void gone(InFlight t) {
        if (t.answered) {
            return;
        }
        counters.add(Count.QUERIES_GONE);
        t.answered = true;
        if (t.mark != null) {
            kept.leave(t);
        }
        choice.gone(t.id);
        releaseIfDone(t);
    }

    /** Guards against a fault in the decisions: what they forgot is failed when it is due. */
    private void overdue(InFlight t) {
        if (!t.answered && t.recording) {
            errored(t); // the disk is too slow: it ran, and a repeat will hear how it ended
            kept.leave(t);
        } else if (!t.answered) {
            counters.add(Count.ANSWERED_BY_THE_LAST_GUARD);
            warnings.warn("the decisions forgot a query: it was failed when it was due");
            errored(t);
            choice.gone(t.id);
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

    /** All runs are gone: the harmless go back to be run again, of the others it is not known what they did. */
    void kernelLost() {
        for (InFlight t : running()) {
            if (t.mark == null) {
                leaveKernel(t, Outcome.RECALLED, null);
            } else {
                errored(t);
                kept.ended(t, Known.UNKNOWN, null);
                leaveKernel(t, Outcome.ERRORED, null);
            }
        }
    }

    List<InFlight> running() {
        return slots.all().stream().filter(t -> t.running).toList();
    }

    void runEnded(JobId job, String how, byte[] result) {
        InFlight t = jobs.get(job);
        if (t == null || !t.running) {
            if (kept != null && kept.endedBefore(job, how.equals("good") ? Known.GOOD : Known.BAD, result)) {
                counters.add(Count.MARKS_SETTLED);
            }
            return;
        }
        if (t.mark != null) {
            keptEnded(t, how, result);
            return;
        }
        Outcome outcome;
        switch (how) {
            case "good" -> {
                counters.add(Count.RUNS_GOOD);
                handled(t, result);
                outcome = Outcome.COMPLETED;
            }
            case "cut" -> {
                counters.add(Count.RUNS_CUT);
                outcome = Outcome.RECALLED;
            }
            case "gone" -> {
                counters.add(Count.RUNS_GONE);
                errored(t);
                outcome = Outcome.SUPERSEDED;
            }
            default -> {
                counters.add(Count.RUNS_BAD);
                errored(t);
                outcome = Outcome.ERRORED;
            }
        }
        leaveKernel(t, outcome, how.equals("good") ? result : null);
    }

    /** How the run of a query with an effect ended goes to the disk first; what is no result need not wait for that. */
    private void keptEnded(InFlight t, String how, byte[] result) {
        boolean good = how.equals("good");
        counters.add(
                good
                        ? Count.RUNS_GOOD
                        : how.equals("cut") ? Count.RUNS_CUT : how.equals("gone") ? Count.RUNS_GONE : Count.RUNS_BAD);
        t.recording = good && !t.answered;
        if (!good) {
            errored(t);
        }
        leaveKernel(t, good ? Outcome.COMPLETED : Outcome.ERRORED, null);
        kept.ended(t, good ? Known.GOOD : Known.BAD, result);
    }

    /** The kernel knows of no such query: it did not run, and will not if asked again. */
    void runNotDone(JobId job) {
        InFlight t = jobs.get(job);
        if (t != null && t.running) {
            errored(t);
            repeats.forget(t);
            leaveKernel(t, Outcome.SUPERSEDED, null);
            if (t.mark != null) {
                kept.ended(t, Known.BAD, null);
            }
        }
    }

    // ---- from the kept results

    /** What the disk refused is offered to it again after as long as anybody waits for an answer. */
    void tryKeptAgainLater() {
        deadlines.set(now + settings.longestHard(), () -> kept.tryAgain(wall));
    }

    /** The intent is on the disk. */
    void beginKept(QueryId query) {
        InFlight t = taken(query);
        if (t != null && t.running) {
            kernel.run(t);
        }
    }

    void answerKept(QueryId query, byte[] result) {
        InFlight t = taken(query);
        if (t == null || t.answered) {
            return;
        }
        if (t.recording) {
            t.recording = false;
            if (result != null) {
                handled(t, result);
            } else {
                errored(t);
            }
        } else {
            deadlines.set(now, () -> serve(t, result)); // the decisions are told only after this input
        }
    }

    void answerOtherBody(QueryId query) {
        InFlight t = taken(query);
        if (t != null && answer(t, Count.ANSWERED_ERRORED)) {
            t.way.otherBody();
            choice.gone(t.id);
        }
    }

    /** It was asked to run, and did not and will not: it may be tried again. */
    void notBegun(QueryId query) {
        InFlight t = taken(query);
        if (t == null) {
            return;
        }
        counters.add(Count.MARKS_NOT_BEGUN);
        repeats.forget(t);
        deadlines.set(now, () -> {
            if (answer(t, Count.ANSWERED_DEFERRED)) {
                t.way.deferred(settings.keepOffMost(), false);
            }
            if (t.running) {
                leaveKernel(t, Outcome.SUPERSEDED, null);
            } else {
                choice.gone(t.id);
            }
        });
    }

    private void leaveKernel(InFlight t, Outcome outcome, byte[] result) {
        store.giveUp(t);
        t.call = null;
        t.running = false;
        boolean runsAgain = outcome == Outcome.RECALLED && !t.answered && harmless(t);
        List<InFlight> served = runsAgain ? List.of() : repeats.ended(t, result, now);
        choice.ended(t.id, outcome);
        releaseIfDone(t);
        served.forEach(this::serveRepeat);
    }

    void standsAtCall(JobId job, byte[] body) {
        InFlight t = jobs.get(job);
        if (t != null && t.running) {
            t.call = body;
            t.reply = null;
            choice.standsAtCall(t.id);
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

    void callEnded(InFlight t, Outcome how, long took, byte[] reply) {
        if (how == Outcome.COMPLETED) {
            t.call = null;
            kernel.reply(t, reply);
        }
        choice.callEnded(t.id, how, took);
    }

    // ---- answers

    private void handled(InFlight t, byte[] result) {
        if (answer(t, Count.ANSWERED_HANDLED)) {
            t.way.handled(result);
        }
    }

    private void errored(InFlight t) {
        if (answer(t, Count.ANSWERED_ERRORED)) {
            t.way.errored();
        }
    }

    /** Queries that were handled or errored so far, */
    long ended() {
        return ended;
    }

    /** and of them those that were errored, or handled later than expected. */
    long bad() {
        return bad;
    }

    /** True once for each query. */
    private boolean answer(InFlight t, Count count) {
        if (t.answered) {
            return false;
        }
        if (fleet != null && count != Count.ANSWERED_DEFERRED) {
            ended++;
            bad += count == Count.ANSWERED_ERRORED || now > t.expected ? 1 : 0;
        }
        t.answered = true;
        counters.add(count);
        releaseIfDone(t);
        return true;
    }

    private void releaseIfDone(InFlight t) {
        if (t.answered && !t.running && !t.released) {
            t.released = true;
            deadlines.cancel(t.due);
            jobs.remove(t.job);
            slots.free(t.slot);
        }
    }

    private InFlight taken(QueryId id) {
        InFlight t = slots.get((int) (id.value() & (1 << SLOT_BITS) - 1));
        return t != null && t.id.equals(id) ? t : null;
    }

    // ---- what the decisions ask for

    @Override
    public void run(QueryId query) {
        InFlight t = taken(query);
        if (t != null) {
            counters.add(Count.RUNS_ASKED);
            t.running = true;
            t.reply = null;
            t.stopOn = 0;
            repeats.began(t);
            if (t.mark == null) {
                kernel.run(t);
            } else {
                kept.admit(t, wall + settings.longestHard());
                kept.want(t);
            }
        }
    }

    @Override
    public void defer(QueryId query, long keepOff, boolean nowhereElse) {
        InFlight t = taken(query);
        if (t != null && answer(t, Count.ANSWERED_DEFERRED)) {
            t.way.deferred(keepOff, nowhereElse);
            // It never ran, so its mark is free. The decisions say so only once the query is given back here.
            repeats.forget(t);
            if (t.mark != null) {
                kept.giveUp(t);
            }
        }
    }

    @Override
    public void fail(QueryId query) {
        InFlight t = taken(query);
        if (t != null) {
            errored(t);
            if (t.mark != null) {
                kept.giveUp(t);
            }
        }
    }

    @Override
    public void stop(QueryId query) {
        InFlight t = taken(query);
        if (t != null && t.running) {
            counters.add(Count.RUNS_STOPPED);
            kernel.stop(t);
        }
    }

    @Override
    public void call(QueryId query, long timeOut) {
        InFlight t = taken(query);
        if (t != null && t.call != null) {
            if (fleet != null && !fleet.whole()) {
                t.store = routes.store(t.workload, routing); // only where a drill has switched the guard off
            }
            store.call(t, t.call, timeOut);
        }
    }

    /** The kernel has no word for leaving a call out, so no workload is told to the decisions as one that may. */
    @Override
    public void poorer(QueryId query) {
        fail(query);
    }

    @Override
    public void keep(QueryId query, long span) {
        InFlight t = taken(query);
        if (t != null) {
            repeats.keep(t, now + span, harmless(t) ? 0 : settings.longestHard());
            if (t.mark != null) {
                kept.admit(t, wall + span);
            }
        }
    }

    @Override
    public void forget(QueryId query) {
        InFlight t = taken(query);
        if (t != null) {
            repeats.forget(t);
            if (t.mark != null) {
                kept.giveUp(t);
            }
        }
    }

    @Override
    public void reuse(QueryId query) {
        InFlight t = taken(query);
        if (t != null && t.mark != null) {
            kept.await(t);
        } else if (t != null && repeats.over(t)) {
            deadlines.set(now, () -> serveRepeat(t)); // the decisions are told only after this input
        }
    }

    private void serveRepeat(InFlight t) {
        serve(t, repeats.result(t));
    }

    private void serve(InFlight t, byte[] result) {
        if (t.answered) {
            return;
        }
        if (result != null) {
            handled(t, result);
        } else {
            errored(t);
        }
        choice.ended(t.id, result != null ? Outcome.COMPLETED : Outcome.ERRORED);
    }

    @Override
    public void health(boolean good, boolean stored) {
        connections.health(good);
    }

    /** Answers have no field for a value, so the decisions are told that there is none. */
    @Override
    public void say(double value) {}

    @Override
    public void closeIdle(long span) {
        connections.closeIdle(span);
    }

    @Override
    public void wake(long at, TimerId timer) {
        if (timer.equals(Choice.GAUGES)) {
            long every = at - now;
            deadlines.set(at, () -> askGauges(every));
        } else {
            deadlines.set(at, () -> choice.timer(timer));
        }
    }

    /** Gauges are asked for when they are due; the decisions go on without if they do not come in as long again. */
    private void askGauges(long wait) {
        kernel.askGauges();
        gaugesDue = deadlines.set(now + wait, () -> {
            counters.add(Count.GAUGES_MISSED);
            gaugesOver();
        });
    }

    private void gaugesOver() {
        deadlines.cancel(gaugesDue);
        gaugesDue = null;
        choice.timer(Choice.GAUGES);
    }

    // ---- leaving

    /** What is owed is answered by then; twice the slack that the rules allow is left for the way. */
    void drain(long stopAfter) {
        if (draining()) {
            return;
        }
        long left = Math.max(0, stopAfter - 2 * settings.answerSlack());
        stopAt = now + left;
        deadlines.set(stopAt - Math.min(LEAVE_BEFORE_STOP, left / 2), connections::stopListening);
        deadlines.set(stopAt, connections::leave);
        if (choice != null) {
            choice.drain(stopAt - now);
        }
    }
}
