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
 * The decisions in force, and beside them those of other settings, which hear the same news and get the same draws. What
 * the others ask for goes nowhere: after each piece of news it is compared with what was decided, and differences are
 * counted by kind. A query that one of the two has answered and the other has not is over for both from then on.
 */
final class Watch extends Choice {
    private static final Logger LOG = LoggerFactory.getLogger(Watch.class);

    /** DEFER: the others would have deferred it; TAKE: they would not; the rest: only one of the two, or otherwise. */
    enum Kind {
        DEFER,
        TAKE,
        TOLD,
        FAIL,
        RUN,
        STOP,
        CALL,
        POORER,
        KEEP,
        REUSE,
        SAY,
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

    /** What each of the two has done with a query. */
    private static final class Pair {
        boolean over; // answered as decided, or its caller is gone
        boolean runs; // as decided
        boolean othersOver;
        boolean othersRun;
        boolean parted;
        final EnumSet<Kind> first = EnumSet.noneOf(Kind.class); // so far only by what is decided,
        final EnumSet<Kind> others = EnumSet.noneOf(Kind.class); // or only by the others
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
    private final Set<QueryId> ending = new LinkedHashSet<>(); // of which this news may be the last
    private final ArrayDeque<Runnable> news = new ArrayDeque<>();
    private final long[] counts = new long[Kind.values().length];
    private Others others; // null while none are watched
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

    /** Others that begin later know nothing of what was read before. */
    void watch(Settings watched, long seed, long since, boolean cold) {
        pairs.clear();
        Arrays.fill(counts, 0);
        settings = watched;
        others = null;
        if (watched != null) {
            Others fresh = new Others(asked, seed, since);
            fresh.clock(now);
            watched.startWatched(fresh, cold);
            others = fresh;
        }
        decided.on = others != null;
        asked.on = others != null;
    }

    /** Empty while nothing is watched. */
    Map<String, Long> counts() {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Kind k : others == null ? new Kind[0] : Kind.values()) {
            all.put(k.name().toLowerCase(Locale.ROOT), counts[k.ordinal()]);
        }
        return all;
    }

    // ---- news, for the decisions first

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
            long patience,
            boolean again,
            TenantId tenant,
            long predicted) {
        double[] drew = new double[1];
        both(
                () -> {
                    super.read(
                            id, earlier, caller, subject, workload, sizeKb, age, rank, patience, again, tenant,
                            predicted);
                    drew[0] = drawn;
                },
                () -> {
                    pairs.put(id, new Pair());
                    others.drawn = drew[0];
                    others.read(
                            id,
                            earlier,
                            caller,
                            subject,
                            workload,
                            sizeKb,
                            age,
                            rank,
                            settings.tellsPatience() ? patience : 0,
                            again && settings.marksTries(),
                            tenant,
                            predicted);
                });
    }

    @Override
    public void ended(QueryId id, Outcome how) {
        both(() -> super.ended(id, how), () -> {
            Pair p = pairs.get(id);
            others.ended(id, how);
            if (p != null) {
                ending.add(id);
                p.runs = false;
                p.over |= how != Outcome.RECALLED;
                p.othersOver |= p.othersRun && how != Outcome.RECALLED;
                p.othersRun = false;
            }
        });
    }

    @Override
    public void standsAtCall(QueryId id) {
        both(() -> super.standsAtCall(id), () -> others.standsAtCall(id));
    }

    @Override
    public void callEnded(QueryId id, Outcome how, long took) {
        both(() -> super.callEnded(id, how, took), () -> others.callEnded(id, how, took));
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

    /** What is decided may bring news of its own; the others hear all of it in its order once that is done with. */
    private void both(Runnable decides, Runnable hears) {
        if (others == null) {
            decides.run();
            return;
        }
        news.add(hears);
        within++;
        try {
            decides.run();
        } finally {
            within--;
        }
        if (within == 0) {
            compare();
        }
    }

    /** A fault in what is only watched must not reach what is decided. */
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
            LOG.error("watching has failed and is off", e);
            others = null;
            decided.on = false;
        }
        news.clear();
        ending.clear();
        decided.acts.clear();
        asked.acts.clear();
    }

    private void note(Act act, boolean decides) {
        Pair p = pairs.get(act.query);
        if (p != null && decides) {
            p.over |= act.answers();
            p.runs |= act.kind == Kind.RUN;
            ending.add(act.query);
        } else if (p != null) {
            p.othersOver |= act.answers();
            p.othersRun |= act.kind == Kind.RUN;
        }
    }

    /** The others are told that what was answered is over, as if its caller had gone and its run never been. */
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
                List<Act> since = asked.acts.subList(before, asked.acts.size());
                since.removeIf(a -> id.equals(a.query));
                since.forEach(a -> note(a, false));
            }
        }
    }

    private void count() {
        asked.acts.removeIf(act -> act.query != null && !pairs.containsKey(act.query));
        List<Act> only = new ArrayList<>(asked.acts);
        List<Act> first = new ArrayList<>();
        for (Act act : decided.acts) {
            Act same = only.stream().filter(act::sameAs).findFirst().orElse(null);
            if (same == null) {
                first.add(act);
            } else {
                only.remove(same);
                if (!same.equals(act)) {
                    counts[(act.kind == Kind.DEFER ? Kind.TOLD : act.kind).ordinal()]++;
                }
            }
        }
        for (boolean answers : new boolean[] {true, false}) {
            first.stream().filter(a -> a.answers() == answers).forEach(a -> alone(a, true));
            only.stream().filter(a -> a.answers() == answers).forEach(a -> alone(a, false));
        }
        ending.removeIf(id -> !pairs.get(id).over || pairs.get(id).runs);
        pairs.keySet().removeAll(ending);
    }

    /** Asked for by one of the two; what the other has asked for before, or asks for later, counts once. */
    private void alone(Act act, boolean decides) {
        Pair p = pairs.get(act.query);
        if (act.query == null) {
            counts[act.kind.ordinal()]++;
        } else if (p != null && !p.parted && !(decides ? p.others : p.first).remove(act.kind)) {
            counts[(decides && act.kind == Kind.DEFER ? Kind.TAKE : act.kind).ordinal()]++;
            (decides ? p.first : p.others).add(act.kind);
            p.parted = act.answers();
        }
    }

    /** Notes what is asked for, and passes it on. */
    private static final class Tap implements Outgoing {
        private final Outgoing to;
        private final List<Act> acts = new ArrayList<>();
        private boolean on;

        Tap(Outgoing to) {
            this.to = to;
        }

        private void note(Kind kind, QueryId query, double value, boolean nowhereElse) {
            if (on) {
                acts.add(new Act(kind, query, value, nowhereElse));
            }
        }

        @Override
        public void run(QueryId query) {
            note(Kind.RUN, query, 0, false);
            to.run(query);
        }

        @Override
        public void defer(QueryId query, long keepOff, boolean nowhereElse) {
            note(Kind.DEFER, query, keepOff, nowhereElse);
            to.defer(query, keepOff, nowhereElse);
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
        public void call(QueryId query, long timeOut) {
            note(Kind.CALL, query, timeOut, false);
            to.call(query, timeOut);
        }

        @Override
        public void poorer(QueryId query) {
            note(Kind.POORER, query, 0, false);
            to.poorer(query);
        }

        @Override
        public void keep(QueryId query, long span) {
            note(Kind.KEEP, query, span, false);
            to.keep(query, span);
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
        public void closeIdle(long span) {
            note(Kind.IDLE, null, span, false);
            to.closeIdle(span);
        }

        @Override
        public void wake(long at, TimerId timer) {
            to.wake(at, timer);
        }
    }
}
