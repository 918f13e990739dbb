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
final class Watch extends Choice {
    private static final Logger LOG = LoggerFactory.getLogger(Watch.class);

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

    private record Act(Kind kind, QueryId query, double value, boolean nowhereElse) {
        boolean answers() {
            return kind == Kind.DEFER || kind == Kind.FAIL;
        }

        boolean sameAs(Act other) {
            return kind == other.kind && Objects.equals(query, other.query);
        }
    }

    /** What the settings in force and the shadow have done with one query. */
    private static final class Pair {
        boolean over; // answered under the settings in force, or its caller disconnected
        boolean runs; // under the settings in force
        boolean othersOver;
        boolean othersRun;
        boolean parted;
        final EnumSet<Kind> first = EnumSet.noneOf(Kind.class); // taken so far only under the settings in force
        final EnumSet<Kind> others = EnumSet.noneOf(Kind.class); // taken so far only by the shadow
    }

    private static final class Others extends Choice {
        private double drawn;

        Others(Outgoing out, long seed, long now) {
            super(out, seed, now);
        }

        @Override
        protected double draw() {
            return drawn;
        }
    }

    private final Tap decided;
    private final Tap asked = new Tap(Outgoing.nowhere());
    private final Map<QueryId, Pair> pairs = new HashMap<>();
    private final Set<QueryId> ending = new LinkedHashSet<>(); // queries that the current event may have ended
    private final ArrayDeque<Runnable> news = new ArrayDeque<>();
    private final long[] counts = new long[Kind.values().length];
    private Others others; // null while there is no shadow
    private Settings settings;
    private double drawn;
    private long now;
    private int within;

    Watch(Outgoing out, long seed, long now) {
        this(new Tap(out), seed, now);
    }

    private Watch(Tap tap, long seed, long now) {
        super(tap, seed, now);
        decided = tap;
        this.now = now;
    }

    /**
     * Replaces the shadow and resets the counts. A new shadow takes no account of queries that were read before.
     *
     * @param newSettings of the new shadow; null for no shadow
     * @param seed only needed to construct it; its draws are those of the settings in force
     * @param since the time at which it counts as started, by the clock of the decisions
     * @param cold whether the server counts as just started and not warmed up
     */
    void watch(Settings newSettings, long seed, long since, boolean cold) {
        pairs.clear();
        Arrays.fill(counts, 0);
        settings = newSettings;
        others = null;
        if (newSettings != null) {
            Others started = new Others(asked, seed, since);
            started.clock(now);
            newSettings.startWatched(started, cold);
            others = started;
        }
        decided.on = others != null;
        asked.on = others != null;
    }

    /** The differences so far, by the lower-case name of their kind; empty while there is no shadow. */
    Map<String, Long> counts() {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Kind k : others == null ? new Kind[0] : Kind.values()) {
            all.put(k.name().toLowerCase(Locale.ROOT), counts[k.ordinal()]);
        }
        return all;
    }

    // ---- events; the settings in force get each of them first

    @Override
    public void clock(long now) {
        super.clock(now);
        this.now = now;
        if (others != null) {
            others.clock(now);
        }
    }

    @Override
    public void lastConnection(boolean last) {
        super.lastConnection(last);
        if (others != null) {
            others.lastConnection(last);
        }
    }

    @Override
    protected double draw() {
        drawn = super.draw();
        return drawn;
    }

    @Override
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
            long predicted) {
        double[] draw = new double[1];
        both(
                () -> {
                    super.read(
                            id, earlier, caller, subject, workload, sizeKb, age, rank, timeout, retry, tenant,
                            predicted);
                    draw[0] = drawn;
                },
                () -> {
                    pairs.put(id, new Pair());
                    others.drawn = draw[0];
                    others.read(
                            id,
                            earlier,
                            caller,
                            subject,
                            workload,
                            sizeKb,
                            age,
                            rank,
                            settings.tellsPatience() ? timeout : 0,
                            retry && settings.marksTries(),
                            tenant,
                            predicted);
                });
    }

    @Override
    public void ended(QueryId id, Outcome outcome) {
        both(() -> super.ended(id, outcome), () -> {
            Pair p = pairs.get(id);
            others.ended(id, outcome);
            if (p != null) {
                ending.add(id);
                p.runs = false;
                p.over |= outcome != Outcome.RECALLED;
                p.othersOver |= p.othersRun && outcome != Outcome.RECALLED;
                p.othersRun = false;
            }
        });
    }

    @Override
    public void standsAtCall(QueryId id) {
        both(() -> super.standsAtCall(id), () -> others.standsAtCall(id));
    }

    @Override
    public void callEnded(QueryId id, Outcome outcome, long duration) {
        both(() -> super.callEnded(id, outcome, duration), () -> others.callEnded(id, outcome, duration));
    }

    @Override
    public void gone(QueryId id) {
        both(() -> super.gone(id), () -> {
            Pair p = pairs.get(id);
            if (p != null) {
                ending.add(id);
                p.over = true;
                p.othersOver |= settings.tellsGone();
            }
            if (settings.tellsGone()) {
                others.gone(id);
            }
        });
    }

    @Override
    public void drain(long left) {
        both(() -> super.drain(left), () -> others.drain(left));
    }

    @Override
    public void gauges(double coresBusy, double runQueue) {
        both(() -> super.gauges(coresBusy, runQueue), () -> others.gauges(coresBusy, runQueue));
    }

    @Override
    public void timer(TimerId timer) {
        both(() -> super.timer(timer), () -> others.timer(timer));
    }

    /**
     * Passes an event to the settings in force, then to the shadow. Handling an event may raise further events; the shadow gets
     * all of them in order once the settings in force are done with the outermost one.
     */
    private void both(Runnable inForce, Runnable shadowed) {
        if (others == null) {
            inForce.run();
            return;
        }
        news.add(shadowed);
        within++;
        try {
            inForce.run();
        } finally {
            within--;
        }
        if (within == 0) {
            compare();
        }
    }

    /** Runs the shadow and compares. A fault in the shadow must not affect the settings in force, so it ends the shadow. */
    private void compare() {
        try {
            while (!news.isEmpty()) {
                news.poll().run();
            }
            for (Act act : decided.acts) {
                note(act, true);
            }
            asked.acts.forEach(act -> note(act, false));
            partedWays();
            count();
        } catch (RuntimeException | Error e) {
            LOG.error("the shadow settings failed and are switched off", e);
            others = null;
            decided.on = false;
        }
        news.clear();
        ending.clear();
        decided.acts.clear();
        asked.acts.clear();
    }

    private void note(Act act, boolean inForce) {
        Pair p = pairs.get(act.query);
        if (p != null && inForce) {
            p.over |= act.answers();
            p.runs |= act.kind == Kind.RUN;
            ending.add(act.query);
        } else if (p != null) {
            p.othersOver |= act.answers();
            p.othersRun |= act.kind == Kind.RUN;
        }
    }

    /**
     * Ends queries in the shadow that only the settings in force have answered, as if the caller had disconnected and the run
     * had never been.
     */
    private void partedWays() {
        for (QueryId id : ending) {
            Pair p = pairs.get(id);
            if (p.over && !p.othersOver) {
                p.othersOver = true;
                int before = asked.acts.size();
                others.gone(id);
                if (p.othersRun && !p.runs) {
                    others.ended(id, Outcome.SUPERSEDED);
                }
                List<Act> caused = asked.acts.subList(before, asked.acts.size());
                caused.removeIf(a -> id.equals(a.query));
                caused.forEach(a -> note(a, false));
            }
        }
    }

    private void count() {
        asked.acts.removeIf(act -> act.query != null && !pairs.containsKey(act.query));
        List<Act> onlyShadow = new ArrayList<>(asked.acts);
        List<Act> onlyInForce = new ArrayList<>();
        for (Act act : decided.acts) {
            Act same = onlyShadow.stream().filter(act::sameAs).findFirst().orElse(null);
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
            onlyInForce.stream().filter(a -> a.answers() == answers).forEach(a -> alone(a, true));
            onlyShadow.stream().filter(a -> a.answers() == answers).forEach(a -> alone(a, false));
        }
        ending.removeIf(id -> !pairs.get(id).over || pairs.get(id).runs);
        pairs.keySet().removeAll(ending);
    }

    /**
     * Counts an action that only one of the two took for this event. It counts once, even if the other took it for an earlier
     * event or takes it for a later one.
     */
    private void alone(Act act, boolean inForce) {
        Pair p = pairs.get(act.query);
        if (act.query == null) {
            counts[act.kind.ordinal()]++;
        } else if (p != null && !p.parted && !(inForce ? p.others : p.first).remove(act.kind)) {
            counts[(inForce && act.kind == Kind.DEFER ? Kind.TAKE : act.kind).ordinal()]++;
            (inForce ? p.first : p.others).add(act.kind);
            p.parted = act.answers();
        }
    }

    /** Records the actions of one of the two while there is a shadow, and passes them on. */
    private static final class Tap implements Outgoing {
        private final Outgoing to;
        private final List<Act> acts = new ArrayList<>();
        private boolean on;

        Tap(Outgoing to) {
            this.to = to;
        }

        private void note(Kind kind, QueryId query, double value, boolean isFinal) {
            if (on) {
                acts.add(new Act(kind, query, value, isFinal));
            }
        }

        @Override
        public void run(QueryId query) {
            note(Kind.RUN, query, 0, false);
            to.run(query);
        }

        @Override
        public void defer(QueryId query, long backOff, boolean isFinal) {
            note(Kind.DEFER, query, backOff, isFinal);
            to.defer(query, backOff, isFinal);
        }

        @Override
        public void fail(QueryId query) {
            note(Kind.FAIL, query, 0, false);
            to.fail(query);
        }

        @Override
        public void stop(QueryId query) {
            note(Kind.STOP, query, 0, false);
            to.stop(query);
        }

        @Override
        public void call(QueryId query, long timeout) {
            note(Kind.CALL, query, timeout, false);
            to.call(query, timeout);
        }

        @Override
        public void poorer(QueryId query) {
            note(Kind.POORER, query, 0, false);
            to.poorer(query);
        }

        @Override
        public void keep(QueryId query, long duration) {
            note(Kind.KEEP, query, duration, false);
            to.keep(query, duration);
        }

        @Override
        public void forget(QueryId query) {
            to.forget(query);
        }

        @Override
        public void reuse(QueryId query) {
            note(Kind.REUSE, query, 0, false);
            to.reuse(query);
        }

        @Override
        public void health(boolean good, boolean stored) {
            to.health(good, stored);
        }

        @Override
        public void say(double value) {
            note(Kind.SAY, null, value, false);
            to.say(value);
        }

        @Override
        public void closeIdle(long timeout) {
            note(Kind.IDLE, null, timeout, false);
            to.closeIdle(timeout);
        }

        @Override
        public void wake(long at, TimerId timer) {
            to.wake(at, timer);
        }
    }
}
