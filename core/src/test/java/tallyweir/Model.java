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

/** The four rules written out plainly, from the wire's page: it watches one Choice and says what is not allowed. */
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
    final List<long[]> calls = new ArrayList<>(); // from, until, id; until is MAX while in hand
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

    // ---- news

    Seen read(int workload, long age, long patience, double size, boolean again, Seen earlier) {
        Seen q = new Seen();
        q.id = ids++;
        q.workload = NAMES[workload];
        q.arrived = now - age;
        q.due = patience > 0 ? now + patience : Math.max(now, q.arrived + HARD);
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
                patience,
                again,
                new TenantId("a"),
                0);
        check();
        return q;
    }

    void settled(Seen q, Outcome how) {
        leave(q, true);
        q.paused = how == Outcome.RECALLED && !q.answered && halt == Halt.SUSPEND;
        q.place = how == Outcome.RECALLED && !q.answered ? "held" : "over";
        q.answered |= how != Outcome.RECALLED;
        choice.ended(new QueryId(q.id), how);
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
        q.place = "at call";
        q.mayCall = true;
        choice.standsAtCall(new QueryId(q.id));
        check();
    }

    void called(Seen q, Outcome how) {
        called(q, how, 100);
    }

    void called(Seen q, Outcome how, long took) {
        leave(q, how == Outcome.OVERDUE || how == Outcome.SEVERED);
        q.place = how == Outcome.COMPLETED ? "running" : "at call";
        q.mayCall = q.mayCall && (harmless(q) || how == Outcome.SATURATED || how == Outcome.REFUSED_CONN);
        choice.callEnded(new QueryId(q.id), how, took);
        check();
    }

    void gone(Seen q) {
        q.answered = true;
        if (q.place.equals("held") || q.place.equals("waits on reuse")) {
            q.place = "over";
        }
        choice.gone(new QueryId(q.id));
        check();
    }

    void drain(long left) {
        drainAt = now;
        stopAt = now + left;
        choice.drain(left);
        check();
    }

    /** Lets time pass in rounds, firing what is due with these gauges. */
    void pass(long span, double busy, double queue) {
        for (long end = now + span; now < end && now < stopAt - ROUND; ) {
            now = Math.min(end, now + ROUND);
            choice.clock(now);
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                for (long token : timers.pollFirstEntry().getValue()) {
                    choice.gauges(busy, queue);
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

    // ---- what the rules say

    void check() {
        double kb = 0;
        int on = 0;
        for (Seen q : seen.values()) {
            boolean begun = List.of("running", "at call", "calling").contains(q.place);
            kb += begun || q.paused && q.place.equals("held") ? q.size * FACTOR : q.place.equals("over") ? 0 : q.size;
            on += q.place.equals("running") ? 1 : 0;
            deny(!q.answered && !q.place.equals("over") && now > Math.min(q.due + SLACK, stopAt), "lost " + q.id);
        }
        entries.values().removeIf(until -> until < now);
        deny(kb + entries.size() * ENTRY_KB > LIMIT_KB, "memory");
        double warm = cold ? COLD_FROM + (1 - COLD_FROM) * Math.min(1, (now - born) / (double) COLD_FOR) : 1;
        deny(on > CORES * (1 + (FALL - 1) * warm), "crowd");
        double inHand = 0;
        for (long[] c : calls) {
            inHand += Math.max(0, Math.min(c[1], now) - Math.max(c[0], now - SPAN));
        }
        deny(callsOut > 0 && inHand / SPAN > callsOut, "calls");
    }

    private void deny(boolean broken, String what) {
        if (broken) {
            wrong.add(what + " at " + now);
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
        if (q.place.equals("held") || q.place.equals("waits on reuse")) {
            q.place = "over";
        }
    }

    @Override
    public void run(QueryId id) {
        Seen q = known(id, "run");
        deny(!q.place.equals("held") || q.answered, "run of what is not held " + q.id);
        deny(q.ran && !harmless(q), "rerun " + q.id);
        deny(
                q.workload.equals("stamp")
                        && seen.values().stream()
                                .anyMatch(o ->
                                        o != q && o.ran && first(o) == first(q) && q.arrived <= o.arrived + WINDOW),
                "duplicate " + q.id);
        deny(q.workload.equals("stamp") && entries.getOrDefault(q.id, 0L) < q.arrived + WINDOW, "unkept " + q.id);
        deny(drainAt >= 0 && q.arrived > drainAt + GRACE, "run after the grace " + q.id);
        q.place = "running";
        q.ran = true;
    }

    @Override
    public void defer(QueryId id, long keepOff, boolean nowhereElse) {
        Seen q = known(id, "defer");
        deny(q.ran && !harmless(q), "deferred once run " + q.id);
        lastKeepOff = keepOff;
        lastNowhereElse = nowhereElse;
        answer(q, "defer");
    }

    @Override
    public void fail(QueryId id) {
        answer(known(id, "fail"), "fail");
    }

    @Override
    public void stop(QueryId id) {
        Seen q = known(id, "stop");
        deny(halt == Halt.OFF, "stop where there is none");
        deny(!harmless(q), "stop of work with an effect " + q.id);
    }

    @Override
    public void call(QueryId id, long timeOut) {
        Seen q = known(id, "call");
        deny(!q.place.equals("at call") || q.answered, "call of what stands at none " + q.id);
        deny(!q.mayCall, "repeated call " + q.id);
        q.mayCall = true;
        q.place = "calling";
        q.callUntil = now + timeOut;
        calls.add(new long[] {now, Long.MAX_VALUE, q.id});
    }

    @Override
    public void poorer(QueryId id) {
        Seen q = known(id, "poorer");
        deny(!q.workload.equals("look") || !q.place.equals("at call"), "poorer answer where none is " + q.id);
        q.place = "running";
    }

    @Override
    public void keep(QueryId id, long span) {
        known(id, "keep");
        entries.put(id.value(), now + span);
    }

    @Override
    public void forget(QueryId id) {
        Seen q = known(id, "forget");
        deny(q.ran && !harmless(q), "forgot what ran " + q.id);
        entries.remove(id.value());
    }

    @Override
    public void reuse(QueryId id) {
        Seen q = known(id, "reuse");
        deny(q.earlier == null || q.answered || !q.place.equals("held"), "reuse without a forerunner " + q.id);
        q.place = "waits on reuse";
    }

    @Override
    public void health(boolean good, boolean stored) {
        log.add("health " + good);
    }

    @Override
    public void say(double value) {
        log.add("say " + value);
        deny(value < 0 || said == Said.OFF, "said " + value);
    }

    @Override
    public void closeIdle(long span) {
        log.add("closeIdle " + span);
    }

    @Override
    public void wake(long at, TimerId timer) {
        deny(at <= now, "a timer that is not ahead");
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(timer.value());
    }

    // ---- FastCGI as a sidecar writes and reads it, from the specification

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

    /** A whole request; fields come as name, value, name, value. */
    static byte[] request(int id, byte[] body, boolean wide, int padding, String... fields) {
        byte[] params = {};
        for (int i = 0; i < fields.length; i += 2) {
            params = join(params, pair(fields[i], fields[i + 1], wide));
        }
        int half = params.length / 2;
        return join(
                record(1, id, padding, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}),
                record(4, id, padding, java.util.Arrays.copyOf(params, half)),
                half == 0 ? params : record(4, id, 0, java.util.Arrays.copyOfRange(params, half, params.length)),
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
