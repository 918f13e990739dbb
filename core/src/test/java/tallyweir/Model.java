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
    static final double COLLAPSE_MULTIPLE = 6;
    static final double COLD_START_SHARE = 0.25;
    static final long COLD_DURATION_TENTHS_MS = 100_000;
    static final double LIMIT_KB = 4_000;
    static final double RUN_MEMORY_FACTOR = 8;
    static final double ENTRY_KB = 40;
    static final long CALL_WINDOW_TENTHS_MS = 50_000;
    static final long LINGER_TENTHS_MS = 2_000;
    static final long POLL_INTERVAL_TENTHS_MS = 50;
    static final long ANSWER_SLACK_TENTHS_MS = 600;
    static final long DRAIN_GRACE_TENTHS_MS = 20_000;
    static final long REPEAT_WINDOW_TENTHS_MS = 60_000;
    static final long HARD_LIMIT_TENTHS_MS = 40_000;
    static final String[] WORKLOADS = {"look", "stamp", "once", "top"};

    static final class ModelQuery {
        long id;
        String workload;
        long arrivedAt;
        long deadline;
        double sizeKb;
        ModelQuery earlier;
        String state = "held";
        boolean answered;
        boolean hasRun;
        boolean suspended;
        boolean mayCall = true;
        long callDeadline;
    }

    final Map<Long, ModelQuery> queries = new LinkedHashMap<>();
    final List<String> violations = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    final Map<Long, Long> retainedUntil = new HashMap<>();
    // Start, end, query id; the end is MAX_VALUE while the call is in flight.
    final List<long[]> calls = new ArrayList<>();
    final Choice choice;
    final boolean cold;
    final CancellationMode cancellation;
    final LoadAdvice loadAdvice;
    final double maxCallsInFlight;
    long now = 1_000_000;
    long startedAt = now;
    long drainStartedAt = -1;
    long stopDeadline = Long.MAX_VALUE;
    long nextId = 100;
    long lastRetryAfter = -1;
    boolean lastFinalRefusal;
    long caller = 1;

    Model(
            long seed,
            boolean cold,
            CancellationMode cancellation,
            LoadAdvice loadAdvice,
            double maxCallsInFlight,
            long resultShareDuration) {
        this.cold = cold;
        this.cancellation = cancellation;
        this.loadAdvice = loadAdvice;
        this.maxCallsInFlight = maxCallsInFlight;
        choice = new Choice(this, seed, now);
        choice.configureMachine(
                CORES, COLLAPSE_MULTIPLE, cold, COLD_START_SHARE, COLD_DURATION_TENTHS_MS, cancellation);
        choice.configureMemory(LIMIT_KB, RUN_MEMORY_FACTOR, ENTRY_KB);
        choice.configureCalls(maxCallsInFlight, CALL_WINDOW_TENTHS_MS, LINGER_TENTHS_MS);
        Effect[] effects = {Effect.HARMLESS, Effect.STAMPED, Effect.ONE_SHOT, Effect.HARMLESS};
        for (int i = 0; i < WORKLOADS.length; i++) {
            choice.addWorkload(
                    new WorkloadId(WORKLOADS[i]),
                    effects[i],
                    18_000,
                    HARD_LIMIT_TENTHS_MS,
                    i == 3 ? 10 : 1,
                    i == 2 ? 0.2 : 0,
                    REPEAT_WINDOW_TENTHS_MS,
                    i < 3,
                    i == 0 ? 0.5 : 0);
        }
        choice.addTenant(new TenantId("a"), 40, 4);
        choice.configureAnswers(POLL_INTERVAL_TENTHS_MS, DRAIN_GRACE_TENTHS_MS, 0.05);
        choice.configureCallers(loadAdvice, resultShareDuration, 10_000);
        choice.configureConnections(300_000);
        choice.start();
    }

    // ---- events

    ModelQuery read(int workload, long age, long timeout, double size, boolean retry, ModelQuery earlier) {
        ModelQuery q = new ModelQuery();
        q.id = nextId++;
        q.workload = WORKLOADS[workload];
        q.arrivedAt = now - age;
        q.deadline = timeout > 0 ? now + timeout : Math.max(now, q.arrivedAt + HARD_LIMIT_TENTHS_MS);
        q.sizeKb = size;
        q.earlier = earlier;
        queries.put(q.id, q);
        choice.onQueryRead(
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

    void runEnded(ModelQuery q, Outcome outcome) {
        endCall(q, true);
        q.suspended = outcome == Outcome.RECALLED && !q.answered && cancellation == CancellationMode.SUSPEND;
        q.state = outcome == Outcome.RECALLED && !q.answered ? "held" : "over";
        q.answered |= outcome != Outcome.RECALLED;
        choice.onRunEnded(new QueryId(q.id), outcome);
        check();
    }

    private void endCall(ModelQuery q, boolean lingers) {
        for (long[] c : calls) {
            if (c[2] == q.id && c[1] == Long.MAX_VALUE) {
                c[1] = now + (lingers ? LINGER_TENTHS_MS : 0);
            }
        }
    }

    void blockOnCall(ModelQuery q) {
        q.state = "blocked";
        q.mayCall = true;
        choice.onBlockedOnCall(new QueryId(q.id));
        check();
    }

    void callEnded(ModelQuery q, Outcome outcome) {
        callEnded(q, outcome, 100);
    }

    void callEnded(ModelQuery q, Outcome outcome, long duration) {
        endCall(q, outcome == Outcome.OVERDUE || outcome == Outcome.SEVERED);
        q.state = outcome == Outcome.COMPLETED ? "running" : "blocked";
        q.mayCall = q.mayCall && (isHarmless(q) || outcome == Outcome.SATURATED || outcome == Outcome.REFUSED_CONN);
        choice.onCallEnded(new QueryId(q.id), outcome, duration);
        check();
    }

    void disconnect(ModelQuery q) {
        q.answered = true;
        if (q.state.equals("held") || q.state.equals("waiting for replay")) {
            q.state = "over";
        }
        choice.onCallerDisconnected(new QueryId(q.id));
        check();
    }

    void drain(long timeLeft) {
        drainStartedAt = now;
        stopDeadline = now + timeLeft;
        choice.drain(timeLeft);
        check();
    }

    /** Lets time pass in steps of a round and fires the timers that are due, with these gauges. */
    void pass(long duration, double coresBusy, double runQueue) {
        for (long end = now + duration; now < end && now < stopDeadline - POLL_INTERVAL_TENTHS_MS; ) {
            now = Math.min(end, now + POLL_INTERVAL_TENTHS_MS);
            choice.setTime(now);
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                for (long token : timers.pollFirstEntry().getValue()) {
                    choice.setGauges(coresBusy, runQueue);
                    choice.onTimer(new TimerId(token));
                }
            }
            inState("calling").stream().filter(q -> q.callDeadline <= now).forEach(q -> callEnded(q, Outcome.OVERDUE));
            check();
        }
    }

    List<ModelQuery> inState(String... states) {
        return queries.values().stream()
                .filter(q -> List.of(states).contains(q.state))
                .toList();
    }

    private static ModelQuery original(ModelQuery q) {
        return q.earlier == null ? q : original(q.earlier);
    }

    boolean isHarmless(ModelQuery q) {
        return q.workload.equals("look") || q.workload.equals("top");
    }

    // ---- the rules

    void check() {
        double usedKb = 0;
        int running = 0;
        for (ModelQuery q : queries.values()) {
            boolean started = List.of("running", "blocked", "calling").contains(q.state);
            usedKb += started || q.suspended && q.state.equals("held")
                    ? q.sizeKb * RUN_MEMORY_FACTOR
                    : q.state.equals("over") ? 0 : q.sizeKb;
            running += q.state.equals("running") ? 1 : 0;
            deny(
                    !q.answered
                            && !q.state.equals("over")
                            && now > Math.min(q.deadline + ANSWER_SLACK_TENTHS_MS, stopDeadline),
                    "unanswered " + q.id);
        }
        retainedUntil.values().removeIf(until -> until < now);
        deny(usedKb + retainedUntil.size() * ENTRY_KB > LIMIT_KB, "memory limit exceeded");
        double warm = cold
                ? COLD_START_SHARE
                        + (1 - COLD_START_SHARE) * Math.min(1, (now - startedAt) / (double) COLD_DURATION_TENTHS_MS)
                : 1;
        deny(running > CORES * (1 + (COLLAPSE_MULTIPLE - 1) * warm), "too many concurrent runs");
        double callTime = 0;
        for (long[] c : calls) {
            callTime += Math.max(0, Math.min(c[1], now) - Math.max(c[0], now - CALL_WINDOW_TENTHS_MS));
        }
        deny(maxCallsInFlight > 0 && callTime / CALL_WINDOW_TENTHS_MS > maxCallsInFlight, "too many calls in flight");
    }

    private void deny(boolean violated, String rule) {
        if (violated) {
            violations.add(rule + " at " + now);
        }
    }

    private ModelQuery logAction(QueryId id, String action) {
        ModelQuery q = queries.get(id.value());
        log.add(action + " " + id.value());
        deny(q == null, action + " of an unknown query");
        return q;
    }

    private void answer(ModelQuery q, String action) {
        deny(q.answered, "second answer by " + action + " for " + q.id);
        q.answered = true;
        if (q.state.equals("held") || q.state.equals("waiting for replay")) {
            q.state = "over";
        }
    }

    @Override
    public void run(QueryId id) {
        ModelQuery q = logAction(id, "run");
        deny(!q.state.equals("held") || q.answered, "run of a query that is not held " + q.id);
        deny(q.hasRun && !isHarmless(q), "second run of a query with an effect " + q.id);
        deny(
                q.workload.equals("stamp")
                        && queries.values().stream()
                                .anyMatch(o -> o != q
                                        && o.hasRun
                                        && original(o) == original(q)
                                        && q.arrivedAt <= o.arrivedAt + REPEAT_WINDOW_TENTHS_MS),
                "second run within the repeat window " + q.id);
        deny(
                q.workload.equals("stamp")
                        && retainedUntil.getOrDefault(q.id, 0L) < q.arrivedAt + REPEAT_WINDOW_TENTHS_MS,
                "run of a stamped query that is not retained for its window " + q.id);
        deny(
                drainStartedAt >= 0 && q.arrivedAt > drainStartedAt + DRAIN_GRACE_TENTHS_MS,
                "run after the drain grace " + q.id);
        q.state = "running";
        q.hasRun = true;
    }

    @Override
    public void defer(QueryId id, long retryAfter, boolean finalRefusal) {
        ModelQuery q = logAction(id, "defer");
        deny(q.hasRun && !isHarmless(q), "deferred after it ran " + q.id);
        lastRetryAfter = retryAfter;
        lastFinalRefusal = finalRefusal;
        answer(q, "defer");
    }

    @Override
    public void fail(QueryId id) {
        answer(logAction(id, "fail"), "fail");
    }

    @Override
    public void cancel(QueryId id) {
        ModelQuery q = logAction(id, "cancel");
        deny(cancellation == CancellationMode.OFF, "cancellation on a machine without it");
        deny(!isHarmless(q), "cancellation of a query with an effect " + q.id);
    }

    @Override
    public void call(QueryId id, long timeout) {
        ModelQuery q = logAction(id, "call");
        deny(!q.state.equals("blocked") || q.answered, "call of a query that is not blocked on one " + q.id);
        deny(!q.mayCall, "repeated call " + q.id);
        q.mayCall = true;
        q.state = "calling";
        q.callDeadline = now + timeout;
        calls.add(new long[] {now, Long.MAX_VALUE, q.id});
    }

    @Override
    public void degrade(QueryId id) {
        ModelQuery q = logAction(id, "degrade");
        deny(
                !q.workload.equals("look") || !q.state.equals("blocked"),
                "degraded answer of a workload or state without one " + q.id);
        q.state = "running";
    }

    @Override
    public void retain(QueryId id, long duration) {
        logAction(id, "retain");
        retainedUntil.put(id.value(), now + duration);
    }

    @Override
    public void discardRetained(QueryId id) {
        ModelQuery q = logAction(id, "forget");
        deny(q.hasRun && !isHarmless(q), "discarded the record of a query that ran " + q.id);
        retainedUntil.remove(id.value());
    }

    @Override
    public void replay(QueryId id) {
        ModelQuery q = logAction(id, "replay");
        deny(q.earlier == null || q.answered || !q.state.equals("held"), "replay without an earlier query " + q.id);
        q.state = "waiting for replay";
    }

    @Override
    public void setHealth(boolean healthy, boolean stored) {
        log.add("health " + healthy);
    }

    @Override
    public void advertiseLoad(double load) {
        log.add("load " + load);
        deny(load < 0 || loadAdvice == LoadAdvice.OFF, "advertised " + load);
    }

    @Override
    public void setIdleTimeout(long timeout) {
        log.add("idleTimeout " + timeout);
    }

    @Override
    public void setTimer(long at, TimerId timer) {
        deny(at <= now, "timer that is not in the future");
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(timer.value());
    }

    // ---- FastCGI as a sidecar writes and reads it, after the specification

    record FcgiAnswer(int id, int protocolStatus, int status, String headers, String body) {}

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

    static List<FcgiAnswer> answers(byte[] bytes) {
        List<FcgiAnswer> all = new ArrayList<>();
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
                all.add(new FcgiAnswer(
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
