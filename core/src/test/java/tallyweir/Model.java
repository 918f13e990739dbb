package tallyweir;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tallyweir.ids.CallerId;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.TenantId;
import tallyweir.ids.TimerId;
import tallyweir.ids.WorkloadId;

/**
 * A plain model of the four rules, written from the specification of the wire protocol. It observes one {@link
 * Choice} and records each action that the rules forbid. Times are tenths of a millisecond.
 */
final class Model implements Outgoing {
    static final int CORES = 4;
    static final double FALL = 6;
    static final double COLD_FROM = 0.25;
    static final long COLD_FOR = 100_000;
    static final double LIMIT_KB = 4_000;
    static final double FACTOR = 8;
    static final double ENTRY_KB = 40;
    static final long SPAN = 50_000;
    static final long LINGER = 2_000;
    static final long ROUND = 50;
    static final long SLACK = 600;
    static final long GRACE = 20_000;
    static final long WINDOW = 60_000;
    static final long HARD = 40_000;
    static final String[] NAMES = {"look", "stamp", "once", "top"};

    static final class Seen {
        long id;
        String workload;
        long arrived;
        long due;
        double size;
        Seen earlier;
        String place = "held";
        boolean answered;
        boolean ran;
        boolean paused;
        boolean mayCall = true;
        long callUntil;
    }

    final Map<Long, Seen> seen = new LinkedHashMap<>();
    final List<String> wrong = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    final Map<Long, Long> entries = new HashMap<>();
    // Start, end, query id; the end is MAX_VALUE while the call is in flight.
    final List<long[]> calls = new ArrayList<>();
    final Choice choice;
    final boolean cold;
    final Halt halt;
    final Said said;
    final double callsOut;
    long now = 1_000_000;
    long born = now;
    long drainAt = -1;
    long stopAt = Long.MAX_VALUE;
    long ids = 100;
    long lastKeepOff = -1;
    boolean lastNowhereElse;
    long caller = 1;

    Model(long seed, boolean cold, Halt halt, Said said, double callsOut, long shareFor) {
        this.cold = cold;
        this.halt = halt;
        this.said = said;
        this.callsOut = callsOut;
        choice = new Choice(this, seed, now);
        choice.machine(CORES, FALL, cold, COLD_FROM, COLD_FOR, halt);
        choice.memory(LIMIT_KB, FACTOR, ENTRY_KB);
        choice.below(callsOut, SPAN, LINGER);
        Effect[] effects = {Effect.HARMLESS, Effect.STAMPED, Effect.ONE_SHOT, Effect.HARMLESS};
        for (int i = 0; i < NAMES.length; i++) {
            choice.workload(
                    new WorkloadId(NAMES[i]),
                    effects[i],
                    18_000,
                    HARD,
                    i == 3 ? 10 : 1,
                    i == 2 ? 0.2 : 0,
                    WINDOW,
                    i < 3,
                    i == 0 ? 0.5 : 0);
        }
        choice.tenant(new TenantId("a"), 40, 4);
        choice.duties(ROUND, GRACE, 0.05);
        choice.callers(said, shareFor, 10_000);
        choice.connections(300_000);
        choice.start();
    }

    // ---- events

    Seen read(int workload, long age, long timeout, double size, boolean retry, Seen earlier) {
        Seen q = new Seen();
        q.id = ids++;
        q.workload = NAMES[workload];
        q.arrived = now - age;
        q.due = timeout > 0 ? now + timeout : Math.max(now, q.arrived + HARD);
        q.size = size;
        q.earlier = earlier;
        seen.put(q.id, q);
        choice.read(
                new QueryId(q.id),
                earlier == null ? null : new QueryId(earlier.id),
                new CallerId(caller),
                new SubjectId("k" + workload),
                new WorkloadId(q.workload),
                size,
                age,
                0.5,
                timeout,
                retry,
                new TenantId("a"),
                0);
        check();
        return q;
    }

    void settled(Seen q, Outcome outcome) {
        leave(q, true);
        q.paused = outcome == Outcome.RECALLED && !q.answered && halt == Halt.SUSPEND;
        q.place = outcome == Outcome.RECALLED && !q.answered ? "held" : "over";
        q.answered |= outcome != Outcome.RECALLED;
        choice.ended(new QueryId(q.id), outcome);
        check();
    }

    private void leave(Seen q, boolean lingers) {
        for (long[] c : calls) {
            if (c[2] == q.id && c[1] == Long.MAX_VALUE) {
                c[1] = now + (lingers ? LINGER : 0);
            }
        }
    }

    void needs(Seen q) {
        q.place = "blocked";
        q.mayCall = true;
        choice.standsAtCall(new QueryId(q.id));
        check();
    }

    void called(Seen q, Outcome outcome) {
        called(q, outcome, 100);
    }

    void called(Seen q, Outcome outcome, long duration) {
        leave(q, outcome == Outcome.OVERDUE || outcome == Outcome.SEVERED);
        q.place = outcome == Outcome.COMPLETED ? "running" : "blocked";
        q.mayCall = q.mayCall && (harmless(q) || outcome == Outcome.SATURATED || outcome == Outcome.REFUSED_CONN);
        choice.callEnded(new QueryId(q.id), outcome, duration);
        check();
    }

    void gone(Seen q) {
        q.answered = true;
        if (q.place.equals("held") || q.place.equals("waiting for replay")) {
            q.place = "over";
        }
        choice.gone(new QueryId(q.id));
        check();
    }

    void drain(long timeLeft) {
        drainAt = now;
        stopAt = now + timeLeft;
        choice.drain(timeLeft);
        check();
    }

    /** Lets time pass in steps of a round and fires the timers that are due, with these gauges. */
    void pass(long duration, double coresBusy, double runQueue) {
        for (long end = now + duration; now < end && now < stopAt - ROUND; ) {
            now = Math.min(end, now + ROUND);
            choice.clock(now);
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                for (long token : timers.pollFirstEntry().getValue()) {
                    choice.gauges(coresBusy, runQueue);
                    choice.timer(new TimerId(token));
                }
            }
            at("calling").stream().filter(q -> q.callUntil <= now).forEach(q -> called(q, Outcome.OVERDUE));
            check();
        }
    }

    List<Seen> at(String... places) {
        return seen.values().stream()
                .filter(q -> List.of(places).contains(q.place))
                .toList();
    }

    private static Seen first(Seen q) {
        return q.earlier == null ? q : first(q.earlier);
    }

    boolean harmless(Seen q) {
        return q.workload.equals("look") || q.workload.equals("top");
    }

    // ---- the rules

    void check() {
        double kb = 0;
        int on = 0;
        for (Seen q : seen.values()) {
            boolean started = List.of("running", "blocked", "calling").contains(q.place);
            kb += started || q.paused && q.place.equals("held") ? q.size * FACTOR : q.place.equals("over") ? 0 : q.size;
            on += q.place.equals("running") ? 1 : 0;
            deny(!q.answered && !q.place.equals("over") && now > Math.min(q.due + SLACK, stopAt), "unanswered " + q.id);
        }
        entries.values().removeIf(until -> until < now);
        deny(kb + entries.size() * ENTRY_KB > LIMIT_KB, "memory limit exceeded");
        double warm = cold ? COLD_FROM + (1 - COLD_FROM) * Math.min(1, (now - born) / (double) COLD_FOR) : 1;
        deny(on > CORES * (1 + (FALL - 1) * warm), "too many concurrent runs");
        double inHand = 0;
        for (long[] c : calls) {
            inHand += Math.max(0, Math.min(c[1], now) - Math.max(c[0], now - SPAN));
        }
        deny(callsOut > 0 && inHand / SPAN > callsOut, "too many calls in flight");
    }

    private void deny(boolean violated, String rule) {
        if (violated) {
            wrong.add(rule + " at " + now);
        }
    }

    private Seen known(QueryId id, String action) {
        Seen q = seen.get(id.value());
        log.add(action + " " + id.value());
        deny(q == null, action + " of an unknown query");
        return q;
    }

    private void answer(Seen q, String action) {
        deny(q.answered, "second answer by " + action + " for " + q.id);
        q.answered = true;
        if (q.place.equals("held") || q.place.equals("waiting for replay")) {
            q.place = "over";
        }
    }

    @Override
    public void run(QueryId id) {
        Seen q = known(id, "run");
        deny(!q.place.equals("held") || q.answered, "run of a query that is not held " + q.id);
        deny(q.ran && !harmless(q), "second run of a query with an effect " + q.id);
        deny(
                q.workload.equals("stamp")
                        && seen.values().stream()
                                .anyMatch(o ->
                                        o != q && o.ran && first(o) == first(q) && q.arrived <= o.arrived + WINDOW),
                "second run within the repeat window " + q.id);
        deny(
                q.workload.equals("stamp") && entries.getOrDefault(q.id, 0L) < q.arrived + WINDOW,
                "run of a stamped query that is not retained for its window " + q.id);
        deny(drainAt >= 0 && q.arrived > drainAt + GRACE, "run after the drain grace " + q.id);
        q.place = "running";
        q.ran = true;
    }

    @Override
    public void defer(QueryId id, long retryAfter, boolean finalRefusal) {
        Seen q = known(id, "defer");
        deny(q.ran && !harmless(q), "deferred after it ran " + q.id);
        lastKeepOff = retryAfter;
        lastNowhereElse = finalRefusal;
        answer(q, "defer");
    }

    @Override
    public void fail(QueryId id) {
        answer(known(id, "fail"), "fail");
    }

    @Override
    public void stop(QueryId id) {
        Seen q = known(id, "cancel");
        deny(halt == Halt.OFF, "cancellation on a machine without it");
        deny(!harmless(q), "cancellation of a query with an effect " + q.id);
    }

    @Override
    public void call(QueryId id, long timeout) {
        Seen q = known(id, "call");
        deny(!q.place.equals("blocked") || q.answered, "call of a query that is not blocked on one " + q.id);
        deny(!q.mayCall, "repeated call " + q.id);
        q.mayCall = true;
        q.place = "calling";
        q.callUntil = now + timeout;
        calls.add(new long[] {now, Long.MAX_VALUE, q.id});
    }

    @Override
    public void poorer(QueryId id) {
        Seen q = known(id, "degrade");
        deny(
                !q.workload.equals("look") || !q.place.equals("blocked"),
                "degraded answer of a workload or state without one " + q.id);
        q.place = "running";
    }

    @Override
    public void keep(QueryId id, long duration) {
        known(id, "retain");
        entries.put(id.value(), now + duration);
    }

    @Override
    public void forget(QueryId id) {
        Seen q = known(id, "forget");
        deny(q.ran && !harmless(q), "discarded the record of a query that ran " + q.id);
        entries.remove(id.value());
    }

    @Override
    public void reuse(QueryId id) {
        Seen q = known(id, "replay");
        deny(q.earlier == null || q.answered || !q.place.equals("held"), "replay without an earlier query " + q.id);
        q.place = "waiting for replay";
    }

    @Override
    public void health(boolean healthy, boolean stored) {
        log.add("health " + healthy);
    }

    @Override
    public void say(double load) {
        log.add("load " + load);
        deny(load < 0 || said == Said.OFF, "advertised " + load);
    }

    @Override
    public void closeIdle(long timeout) {
        log.add("idleTimeout " + timeout);
    }

    @Override
    public void wake(long at, TimerId timer) {
        deny(at <= now, "timer that is not in the future");
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(timer.value());
    }

    // ---- FastCGI as a sidecar writes and reads it, after the specification

    record Answered(int id, int end, int status, String headers, String body) {}

    static byte[] record(int type, int id, int padding, byte[] content) {
        byte[] r = new byte[8 + content.length + padding];
        byte[] head = {
            1,
            (byte) type,
            (byte) (id >> 8),
            (byte) id,
            (byte) (content.length >> 8),
            (byte) content.length,
            (byte) padding,
            0
        };
        System.arraycopy(head, 0, r, 0, 8);
        System.arraycopy(content, 0, r, 8, content.length);
        return r;
    }

    static byte[] join(byte[]... parts) {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    static byte[] pair(String name, String value, boolean wide) {
        byte[] lengths = wide || value.length() > 127
                ? new byte[] {
                    (byte) 0x80,
                    0,
                    0,
                    (byte) name.length(),
                    (byte) (0x80 | value.length() >> 24),
                    (byte) (value.length() >> 16),
                    (byte) (value.length() >> 8),
                    (byte) value.length()
                }
                : new byte[] {(byte) name.length(), (byte) value.length()};
        return join(lengths, (name + value).getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
    }

    /** A complete request; the fields alternate between names and values. */
    static byte[] request(int id, byte[] body, boolean wide, int padding, String... fields) {
        byte[] params = {};
        for (int i = 0; i < fields.length; i += 2) {
            params = join(params, pair(fields[i], fields[i + 1], wide));
        }
        int split = params.length / 2;
        return join(
                record(1, id, padding, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}),
                record(4, id, padding, java.util.Arrays.copyOf(params, split)),
                split == 0 ? params : record(4, id, 0, java.util.Arrays.copyOfRange(params, split, params.length)),
                record(4, id, padding, new byte[0]),
                body.length == 0 ? body : record(5, id, padding, body),
                record(5, id, 0, new byte[0]));
    }

    static List<Answered> answers(byte[] bytes) {
        List<Answered> all = new ArrayList<>();
        Map<Integer, String> out = new HashMap<>();
        for (int at = 0; at < bytes.length; ) {
            int id = (bytes[at + 2] & 0xff) << 8 | bytes[at + 3] & 0xff;
            int length = (bytes[at + 4] & 0xff) << 8 | bytes[at + 5] & 0xff;
            String content = new String(bytes, at + 8, length, java.nio.charset.StandardCharsets.ISO_8859_1);
            if (bytes[at + 1] == 6) {
                out.merge(id, content, String::concat);
            } else if (bytes[at + 1] == 3) {
                String text = out.containsKey(id) ? out.remove(id) : "Status: 0\r\n\r\n";
                int end = text.indexOf("\r\n\r\n");
                all.add(new Answered(
                        id,
                        content.charAt(4),
                        Integer.parseInt(text.substring(8, text.indexOf('\r'))),
                        text.substring(0, end),
                        text.substring(end + 4)));
            }
            at += 8 + length + (bytes[at + 6] & 0xff);
        }
        return all;
    }
}
