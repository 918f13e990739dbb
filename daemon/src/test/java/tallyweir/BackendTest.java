package tallyweir;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import tallyweir.Model.Answered;
import tallyweir.backend.Backend;
import tallyweir.backend.Links;
import tallyweir.backend.Peer;
import tallyweir.backend.Rehearsal;
import tallyweir.config.Config;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;
import tallyweir.results.ResultStore;

/** The backend between a simulated kernel, store and sidecars, which record every violation of the rules. */
class BackendTest {
    static final String CONFIG = """
            {"name":"n3","listen":"127.0.0.1:0","kernel":"127.0.0.1:1","announce":"127.0.0.1:2","store":"127.0.0.1:3",
             "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},
             "settings":{"Classes":[{"Name":"c","Effect":"safe","TargetUs":1800000,"DeadlineUs":4600000,"Worth":1},
              {"Name":"k","Effect":"keyed","TargetUs":1800000,"DeadlineUs":4600000,"Worth":3,"RepeatWindowUs":5000000},
              {"Name":"u","Effect":"unsafe","TargetUs":1800000,"DeadlineUs":4600000,"Worth":2}],
              "FamilyInfo":{"Cpus":2,"MemLimitKb":9000,"RunMemFactor":4,"EntryKb":30,"Halt":"abort","IdleUs":30000000,
               "Gauges":["core_use","on_cores"],"PassesDeadline":true,"CallsOut":4,"ShareSpanUs":5000000,
               "LingerUs":200000,"ClassCalls":[true,true,true],"ShareForUs":1000000},
              "Projects":[{"Name":"a","QuotaPerS":80}],"RoundUs":5000,"Servers":4,
              "Permissions":{"RetryAfter":true,"MaxRetryAfterUs":1000000},
              "Rules":{"AnswerSlackUs":60000,"DrainGraceUs":1000000,"FallMultiple":8,"FallUs":3000000}}}""";
    static final long SLACK = 600 + 500;
    // For this long a new connection isn't closed to make room.
    private static final int NEWCOMER = 1_000;
    static final int MOST =
            28; // caller connections that fit into 64 sockets beside those that the process itself needs

    /** A request as its sidecar sees it. */
    static final class Asked {
        int conn;
        int id;
        String job;
        String workload;
        String body;
        long due;
        boolean whole;
        boolean valid = true;
        boolean aborted;
        int answers;
        Answered answer;
        int ran;
        boolean effectKept = true; // whether no earlier call of it can have had an effect
        String result;
    }

    /** The simplest possible sidecars, kernel and store. Times are in tenths of a millisecond. */
    static final class Round implements Links {
        int looks;

        @Override
        public void route(InetSocketAddress kernel, InetSocketAddress announce) {
            throw new IllegalStateException("this test has no fleet");
        }

        @Override
        public void lookAgain() {
            looks++;
        }

        final Backend backend;
        final Map<Integer, ByteArrayOutputStream> conns = new LinkedHashMap<>();
        final Map<Integer, Integer> seen = new HashMap<>();
        final List<Asked> asked = new ArrayList<>();
        final Map<String, String> jobs = new LinkedHashMap<>(); // running or blocked on a call, by job id
        // Bodies of calls that the store is working on, by job id.
        final Map<String, String> calls = new LinkedHashMap<>();
        final Map<String, String> owed = new HashMap<>(); // replies that the kernel must receive, by job id
        final List<String> log = new ArrayList<>();
        final List<String> wrong = new ArrayList<>();
        final Map<LinkId, Peer> opening = new LinkedHashMap<>();
        final Map<LinkId, Peer> up = new LinkedHashMap<>();
        final Map<String, LinkId> calledOn = new HashMap<>();
        long now = 1_000_000;
        long wall = 100_000_000; // offset of the wall clock from the monotonic clock
        long n;
        boolean kernelUp;
        final List<Integer> closing = new ArrayList<>();
        final Set<Integer> unread = new HashSet<>(); // connections with bytes that have not been read yet
        boolean waiting; // whether callers are waiting to be accepted
        String tag;

        Round() {
            this(null, 1_000_000);
        }

        /** Retains results over restarts in the given store; the process starts at the given time. */
        Round(ResultStore resultStore, long startAt) {
            now = startAt;
            backend = new Backend(
                    this, Config.parse(CONFIG.getBytes(UTF_8), Map.of()), startAt, startAt + wall, resultStore);
        }

        void clock() {
            backend.clock(now, now + wall);
        }

        void boot() {
            clock();
            backend.start();
            kernelUp();
        }

        static LinkId last(Map<LinkId, Peer> of, Peer peer) {
            return of.keySet().stream()
                    .filter(l -> of.get(l) == peer)
                    .reduce((a, b) -> b)
                    .orElse(null);
        }

        boolean wants(Peer peer) {
            return opening.containsValue(peer);
        }

        /** Opens the link that was last requested. */
        LinkId up(Peer peer) {
            clock();
            LinkId link = last(opening, peer);
            opening.remove(link);
            up.put(link, peer);
            backend.up(link);
            return link;
        }

        void refuse(Peer peer) {
            clock();
            LinkId link = last(opening, peer);
            opening.remove(link);
            backend.down(link, true);
        }

        void down(Peer peer) {
            down(last(up, peer));
        }

        void down(LinkId link) {
            clock();
            up.remove(link);
            calls.keySet().removeIf(job -> calledOn.get(job).equals(link));
            backend.down(link, false);
        }

        void kernelUp() {
            if (wants(Peer.KERNEL)) {
                kernelUp = true;
                up(Peer.KERNEL);
                kernel("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (now / 10 - 99_999) + "}");
                kernel("{\"type\":\"INFO\",\"ref\":\"resumed\",\"gauges\":[]}");
            }
        }

        void kernel(String line) {
            clock();
            backend.read(last(up, Peer.KERNEL), ByteBuffer.wrap((line + "\n").getBytes(UTF_8)));
        }

        void gauges() {
            kernel("{\"type\":\"INFO\",\"ref\":\"" + tag + "\",\"gauges\":[0.1,1]}");
        }

        void reap(String job, String state, String result) {
            jobs.remove(job);
            calls.remove(job);
            if (state.equals("good")) {
                of(job).result = result;
            }
            notice("REAP", job, state, result);
        }

        void notice(String type, String job, String state, String data) {
            kernel("{\"type\":\"" + type + "\",\"n\":" + ++n + ",\"job\":\"" + job + "\",\"state\":\"" + state
                    + "\",\"took\":3,\"data\":\"" + Base64.getEncoder().encodeToString(data.getBytes(UTF_8)) + "\"}");
        }

        void store(String text) {
            store(text, text.substring(0, 16));
        }

        /** Sends a line from the store on the link that carried a job's call. */
        void store(String text, String job) {
            clock();
            backend.read(calledOn.get(job), ByteBuffer.wrap(text.getBytes(UTF_8)));
        }

        int open() {
            clock();
            ConnectionId slot = backend.accepted();
            int conn = slot == null ? -1 : slot.value();
            if (slot != null) {
                conns.put(conn, new ByteArrayOutputStream());
                seen.put(conn, 0);
            }
            return conn;
        }

        Asked ask(int conn, String workload, String body, long callerTimeout, String key, String... more) {
            Asked a = new Asked();
            a.conn = conn;
            a.id = 1 + (int) asked.stream().filter(o -> o.conn == conn).count();
            a.job = String.format("%016x", asked.size() + 1);
            a.workload = workload;
            a.body = body;
            a.due = now + callerTimeout;
            asked.add(a);
            String[] fields = {
                "REQUEST_METHOD",
                "POST",
                "SCRIPT_NAME",
                "/do/" + workload,
                "HTTP_REQUEST_ID",
                a.job,
                "HTTP_RECEIVED_AT",
                "" + (now + 100_000_000) / 10,
                "HTTP_SENT_BY",
                "4",
                "HTTP_ACCOUNT",
                "a",
                "HTTP_BUDGET_MS",
                "" + callerTimeout / 10,
                "HTTP_FOOTPRINT_KB",
                "24.5",
                "HTTP_PRIORITY_RANK",
                "0.6250",
                workload.equals("k") ? "HTTP_ONCE_KEY" : key == null ? "X" : "HTTP_RESOURCE_KEY",
                key == null ? "" : key
            };
            fields = Arrays.copyOf(fields, fields.length + more.length);
            System.arraycopy(more, 0, fields, fields.length - more.length, more.length);
            send(conn, Model.request(a.id, body.getBytes(UTF_8), false, 3, fields));
            a.whole = true;
            return a;
        }

        void send(int conn, byte[] bytes) {
            clock();
            backend.read(new ConnectionId(conn), ByteBuffer.wrap(bytes));
        }

        void end(int conn) {
            clock();
            conns.remove(conn);
            asked.stream().filter(a -> a.conn == conn).forEach(a -> a.aborted = true);
            asked.stream().filter(a -> a.conn == conn).forEach(a -> a.conn = -1);
            backend.closed(new ConnectionId(conn));
        }

        void pass(long duration) {
            for (long end = now + duration; now < end; ) {
                now = Math.min(end, Math.max(now + 1, backend.next()));
                clock();
                backend.pass();
                check();
                closings();
            }
        }

        void closings() {
            List.copyOf(closing).forEach(this::end);
            closing.clear();
        }

        Asked of(String job) {
            return asked.stream().filter(a -> a.job.equals(job)).findFirst().orElseThrow();
        }

        List<Answered> answers(int conn) {
            return Model.answers(conns.get(conn).toByteArray());
        }

        void check() {
            conns.forEach((conn, bytes) -> {
                List<Answered> all = answers(conn);
                all.subList(seen.put(conn, all.size()), all.size()).forEach(w -> answered(conn, w));
            });
            asked.stream()
                    .filter(a -> a.whole && !a.aborted && a.answers == 0 && now > a.due + SLACK)
                    .forEach(a -> deny(++a.answers == 1, "no answer to " + a.job));
        }

        void answered(int conn, Answered w) {
            log.add("answered " + w.id() + " " + w.status());
            for (Asked a : asked) {
                if (a.conn == conn && a.id == w.id()) {
                    a.answers++;
                    a.answer = w;
                    deny(a.answers > 1, "answered twice " + a.job);
                    deny(
                            w.status() == 200
                                    && asked.stream()
                                            .noneMatch(o -> o.workload.equals(a.workload)
                                                    && w.body().equals(o.result)),
                            "answered with a result that no run returned " + a.job);
                    deny(
                            w.status() == 503 && a.ran > 0 && !a.workload.equals("c"),
                            "deferred after it had run " + a.job);
                    deny(!a.valid && w.status() / 100 != 4, "accepted though malformed " + a.job);
                }
            }
        }

        void deny(boolean broken, String what) {
            if (broken) {
                wrong.add(what + " at " + now);
            }
        }

        long number(String counter) {
            return backend.counters().all().get(counter);
        }

        @Override
        public void toCaller(ConnectionId caller, byte[] bytes) {
            if (conns.containsKey(caller.value())) {
                conns.get(caller.value()).writeBytes(bytes);
            }
        }

        @Override
        public void endCaller(ConnectionId caller) {
            log.add("close " + caller.value());
            check();
            closing.add(caller.value());
        }

        @Override
        public boolean endQuiet(ConnectionId caller) {
            if (!unread.contains(caller.value())) {
                endCaller(caller);
            }
            return !unread.contains(caller.value());
        }

        @Override
        public void dropCaller(ConnectionId caller) {
            log.add("drop " + caller.value());
            closing.add(caller.value());
        }

        @Override
        public boolean dropStuck() {
            return false;
        }

        @Override
        public void stopListening() {
            log.add("listener closed");
        }

        @Override
        public boolean callersWait() {
            return waiting;
        }

        @Override
        public void connect(LinkId link, Peer peer, InetSocketAddress at) {
            opening.put(link, peer);
        }

        @Override
        public void to(LinkId link, byte[] bytes) {
            String text = new String(bytes, ISO_8859_1);
            log.add(up.get(link) + " " + text.strip());
            if (up.get(link) == Peer.KERNEL) {
                command(text);
            } else if (text.startsWith("CALL")) {
                String job = text.substring(5, 21);
                String body = text.substring(text.indexOf("\r\n") + 2, text.length() - 2);
                deny(!("call of " + job).equals(body), "a call's body was changed");
                deny(!of(job).effectKept && !of(job).workload.equals("c"), "call repeated " + job);
                of(job).effectKept = false;
                deny(calls.keySet().stream().anyMatch(o -> calledOn.get(o).equals(link)), "two calls on one link");
                calls.put(job, body);
                deny(
                        link.equals(calledOn.put(job, link)),
                        "a second call on a link where a copy of the first reply may still arrive");
            }
        }

        void command(String text) {
            if (text.contains("SYSINFO")) {
                tag = field(text, "ref");
                return;
            }
            if (text.contains("OPEN")) {
                deny(!text.contains("\"n\":" + n + "}"), "OPEN does not carry the number of the last notice");
                return;
            }
            String job = field(text, "job");
            String data = new String(Base64.getDecoder().decode(field(text, "data")), UTF_8);
            Asked a = of(job);
            if (text.contains("SCHED") && !jobs.containsKey(job)) {
                deny(
                        !field(text, "kind").equals(a.workload) || !data.equals(a.body),
                        "run with another workload or body " + job);
                deny(!a.valid, "run though malformed " + job);
                a.ran++;
                deny(a.ran > 1 && !a.workload.equals("c"), "run twice " + job);
                jobs.put(job, "runs");
            } else if (text.contains("IODONE")) {
                deny(!data.equals(owed.get(job)), "a reply differs from what the store sent " + job);
                jobs.replace(job, "runs");
            }
        }

        static String field(String json, String name) {
            int at = json.indexOf("\"" + name + "\":\"");
            return at < 0 ? "" : json.substring(at + name.length() + 4, json.indexOf('"', at + name.length() + 4));
        }

        @Override
        public void drop(LinkId link) {
            log.add("drop " + (up.containsKey(link) ? up.remove(link) : opening.remove(link)));
            calls.keySet().removeIf(job -> calledOn.get(job).equals(link));
        }

        @Override
        public void report(byte[] datagram) {
            log.add(new String(datagram, UTF_8));
        }
    }

    private final Round r = new Round();

    private Asked running(String workload) {
        r.boot();
        Asked a = r.ask(r.open(), workload, "b", 20_000, workload.equals("k") ? "m" : null);
        assertEquals("runs", r.jobs.get(a.job));
        return a;
    }

    private Answered only(Asked a) {
        r.check();
        assertEquals(List.of(), r.wrong);
        assertEquals(1, a.answers);
        return a.answer;
    }

    /** Lets time pass with a kernel that keeps answering the gauge requests. */
    private void heard(long duration) {
        for (long left = duration; left > 0; left -= 1_000) {
            r.pass(1_000);
            r.gauges();
        }
    }

    private long logged(String start) {
        return r.log.stream().filter(l -> l.startsWith(start)).count();
    }

    /**
     * Random histories: no query is lost, changed, answered twice or run twice, and every resource is released at the
     * end.
     */
    @Property(tries = 300, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void keepsTheRulesOnItsLinks(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Round r = new Round();
        r.boot();
        for (int i = 0; i < 160; i++) {
            step(r, chance);
            r.check();
            r.closings();
        }
        for (int i = 0; i < 80; i++) {
            r.kernelUp();
            List.copyOf(r.jobs.keySet()).forEach(job -> r.reap(job, "bad", ""));
            r.pass(1_000);
        }
        List.copyOf(r.conns.keySet()).forEach(r::end);
        r.pass(110_000); // past the window, plus the longest time that a repeat may stay unread
        assertEquals(List.of(), r.wrong.stream().limit(5).toList());
        assertEquals(
                List.of(0L, 0L, 0L, 0L),
                List.of(
                        r.number("faults"),
                        r.number("now_connections"),
                        r.number("now_queries"),
                        r.number("now_entries")));
        assertTrue(r.number("now_deadlines") < 8, "" + r.number("now_deadlines"));
        assertEquals(
                r.number("queries_read"),
                r.number("answered_handled")
                        + r.number("answered_deferred")
                        + r.number("answered_errored")
                        + r.number("queries_gone"),
                "each query must end exactly once");
        assertEquals(0, r.number("answered_by_the_last_guard"));
    }

    private static <T> T any(SplittableRandom chance, Iterable<T> from) {
        List<T> all = new ArrayList<>();
        from.forEach(all::add);
        return all.isEmpty() ? null : all.get(chance.nextInt(all.size()));
    }

    static void step(Round r, SplittableRandom chance) {
        Integer conn = any(chance, r.conns.keySet());
        String job = any(chance, r.jobs.keySet());
        String call = any(chance, r.calls.keySet());
        int kind = chance.nextInt(100);
        if (conn == null || kind < 5) {
            r.open();
        } else if (kind < 40) {
            String workload = new String[] {"c", "c", "k", "u"}[chance.nextInt(4)];
            Asked a = r.ask(
                    conn,
                    workload,
                    "b" + chance.nextInt(1_000),
                    200 + chance.nextInt(20_000),
                    workload.equals("u") ? null : "m" + chance.nextInt(6));
            a.valid = true;
        } else if (kind < 44) {
            List<Asked> open = r.asked.stream()
                    .filter(a -> a.conn == conn && a.answers == 0)
                    .toList();
            if (!open.isEmpty()) {
                r.send(conn, Model.record(2, open.get(0).id, 0, new byte[0]));
            }
        } else if (kind < 46) {
            r.send(conn, Model.record(1, 1_000 + r.asked.size(), 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
            r.end(conn);
        } else if (kind < 50) {
            r.send(conn, new byte[] {1, 2}); // part of a record; nothing after it can be parsed
            r.end(conn);
        } else if (kind < 75 && r.kernelUp && job != null) {
            boolean runs = r.jobs.get(job).equals("runs");
            if (runs && chance.nextInt(3) == 0) {
                r.jobs.put(job, "at call");
                r.of(job).effectKept = true;
                r.owed.remove(job);
                r.notice("IOREQ", job, "", "call of " + job);
            } else if (runs) {
                boolean over = r.of(job).answers > 0 || r.of(job).aborted;
                r.reap(
                        job,
                        new String[] {"good", "good", "bad", over ? "gone" : "good"}[chance.nextInt(4)],
                        "made for " + job);
            } else if (r.of(job).aborted || r.of(job).answers > 0) {
                r.reap(job, "cut", "");
            }
        } else if (kind < 77 && r.kernelUp) {
            r.kernelUp = false;
            r.down(Peer.KERNEL);
        } else if (kind < 85) {
            if (r.wants(Peer.STORE) && chance.nextInt(4) > 0) {
                r.up(Peer.STORE);
            } else if (r.wants(Peer.STORE)) {
                r.refuse(Peer.STORE);
            } else if (r.up.containsValue(Peer.STORE) && chance.nextInt(4) == 0) {
                r.down(Peer.STORE);
            }
        } else if (kind < 93 && call != null) {
            r.calls.remove(call);
            String word = new String[] {"OK", "BUSY", "ERR", "VOID", "LATE", "OK"}[chance.nextInt(6)];
            if (word.equals("OK")) {
                r.owed.put(call, "reply to " + call);
                r.store(call + " OK 25\r\nreply to " + call + "\r\n");
            } else {
                r.of(call).effectKept = word.equals("BUSY") || word.equals("VOID");
                r.store(call + " " + word + "\r\n");
            }
        } else {
            r.pass(chance.nextInt(2_500));
            r.kernelUp();
            if (r.kernelUp && r.tag != null) {
                r.gauges();
            }
        }
    }

    @Test
    void theKernelsResultLeavesUnchangedAndTheIdIsFreeAgain() {
        r.boot();
        int conn = r.open();
        r.send(conn, Model.request(9, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        long deadlines = r.number("now_deadlines");
        Asked a = r.ask(conn, "c", "b", 20_000, null);
        r.reap(a.job, "good", "made\r\n\r\n\0");
        assertEquals(deadlines, r.number("now_deadlines") - 1, "only the timer of the decisions may be added");
        Answered w = only(a);
        assertEquals(List.of(200, "made\r\n\r\n\0", 0), List.of(w.status(), w.body(), w.end()));
        assertEquals(0, r.number("now_queries"));
    }

    /** One log line per bad input would slow the only thread that decides. */
    @Test
    void aFloodOfBadInputWarnsOnceASecond() {
        List<String> lines = new ArrayList<>();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord line) {
                lines.add(line.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger log = Logger.getLogger("tallyweir.backend.Connections");
        log.addHandler(handler);
        r.boot();
        for (int i = 0; i < 40; i++) {
            r.ask(r.open(), "nothing", "b", 20_000, null);
            r.pass(i == 38 ? 10_010 : 10);
        }
        log.removeHandler(handler);
        assertEquals(
                List.of("404: no workload at '/do/nothing'", "left_out=38 404: no workload at '/do/nothing'"),
                lines.stream()
                        .map(l -> l.replace("a query was not taken, ", ""))
                        .toList());
    }

    /** A second end record for one id would end a later request that reuses the id. */
    @Test
    void anAbortGetsOneEndAndTheRunIsStopped() {
        Asked a = running("c");
        r.send(a.conn, Model.record(2, a.id, 0, new byte[0]));
        r.send(a.conn, Model.record(2, a.id, 0, new byte[0]));
        r.reap(a.job, "good", "late");
        assertEquals(0, only(a).status());
        assertEquals(1, logged("KERNEL {\"type\":\"PREEMPT\""));
    }

    @Test
    void whatIsMissingUnknownOrOutOfRangeGetsOneAnswerAndNothingRuns() {
        r.boot();
        int conn = r.open();
        List<Integer> statuses = new ArrayList<>();
        for (String[] wrongField : new String[][] {
            {"SCRIPT_NAME", "/do/x"},
            {"SCRIPT_NAME", "/else"},
            {"REQUEST_METHOD", "GET"},
            {"HTTP_REQUEST_ID", "xyz"},
            {"HTTP_RECEIVED_AT", "1e9"},
            {"HTTP_FOOTPRINT_KB", "0"},
            {"HTTP_PRIORITY_RANK", "1.0"},
            {"HTTP_BUDGET_MS", "-1"},
            {"HTTP_SENT_BY", ""},
            {"HTTP_REQUEST_ID", "8".repeat(300)},
            {"HTTP_PRIORITY_RANK", "NaN"},
            {"HTTP_BUDGET_MS", "4601"},
            {"HTTP_FOOTPRINT_KB", "2000"},
            {"HTTP_ACCOUNT", "b"},
            {"HTTP_RECEIVED_AT", "999999999999999"}
        }) {
            Asked a = r.ask(conn, "c", "b", 20_000, null, wrongField);
            a.valid = false;
            statuses.add(only(a).status());
        }
        assertEquals(List.of(404, 404, 405, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400), statuses);
        assertEquals(0, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against a request that never completes and holds its connection for ever. */
    @Test
    void halfARequestIsEndedAfterAWhile() {
        r.boot();
        int conn = r.open();
        r.send(conn, Arrays.copyOf(Model.request(9, new byte[3], false, 0, "A", "b"), 30));
        int silent = r.open();
        r.pass(21_000);
        assertEquals(1, logged("close " + silent));
        r.pass(300_000);
        assertEquals(1, logged("answered 9 408"));
        assertEquals(1, logged("close " + conn));
    }

    @Test
    void halfARequestGoesWithItsConnection() {
        r.boot();
        long deadlines = r.number("now_deadlines");
        int conn = r.open();
        r.send(conn, Model.record(1, 1, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        r.end(conn);
        assertEquals(deadlines, r.number("now_deadlines"));
    }

    /** The kernel cannot tell apart two queries with one job id: the second is errored, the first goes on. */
    @Test
    void ofTwoQueriesOfOneNameTheSecondIsFailed() {
        Asked a = running("u");
        Asked b = r.ask(a.conn, "u", "other", 20_000, null, "HTTP_REQUEST_ID", a.job);
        assertEquals(500, only(b).status());
        r.reap(a.job, "good", "made");
        assertEquals("made", only(a).body());
    }

    /** Guards against losing the answers of all other queries on a connection that sent an invalid record. */
    @Test
    void aSpoiltStreamIsReadNoMoreAndClosedOnceItsQueriesAreAnswered() {
        Asked a = running("c");
        int conn = a.conn;
        r.send(
                conn,
                Model.join(
                        new byte[] {7, 1, 0, 1, 0, 0, 0, 0},
                        Model.request(9, new byte[0], false, 0, "SCRIPT_NAME", "/check")));
        r.send(conn, Model.request(10, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        assertEquals(0, logged("close " + conn));
        r.reap(a.job, "good", "made");
        assertEquals("made", only(a).body());
        assertEquals(
                List.of(1L, 1), List.of(logged("close " + conn), r.answers(conn).size()));
        r.closings();
        assertEquals(List.of(0L, 1L), List.of(r.number("queries_gone"), r.number("connections_closed_bad")));
    }

    /** A repeat of a stamped query that ran gets its result and isn't run again. */
    @Test
    void repeatsAreAnsweredFromTheFirst() {
        Asked a = running("k");
        Asked b = r.ask(a.conn, "k", "b", 20_000, "m");
        r.reap(a.job, "good", "made");
        Asked c = r.ask(a.conn, "k", "b", 20_000, "m");
        r.pass(10);
        assertEquals(List.of("made", "made", "made"), List.of(only(a).body(), only(b).body(), only(c).body()));
        assertEquals(1, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against answering another body under a used key with the result of the first query. */
    @Test
    void aMarkThatIsUsedForAnotherBodyGetsNoResultAndNothingRuns() {
        Asked a = running("k");
        Asked early = r.ask(a.conn, "k", "other", 20_000, "m");
        r.reap(a.job, "good", "made");
        Asked late = r.ask(a.conn, "k", "other", 20_000, "m");
        Asked sameBody = r.ask(a.conn, "k", "b", 20_000, "m");
        r.pass(10);
        assertEquals(
                List.of(409, 409, "made"),
                List.of(
                        only(early).status(),
                        only(late).status(),
                        only(sameBody).body()));
        assertEquals(1, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against a key that stays used although the kernel rejected the run under it. */
    @Test
    void aMarkUnderWhichNothingCouldRunIsFreeAgain() {
        Asked a = running("k");
        r.kernel("{\"type\":\"EINVAL\",\"state\":\"SCHED\",\"job\":\"" + a.job + "\"}");
        r.jobs.remove(a.job);
        Asked b = r.ask(a.conn, "k", "the body of the key's owner", 20_000, "m");
        r.reap(b.job, "good", "made");
        assertEquals(List.of(500, "made"), List.of(only(a).status(), only(b).body()));
    }

    /** Guards against running a repeat that arrived within the window but was read after it. */
    @Test
    void whenARepeatArrivedCountsAndNotWhenItIsRead() {
        Asked a = running("k");
        r.reap(a.job, "good", "made");
        heard(50_000);
        r.pass(100);
        r.gauges();
        Asked inTime = r.ask(a.conn, "k", "b", 20_000, "m", "HTTP_RECEIVED_AT", "" + (r.now + 100_000_000 - 150) / 10);
        Asked after = r.ask(a.conn, "k", "b", 20_000, "m");
        r.pass(10);
        assertEquals("made", only(inTime).body());
        assertEquals("runs", r.jobs.get(after.job), "the window has ended, so this query must run");
        assertEquals(2, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against a repeat that runs beside the first query because the window ended during its run. */
    @Test
    void whileARunGoesOnNoRepeatRunsBesideItHoweverShortTheWindow() {
        Asked a = running("k");
        heard(19_000);
        Asked b = r.ask(a.conn, "k", "b", 20_000, "m");
        heard(80_000);
        Asked c = r.ask(a.conn, "k", "b", 20_000, "m");
        r.reap(a.job, "good", "made");
        heard(100_000);
        assertEquals(1, logged("KERNEL {\"type\":\"SCHED\""));
        assertEquals("made", only(c).body());
        assertEquals(1, b.answers);
        assertEquals(0, r.number("now_entries"));
    }

    /** Guards against repeats of a cut stamped run that wait until their own deadline. */
    @Test
    void whatWaitsForARunThatIsCutIsToldSoAtOnce() {
        Asked a = running("k");
        Asked b = r.ask(a.conn, "k", "b", 20_000, "m");
        r.reap(a.job, "cut", "");
        assertEquals(List.of(500, 500), List.of(only(a).status(), only(b).status()));
        assertEquals(1, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against a deferred stamped query that keeps its key: a retry then waited in vain and was errored. */
    @Test
    void theMarkOfWhatWasRefusedUnrunIsFreeAgain() {
        Asked first = running("u");
        r.ask(first.conn, "u", "b", 20_000, null);
        Asked deferred = r.ask(first.conn, "k", "b", 300, "m");
        r.pass(300);
        assertEquals(503, only(deferred).status());
        r.reap(first.job, "good", "first");
        Asked retry = r.ask(first.conn, "k", "b", 20_000, "m");
        assertEquals("runs", r.jobs.get(retry.job));
        r.reap(retry.job, "good", "made");
        assertEquals("made", only(retry).body());
    }

    /** A connection with unread bytes isn't idle. */
    @Test
    void aConnectionOnWhichSomethingLiesUnreadIsNotClosedForBeingIdle() {
        r.boot();
        int conn = r.open();
        r.send(conn, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        r.unread.add(conn);
        r.pass(320_000);
        assertEquals(0, logged("close " + conn));
        r.unread.clear();
        r.pass(60_000);
        assertEquals(1, logged("close " + conn));
    }

    /** While callers wait to be accepted, a connection that becomes idle is closed for them. */
    @Test
    void whoWaitsTakesThePlaceOfWhoBecomesIdle() {
        Asked a = running("c");
        r.waiting = true;
        r.backend.full();
        assertEquals(List.of(1L, 0L), List.of(r.number("connections_waited"), logged("close ")));
        r.reap(a.job, "good", "made");
        assertEquals(200, only(a).status());
        assertEquals(1, logged("close " + a.conn));
    }

    /**
     * No bytes may be unread at the stop: connections without pending answers are closed first, the others with their
     * last answer.
     */
    @Test
    void nearTheStopConnectionsEndOnceNothingIsOwed() {
        Asked a = running("u");
        int pending = a.conn;
        int idle = r.open();
        r.send(idle, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        int unread = r.open();
        r.unread.add(unread);
        r.backend.drain();
        r.backend.drain();
        r.pass(25_700);
        assertEquals(0, logged("listener closed"));
        r.pass(200);
        assertEquals(List.of(1L, 0L), List.of(logged("listener closed"), logged("close ")));
        r.backend.listenerClosed();
        assertEquals(
                List.of(1L, 0L, 1L),
                List.of(logged("close " + idle), logged("close " + unread), logged("listener closed")));
        Asked late = r.ask(unread, "c", "b", 20_000, null);
        r.unread.clear();
        r.pass(400);
        assertEquals(503, only(late).status());
        assertEquals(List.of(1L, 1L), List.of(logged("close " + unread), logged("close " + pending)));
        assertEquals(1, a.answers);
    }

    /**
     * When an aborted query's repeat runs in its place, further repeats get that result. They were once errored although
     * it ran.
     */
    @Test
    void theHeirOfAQueryThatCameToNothingServesItsLike() {
        Asked first = running("u");
        r.ask(first.conn, "u", "b", 20_000, null);
        Asked aborted = r.ask(first.conn, "c", "b", 20_000, "m");
        Asked next = r.ask(first.conn, "c", "b", 20_000, "m");
        Asked repeat = r.ask(first.conn, "c", "b", 20_000, "m");
        r.send(aborted.conn, Model.record(2, aborted.id, 0, new byte[0]));
        r.reap(first.job, "good", "first");
        assertEquals(List.of("runs", false), List.of(r.jobs.get(next.job), r.jobs.containsKey(repeat.job)));
        r.reap(next.job, "good", "made");
        assertEquals(
                List.of("made", "made"), List.of(only(next).body(), only(repeat).body()));
    }

    @Test
    void noticesThatComeAgainAfterABreakCountOnce() {
        Asked a = running("u");
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        r.down(Peer.KERNEL);
        r.pass(2_000);
        r.kernelUp();
        r.n--;
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        r.up(Peer.STORE);
        r.reap(a.job, "good", "made");
        assertEquals(200, only(a).status());
        assertEquals(1, logged("STORE CALL"));
        assertEquals(1, r.number("kernel_notices_repeated"));
    }

    /** A run requested just before a break may be lost; only harmless queries, which may run twice, are requested again. */
    @Test
    void afterABreakOnlyHarmlessRunsAreAskedForAgain() {
        Asked a = running("c");
        Asked b = r.ask(a.conn, "u", "b", 20_000, null);
        r.down(Peer.KERNEL);
        r.pass(2_000);
        r.kernelUp();
        List<String> asked = r.log.stream()
                .filter(l -> l.contains("SCHED"))
                .map(l -> Round.field(l, "job"))
                .toList();
        assertEquals(List.of(a.job, b.job, a.job), asked);
    }

    /** A restarted kernel numbers its notices from the start: all of them were once skipped as already received. */
    @Test
    void anotherKernelRunsTheHarmlessAgainAndItsNoticesCount() {
        Asked a = running("c");
        Asked b = r.ask(a.conn, "u", "b", 20_000, null);
        r.notice("DMESG", "", "", "");
        r.down(Peer.KERNEL);
        r.pass(11_000);
        r.jobs.clear();
        r.up(Peer.KERNEL);
        r.n = 0;
        r.kernel("{\"type\":\"BOOTED\",\"state\":\"new\",\"took\":5}");
        assertEquals(500, only(b).status());
        r.reap(a.job, "good", "made");
        assertEquals(List.of(200, 2), List.of(only(a).status(), a.ran));
    }

    @Test
    void aRunThatTheKernelDoesNotKnowIsFailedAtOnce() {
        Asked a = running("u");
        r.kernel("{\"type\":\"EINVAL\",\"state\":\"SCHED\",\"job\":\"" + a.job + "\"}");
        assertEquals(500, only(a).status());
        assertEquals(0, r.number("now_queries"));
    }

    /** Guards against a missing gauge reply that ends the timer for further gauge requests. */
    @Test
    void gaugesThatDoNotComeAreAskedForAgainAndASilentLinkIsOpenedAnew() {
        r.boot();
        r.pass(60_000);
        assertTrue(logged("KERNEL {\"type\":\"SYSINFO\"") > 15, r.log.toString());
        assertEquals(1, logged("drop KERNEL"));
        assertTrue(r.wants(Peer.KERNEL));
    }

    /** Guards against an invalid reply that loses other calls as well. */
    @Test
    void aSpoiltReplyCostsOnlyItsOwnCall() {
        Asked a = running("u");
        Asked b = r.ask(a.conn, "u", "b", 20_000, null);
        for (Asked q : List.of(a, b)) {
            r.notice("IOREQ", q.job, "", "call of " + q.job);
            r.up(Peer.STORE);
        }
        r.owed.put(b.job, "reply");
        r.store(a.job + " OK 3000000000\r\n");
        r.store(b.job + " OK 5\r\nreply\r\n");
        r.reap(b.job, "good", "made");
        r.pass(1_000);
        r.gauges();
        assertEquals(List.of(500, 200), List.of(only(a).status(), only(b).status()));
        assertEquals(List.of(1L, 2L), List.of(logged("drop STORE"), logged("STORE CALL")));
    }

    /** Guards against taking the second copy of a reply for the reply to the same query's next call. */
    @Test
    void repliesThatBelongToNothingAreNobodysAndALinkServesAgain() {
        Asked a = running("c");
        String unknown = "00000000000000ff OK 3\r\nown\r\n";
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        LinkId first = r.up(Peer.STORE);
        r.owed.put(a.job, "reply");
        r.backend.read(first, ByteBuffer.wrap(unknown.getBytes(UTF_8)));
        r.store(a.job + " OK 5\r\nreply\r\n" + a.job + " OK 5\r\nreply\r\n");
        r.owed.remove(a.job);
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        r.up(Peer.STORE);
        r.backend.read(first, ByteBuffer.wrap((a.job + " OK 5\r\nreply\r\n").getBytes(UTF_8)));
        assertEquals(List.of(1L, 3L), List.of(logged("KERNEL {\"type\":\"IODONE\""), r.number("replies_of_nothing")));
        Asked b = r.ask(a.conn, "c", "b", 20_000, null);
        r.notice("IOREQ", b.job, "", "call of " + b.job);
        assertEquals(first, r.calledOn.get(b.job));
        r.pass(6_000);
        assertEquals(0, r.number("replies_spoilt"));
    }

    /** A reply cut off within its body fails its call; a copy of it on another link is ignored. */
    @Test
    void aReplyThatBreaksOffIsNone() {
        Asked a = running("u");
        Asked b = r.ask(a.conn, "u", "b", 20_000, null);
        for (Asked q : List.of(a, b)) {
            r.notice("IOREQ", q.job, "", "call of " + q.job);
            r.up(Peer.STORE);
        }
        r.owed.put(b.job, "reply");
        r.store(a.job + " OK 5\r\nrep");
        r.down(r.calledOn.get(a.job));
        r.backend.read(r.calledOn.get(b.job), ByteBuffer.wrap((a.job + " OK 5\r\nreply\r\n").getBytes(UTF_8)));
        r.store(b.job + " OK 5\r\nreply\r");
        assertEquals(0, logged("KERNEL {\"type\":\"IODONE\""), "the reply's last line is incomplete");
        r.store("\n" + b.job + " OK 5\r\nreply\r\n", b.job);
        r.reap(b.job, "good", "made");
        r.pass(1_000);
        r.gauges();
        assertEquals(List.of(500, 200), List.of(only(a).status(), only(b).status()));
        assertEquals(List.of(1L, 2L), List.of(logged("KERNEL {\"type\":\"IODONE\""), logged("STORE CALL")));
    }

    /** A notice cut off when its link breaks is repeated on the next link and counts once. */
    @Test
    void aNoticeThatBreaksOffWithItsLinkIsTakenFromTheNext() {
        Asked a = running("u");
        r.clock();
        r.backend.read(
                Round.last(r.up, Peer.KERNEL),
                ByteBuffer.wrap(
                        ("{\"type\":\"REAP\",\"n\":1,\"job\":\"" + a.job + "\",\"state\":\"go").getBytes(UTF_8)));
        r.down(Peer.KERNEL);
        r.kernelUp();
        r.reap(a.job, "good", "made");
        r.n--;
        r.notice("REAP", a.job, "bad", "");
        assertEquals("made", only(a).body());
        assertEquals(List.of(0L, 1L), List.of(r.number("kernel_notices_unknown"), r.number("kernel_notices_repeated")));
    }

    /** The store may drop an idle link without notice, so an idle link is closed early. */
    @Test
    void anIdleLinkToTheStoreIsGivenBackEarly() {
        Asked a = running("c");
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        r.up(Peer.STORE);
        r.owed.put(a.job, "");
        r.store(a.job + " OK 0\r\n\r\n");
        r.pass(6_000);
        assertEquals(List.of(1L, 0L), List.of(logged("drop STORE"), r.number("now_store_links")));
    }

    /** Guards against a reply lost with the kernel link, for which its run waits until the deadline. */
    @Test
    void theReplyThatMayHaveBeenLostWithTheKernelsLinkIsSentAgain() {
        Asked a = running("u");
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        r.up(Peer.STORE);
        r.owed.put(a.job, "reply");
        r.store(a.job + " OK 5\r\nreply\r\n");
        r.pass(100);
        r.down(Peer.KERNEL);
        r.kernelUp();
        assertEquals(2, logged("KERNEL {\"type\":\"IODONE\""));
        r.pass(5_000);
        r.down(Peer.KERNEL);
        r.kernelUp();
        assertEquals(
                2, logged("KERNEL {\"type\":\"IODONE\""), "a reply sent long before the break must not be sent again");
        assertEquals(List.of(), r.wrong);
    }

    /**
     * Changed addresses once ended the program. The notice numbers continue on the new link, and calls in progress finish
     * on the old one.
     */
    @Test
    void movedPeersAreReachedAtTheirNewPlaceAndNothingIsLost() {
        Asked a = running("u");
        Asked b = r.ask(a.conn, "u", "b", 20_000, null);
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        LinkId old = r.up(Peer.STORE);
        r.clock();
        r.backend.moved();
        r.notice("IOREQ", b.job, "", "call of " + b.job); // on the old link
        r.up(Peer.STORE);
        assertEquals(
                List.of(true, 0L, 2L),
                List.of(r.wants(Peer.KERNEL), logged("drop KERNEL"), logged("announce n3 true")));
        r.kernelUp();
        assertEquals(List.of(1L, 1L), List.of(logged("drop KERNEL"), logged("KERNEL {\"type\":\"OPEN\",\"n\":2}")));
        for (Asked q : List.of(a, b)) {
            r.owed.put(q.job, "reply");
            r.store(q.job + " OK 5\r\nreply\r\n");
            r.reap(q.job, "good", "made");
            assertEquals(200, only(q).status());
        }
        assertEquals(List.of(1L, false), List.of(logged("drop STORE"), r.up.containsKey(old)));
        assertEquals(1, r.number("now_store_links"));
    }

    @Test
    void aCallIsTimedHereAndItsLinkDropped() {
        Asked a = running("c");
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        r.up(Peer.STORE);
        r.pass(21_000);
        assertEquals(List.of(1L, 1L), List.of(logged("STORE CALL"), logged("drop STORE")));
        r.store(a.job + " OK 1\r\nx\r\n");
        assertEquals(
                0,
                logged("KERNEL {\"type\":\"IODONE\""),
                "a reply that arrives after its call has timed out must be ignored");
        assertEquals(503, only(a).status());
    }

    @Test
    void theCallOfARunThatEndedIsDropped() {
        Asked a = running("c");
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        r.up(Peer.STORE);
        r.send(a.conn, Model.record(2, a.id, 0, new byte[0]));
        r.reap(a.job, "cut", "");
        assertEquals(List.of(1L, 1L), List.of(logged("STORE CALL"), logged("drop STORE")));
    }

    @Test
    void callsAreRepeatedOnlyWhereTheyProvablyNeverRan() {
        Asked a = running("u");
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        for (String word : new String[] {"BUSY", "VOID", "ERR"}) {
            r.up(Peer.STORE);
            r.of(a.job).effectKept = !word.equals("ERR");
            r.store(a.job + " " + word + "\r\n");
            r.pass(1_000);
            r.gauges();
        }
        assertEquals(3, logged("STORE CALL"));
        assertEquals(500, only(a).status());
    }

    @Test
    void aStoreThatRefusesProvesThatNothingRanAndABreakDoesNot() {
        Asked a = running("u");
        r.notice("IOREQ", a.job, "", "call of " + a.job);
        r.refuse(Peer.STORE);
        r.pass(1_000);
        r.gauges();
        assertTrue(r.wants(Peer.STORE), "the call must be retried");
        r.up(Peer.STORE);
        assertEquals(1, logged("STORE CALL"));
        r.down(Peer.STORE);
        r.pass(1_000);
        r.gauges();
        assertEquals(500, only(a).status());
        assertEquals(1, logged("STORE CALL"));
    }

    /** The wall clock is set back by an hour, then forward by two: a query's deadline never exceeds its caller's timeout. */
    @Test
    void aClockStepLosesNothing() {
        r.boot();
        int conn = r.open();
        r.wall -= 36_000_000;
        Asked a = r.ask(conn, "u", "b", 20_000, null);
        Asked b = r.ask(conn, "c", "b", 20_000, null, "HTTP_RECEIVED_AT", "1");
        assertEquals(503, only(b).status());
        r.wall += 72_000_000;
        r.pass(21_000);
        only(a);
    }

    /** Guards against closing connections that have unread requests, after the decisions' shortest idle timeout. */
    @Test
    void anIdleConnectionStaysWhileACallerMayWaitAndWhileThereIsRoom() {
        r.boot();
        for (int i = 0; i < MOST / 2 + 1; i++) {
            r.send(r.open(), Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        }
        r.pass(45_000);
        assertEquals(0, logged("close "));
        r.pass(2_000);
        assertEquals(1, logged("close " + MOST / 2), "only the connection beyond half of the table may be closed");
        r.pass(250_000);
        assertEquals(1, logged("close "));
        r.pass(10_000);
        assertEquals(MOST / 2 + 1, logged("close "));
    }

    /** A warm-up that fails halfway leaves code uncompiled, so that the first real queries are read late. */
    @Test
    void theRehearsalGoesAllTheWay() {
        Map<String, Long> played = Rehearsal.play(Config.parse(CONFIG.getBytes(UTF_8), Map.of()));
        assertEquals(
                List.of(0L, 0L, 0L),
                List.of(played.get("faults"), played.get("queries_malformed"), played.get("runs_not_done")));
        assertEquals(played.get("queries_read"), played.get("answered_handled") + played.get("answered_deferred"));
        assertTrue(played.get("calls_ok") > 20 && played.get("answered_handled") > 20, played.toString());
    }

    /** Reports can be lost in transit: at one per second, three in a row soon were. */
    @Test
    void aFewLostReportsInARowDoNotEndTheListing() {
        r.boot();
        r.pass(30_000);
        assertTrue(logged("announce n3 true") >= 12, r.log.toString());
    }

    @Test
    void connectionsBeyondTheLimitTakeThePlaceOfIdleOnes() {
        r.boot();
        int first = r.open();
        r.pass(NEWCOMER);
        for (int i = 1; i < MOST; i++) {
            r.ask(r.open(), "c", "b", 20_000, null);
        }
        r.open();
        assertEquals(1, logged("close " + first));
        assertEquals(0, r.number("connections_waited"));
    }

    /** Guards against closing connections in use to make room for hundreds that connect and send nothing. */
    @Test
    void silentConnectionsGiveWayBeforeThoseInUse() {
        r.boot();
        int active = r.open();
        r.send(active, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        for (int i = 0; i < 200; i++) {
            r.pass(NEWCOMER / (MOST - 1) + 1);
            r.open();
            r.closings();
        }
        assertEquals(
                List.of(0L, 201L - MOST, 0L),
                List.of(logged("close " + active), logged("close "), r.number("connections_waited")));
    }

    /** Guards against closing a new connection for the next one before its first request has arrived. */
    @Test
    void aNewcomerDoesNotGiveWayToTheNextOne() {
        r.boot();
        int active = r.open();
        r.send(active, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        r.pass(NEWCOMER);
        for (int i = 1; i < MOST; i++) {
            r.open();
        }
        r.waiting = true;
        r.backend.full();
        r.pass(NEWCOMER - 100);
        assertEquals(0, logged("close "), "new connections may be about to send, and the other one has sent before");
        r.pass(200);
        assertTrue(logged("close ") > 0);
        assertEquals(0, logged("close " + active));
    }

    @Test
    void aTableFullOfHalfRequestsTurnsNobodyBack() {
        r.boot();
        Asked a = r.ask(r.open(), "c", "b", 20_000, null);
        for (int i = 1; i <= MOST; i++) {
            r.pass(i == MOST ? NEWCOMER : 1);
            r.send(r.open(), Model.record(1, 1, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        }
        assertEquals(
                List.of(0L, 1L, 0L),
                List.of(r.number("connections_waited"), logged("close "), logged("close " + a.conn)));
    }

    @Test
    void underTheNoticeToLeaveAllIsAnsweredAndLateComersAreDeferred() {
        Asked a = running("c");
        r.backend.drain();
        r.pass(11_000);
        Asked late = r.ask(a.conn, "c", "b", 20_000, null);
        assertEquals(503, only(late).status());
        r.pass(21_000);
        only(a);
        assertTrue(r.log.contains("announce n3 true") && r.log.contains("announce n3 false"));
        r.send(r.open(), Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        r.check();
        assertEquals("answered 1 503", r.log.get(r.log.size() - 1));
    }

    @Test
    void checksAndCountersAreAnsweredBeforeTheKernelIsThere() {
        int conn = r.open();
        r.send(conn, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        r.send(conn, Model.request(2, new byte[0], false, 0, "SCRIPT_NAME", "/counters"));
        Asked a = r.ask(conn, "c", "b", 20_000, null);
        assertEquals(200, r.answers(conn).get(0).status());
        assertTrue(r.answers(conn).get(1).body().contains("\nchecks 1\n"));
        assertEquals(503, r.answers(conn).get(2).status(), "nothing can run yet: " + a.job);
    }
}
