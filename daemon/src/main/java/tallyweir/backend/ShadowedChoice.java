package tallyweir.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.Choice;
import tallyweir.Outcome;
import tallyweir.Outgoing;
import tallyweir.config.Settings;
import tallyweir.ids.CallerId;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.TenantId;
import tallyweir.ids.TimerId;
import tallyweir.ids.WorkloadId;

/**
 * The decisions in force and, beside them, those of a shadow: the same decisions under other settings, given the same events
 * and the same random draws. The actions of the shadow have no effect. After each event they are compared with those of the
 * settings in force, and differences are counted by kind. Once one of the two has answered a query, the query is over for
 * both. Called on the deciding thread; times are tenths of a millisecond.
 */
final class ShadowedChoice extends Choice {
    private static final Logger LOG = LoggerFactory.getLogger(ShadowedChoice.class);

    /**
     * Kinds of differences; the counters show their names. Unless said otherwise, a kind counts actions that only one of the
     * two took, or that both took with different values.
     */
    enum Kind {
        /** A query that only the shadow deferred. */
        DEFER,
        /** A query that the settings in force deferred and the shadow did not. */
        TAKE,
        /** A query that both deferred, with a different back-off or with different advice on trying elsewhere. */
        TOLD,
        /** An errored answer. */
        FAIL,
        /** The start of a run. */
        RUN,
        /** The cancellation of a run. */
        STOP,
        /** The sending of a call to the store. */
        CALL,
        /** The choice of a degraded answer. */
        POORER,
        /** The retention of a result. */
        KEEP,
        /** An answer from a retained result. */
        REUSE,
        /** Advertised load. */
        SAY,
        /** The idle timeout of connections. */
        IDLE
    }

    private record Action(Kind kind, QueryId query, double value, boolean isFinal) {
        boolean isAnswer() {
            return kind == Kind.DEFER || kind == Kind.FAIL;
        }

        boolean isSameExceptValues(Action other) {
            return kind == other.kind && Objects.equals(query, other.query);
        }
    }

    /** What the settings in force and the shadow have done with one query. */
    private static final class QueryState {
        boolean finished; // answered under the settings in force, or its caller disconnected
        boolean running; // under the settings in force
        boolean shadowFinished;
        boolean shadowRunning;
        boolean diverged;
        final EnumSet<Kind> onlyInForce = EnumSet.noneOf(Kind.class); // taken so far only under the settings in force
        final EnumSet<Kind> onlyShadow = EnumSet.noneOf(Kind.class); // taken so far only by the shadow
    }

    private static final class ShadowChoice extends Choice {
        private double nextDraw;

        ShadowChoice(Outgoing out, long seed, long now) {
            super(out, seed, now);
        }

        @Override
        protected double nextDraw() {
            return nextDraw;
        }
    }

    private final Recorder inForceRecorder;
    private final Recorder shadowRecorder = new Recorder(Outgoing.ignoring());
    private final Map<QueryId, QueryState> queryStates = new HashMap<>();
    private final Set<QueryId> possiblyEnded = new LinkedHashSet<>(); // queries that the current event may have ended
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
    private final long[] counts = new long[Kind.values().length];
    private ShadowChoice shadow; // null while there is no shadow
    private Settings shadowSettings;
    private double lastDraw;
    private long now;
    private boolean draining;
    private long drainNoticeAt; // while draining
    private long stopAt; // while draining
    private int depth;

    ShadowedChoice(Outgoing out, long seed, long now) {
        this(new Recorder(out), seed, now);
    }

    private ShadowedChoice(Recorder recorder, long seed, long now) {
        super(recorder, seed, now);
        inForceRecorder = recorder;
        this.now = now;
    }

    /**
     * Replaces the shadow and resets the counts. A new shadow takes no account of queries that were read before.
     *
     * @param newSettings of the new shadow; null for no shadow
     * @param seed only needed to construct it; its draws are those of the settings in force
     * @param startedAt the time at which it counts as started, by the clock of the decisions
     * @param cold whether the server counts as just started and not warmed up
     */
    void setShadow(Settings newSettings, long seed, long startedAt, boolean cold) {
        queryStates.clear();
        Arrays.fill(counts, 0);
        shadowSettings = newSettings;
        shadow = null;
        if (newSettings != null) {
            ShadowChoice started = new ShadowChoice(shadowRecorder, seed, startedAt);
            started.setTime(now);
            newSettings.startShadow(started, cold);
            if (draining) {
                started.drain(drainNoticeAt, stopAt - now);
            }
            shadow = started;
        }
        inForceRecorder.recording = shadow != null;
        shadowRecorder.recording = shadow != null;
    }

    /** The differences so far, by the lower-case name of their kind; empty while there is no shadow. */
    Map<String, Long> counts() {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Kind k : shadow == null ? new Kind[0] : Kind.values()) {
            all.put(k.name().toLowerCase(Locale.ROOT), counts[k.ordinal()]);
        }
        return all;
    }

    // ---- events; the settings in force get each of them first

    @Override
    public void setTime(long now) {
        super.setTime(now);
        this.now = now;
        if (shadow != null) {
            shadow.setTime(now);
        }
    }

    @Override
    public void setOnLastConnection(boolean last) {
        super.setOnLastConnection(last);
        if (shadow != null) {
            shadow.setOnLastConnection(last);
        }
    }

    @Override
    protected double nextDraw() {
        lastDraw = super.nextDraw();
        return lastDraw;
    }

    @Override
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
            long predicted) {
        double[] draw = new double[1];
        dispatch(
                () -> {
                    super.onQueryRead(
                            id, earlier, caller, subject, workload, sizeKb, age, rank, timeout, retry, tenant,
                            predicted);
                    draw[0] = lastDraw;
                },
                () -> {
                    queryStates.put(id, new QueryState());
                    shadow.nextDraw = draw[0];
                    shadow.onQueryRead(
                            id,
                            earlier,
                            caller,
                            subject,
                            workload,
                            sizeKb,
                            age,
                            rank,
                            shadowSettings.passesTimeout() ? timeout : 0,
                            retry && shadowSettings.marksRetries(),
                            tenant,
                            predicted);
                });
    }

    @Override
    public void onRunEnded(QueryId id, Outcome outcome) {
        dispatch(() -> super.onRunEnded(id, outcome), () -> {
            QueryState p = queryStates.get(id);
            shadow.onRunEnded(id, outcome);
            if (p != null) {
                possiblyEnded.add(id);
                p.running = false;
                p.finished |= outcome != Outcome.RECALLED;
                p.shadowFinished |= p.shadowRunning && outcome != Outcome.RECALLED;
                p.shadowRunning = false;
            }
        });
    }

    @Override
    public void onRunUncertain(QueryId id) {
        dispatch(() -> super.onRunUncertain(id), () -> shadow.onRunUncertain(id));
    }

    @Override
    public void onBlockedOnCall(QueryId id) {
        dispatch(() -> super.onBlockedOnCall(id), () -> shadow.onBlockedOnCall(id));
    }

    @Override
    public void onCallEnded(QueryId id, Outcome outcome, long duration) {
        dispatch(() -> super.onCallEnded(id, outcome, duration), () -> shadow.onCallEnded(id, outcome, duration));
    }

    @Override
    public void onCallerDisconnected(QueryId id) {
        dispatch(() -> super.onCallerDisconnected(id), () -> {
            QueryState p = queryStates.get(id);
            if (p != null) {
                possiblyEnded.add(id);
                p.finished = true;
                p.shadowFinished |= shadowSettings.reportsDisconnects();
            }
            if (shadowSettings.reportsDisconnects()) {
                shadow.onCallerDisconnected(id);
            }
        });
    }

    @Override
    public void drain(long noticeAt, long left) {
        draining = true;
        drainNoticeAt = noticeAt;
        stopAt = now + left;
        dispatch(() -> super.drain(noticeAt, left), () -> shadow.drain(noticeAt, left));
    }

    @Override
    public void setGauges(double coresBusy, double runQueue) {
        dispatch(() -> super.setGauges(coresBusy, runQueue), () -> shadow.setGauges(coresBusy, runQueue));
    }

    @Override
    public void onTimer(TimerId timer) {
        dispatch(() -> super.onTimer(timer), () -> shadow.onTimer(timer));
    }

    /**
     * Passes an event to the settings in force, then to the shadow. Handling an event may raise further events; the shadow gets
     * all of them in order once the settings in force are done with the outermost one.
     */
    private void dispatch(Runnable inForce, Runnable shadowed) {
        if (shadow == null) {
            inForce.run();
            return;
        }
        pendingEvents.add(shadowed);
        depth++;
        try {
            inForce.run();
        } finally {
            depth--;
        }
        if (depth == 0) {
            runShadowAndCompare();
        }
    }

    /** Runs the shadow and compares. A fault in the shadow must not affect the settings in force, so it ends the shadow. */
    private void runShadowAndCompare() {
        try {
            while (!pendingEvents.isEmpty()) {
                pendingEvents.poll().run();
            }
            for (Action act : inForceRecorder.actions) {
                updateState(act, true);
            }
            shadowRecorder.actions.forEach(act -> updateState(act, false));
            endDivergedQueries();
            countDifferences();
        } catch (RuntimeException | Error e) {
            LOG.error("watching has failed and is off", e);
            shadow = null;
            inForceRecorder.recording = false;
        }
        pendingEvents.clear();
        possiblyEnded.clear();
        inForceRecorder.actions.clear();
        shadowRecorder.actions.clear();
    }

    private void updateState(Action act, boolean inForce) {
        QueryState p = queryStates.get(act.query);
        if (p != null && inForce) {
            p.finished |= act.isAnswer();
            p.running |= act.kind == Kind.RUN;
            possiblyEnded.add(act.query);
        } else if (p != null) {
            p.shadowFinished |= act.isAnswer();
            p.shadowRunning |= act.kind == Kind.RUN;
        }
    }

    /**
     * Ends queries in the shadow that only the settings in force have answered, as if the caller had disconnected and the run
     * had never been.
     */
    private void endDivergedQueries() {
        for (QueryId id : possiblyEnded) {
            QueryState p = queryStates.get(id);
            if (p.finished && !p.shadowFinished) {
                p.shadowFinished = true;
                int before = shadowRecorder.actions.size();
                shadow.onCallerDisconnected(id);
                if (p.shadowRunning && !p.running) {
                    shadow.onRunEnded(id, Outcome.SUPERSEDED);
                }
                List<Action> caused = shadowRecorder.actions.subList(before, shadowRecorder.actions.size());
                caused.removeIf(a -> id.equals(a.query));
                caused.forEach(a -> updateState(a, false));
            }
        }
    }

    private void countDifferences() {
        shadowRecorder.actions.removeIf(act -> act.query != null && !queryStates.containsKey(act.query));
        List<Action> onlyShadow = new ArrayList<>(shadowRecorder.actions);
        List<Action> onlyInForce = new ArrayList<>();
        for (Action act : inForceRecorder.actions) {
            Action same = onlyShadow.stream()
                    .filter(act::isSameExceptValues)
                    .findFirst()
                    .orElse(null);
            if (same == null) {
                onlyInForce.add(act);
            } else {
                onlyShadow.remove(same);
                if (!same.equals(act)) {
                    counts[(act.kind == Kind.DEFER ? Kind.TOLD : act.kind).ordinal()]++;
                }
            }
        }
        for (boolean answers : new boolean[] {true, false}) {
            onlyInForce.stream().filter(a -> a.isAnswer() == answers).forEach(a -> countUnmatched(a, true));
            onlyShadow.stream().filter(a -> a.isAnswer() == answers).forEach(a -> countUnmatched(a, false));
        }
        possiblyEnded.removeIf(id -> !queryStates.get(id).finished || queryStates.get(id).running);
        queryStates.keySet().removeAll(possiblyEnded);
    }

    /**
     * Counts an action that only one of the two took for this event. It counts once, even if the other took it for an earlier
     * event or takes it for a later one.
     */
    private void countUnmatched(Action act, boolean inForce) {
        QueryState p = queryStates.get(act.query);
        if (act.query == null) {
            counts[act.kind.ordinal()]++;
        } else if (p != null && !p.diverged && !(inForce ? p.onlyShadow : p.onlyInForce).remove(act.kind)) {
            counts[(inForce && act.kind == Kind.DEFER ? Kind.TAKE : act.kind).ordinal()]++;
            (inForce ? p.onlyInForce : p.onlyShadow).add(act.kind);
            p.diverged = act.isAnswer();
        }
    }

    /** Records the actions of one of the two while there is a shadow, and passes them on. */
    private static final class Recorder implements Outgoing {
        private final Outgoing target;
        private final List<Action> actions = new ArrayList<>();
        private boolean recording;

        Recorder(Outgoing target) {
            this.target = target;
        }

        private void add(Kind kind, QueryId query, double value, boolean isFinal) {
            if (recording) {
                actions.add(new Action(kind, query, value, isFinal));
            }
        }

        @Override
        public void run(QueryId query) {
            add(Kind.RUN, query, 0, false);
            target.run(query);
        }

        @Override
        public void defer(QueryId query, long backOff, boolean isFinal) {
            add(Kind.DEFER, query, backOff, isFinal);
            target.defer(query, backOff, isFinal);
        }

        @Override
        public void fail(QueryId query) {
            add(Kind.FAIL, query, 0, false);
            target.fail(query);
        }

        @Override
        public void cancel(QueryId query) {
            add(Kind.STOP, query, 0, false);
            target.cancel(query);
        }

        @Override
        public void call(QueryId query, long timeout) {
            add(Kind.CALL, query, timeout, false);
            target.call(query, timeout);
        }

        @Override
        public void degrade(QueryId query) {
            add(Kind.POORER, query, 0, false);
            target.degrade(query);
        }

        @Override
        public void retain(QueryId query, long duration) {
            add(Kind.KEEP, query, duration, false);
            target.retain(query, duration);
        }

        @Override
        public void discardRetained(QueryId query) {
            target.discardRetained(query);
        }

        @Override
        public void replay(QueryId query) {
            add(Kind.REUSE, query, 0, false);
            target.replay(query);
        }

        @Override
        public void setHealth(boolean good, boolean stored) {
            target.setHealth(good, stored);
        }

        @Override
        public void advertiseLoad(double value) {
            add(Kind.SAY, null, value, false);
            target.advertiseLoad(value);
        }

        @Override
        public void setIdleTimeout(long timeout) {
            add(Kind.IDLE, null, timeout, false);
            target.setIdleTimeout(timeout);
        }

        @Override
        public void setTimer(long at, TimerId timer) {
            target.setTimer(at, timer);
        }
    }
}
