package tallyweir;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import tallyweir.Model.FcgiAnswer;
import tallyweir.Simulation.Request;
import tallyweir.backend.Peer;
import tallyweir.backend.WarmUp;
import tallyweir.config.Config;
import tallyweir.fastcgi.FastCgiReader;
import tallyweir.ids.LinkId;

/** The backend between a simulated kernel, store and sidecars, which record every violation of the rules. */
class BackendTest {
    // For this long a new connection isn't closed to make room.
    private static final int NEW_CONNECTION_GRACE_TENTHS_MS = 1_000;

    private final Simulation sim = new Simulation();

    private Request running(String workload) {
        sim.boot();
        Request a = sim.request(sim.openCaller(), workload, "b", 20_000, workload.equals("k") ? "m" : null);
        assertEquals("runs", sim.jobs.get(a.job));
        return a;
    }

    private FcgiAnswer onlyAnswer(Request a) {
        sim.check();
        assertEquals(List.of(), sim.violations);
        assertEquals(1, a.answers);
        return a.answer;
    }

    /** Lets time pass with a kernel that keeps answering the gauge requests. */
    private void advanceWithGauges(long duration) {
        for (long left = duration; left > 0; left -= 1_000) {
            sim.advance(1_000);
            sim.sendGauges();
        }
    }

    private long logged(String start) {
        return sim.log.stream().filter(l -> l.startsWith(start)).count();
    }

    /**
     * Random histories: no query is lost, changed, answered twice or run twice, and every resource is released at the
     * end.
     */
    @Property(tries = 300, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void randomHistoriesKeepTheRules(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Simulation r = new Simulation();
        r.boot();
        for (int i = 0; i < 160; i++) {
            step(r, chance);
            r.check();
            r.closePending();
        }
        for (int i = 0; i < 80; i++) {
            r.connectKernel();
            List.copyOf(r.jobs.keySet()).forEach(job -> r.endRun(job, "bad", ""));
            r.advance(1_000);
        }
        List.copyOf(r.callerOutput.keySet()).forEach(r::disconnectCaller);
        r.advance(110_000); // past the window, plus the longest time that a repeat may stay unread
        assertEquals(List.of(), r.violations.stream().limit(5).toList());
        assertEquals(
                List.of(0L, 0L, 0L, 0L),
                List.of(
                        r.counter("faults"),
                        r.counter("now_connections"),
                        r.counter("now_queries"),
                        r.counter("now_entries")));
        assertTrue(r.counter("now_deadlines") < 8, "" + r.counter("now_deadlines"));
        assertEquals(
                r.counter("queries_read"),
                r.counter("answered_handled")
                        + r.counter("answered_deferred")
                        + r.counter("answered_errored")
                        + r.counter("queries_gone"),
                "each query must end exactly once");
        assertEquals(0, r.counter("answered_by_the_last_guard"));
    }

    private static <T> T pick(SplittableRandom chance, Iterable<T> from) {
        List<T> all = new ArrayList<>();
        from.forEach(all::add);
        return all.isEmpty() ? null : all.get(chance.nextInt(all.size()));
    }

    static void step(Simulation r, SplittableRandom chance) {
        Integer conn = pick(chance, r.callerOutput.keySet());
        String job = pick(chance, r.jobs.keySet());
        String call = pick(chance, r.calls.keySet());
        int kind = chance.nextInt(100);
        if (conn == null || kind < 5) {
            r.openCaller();
        } else if (kind < 40) {
            String workload = new String[] {"c", "c", "k", "u"}[chance.nextInt(4)];
            Request a = r.request(
                    conn,
                    workload,
                    "b" + chance.nextInt(1_000),
                    200 + chance.nextInt(20_000),
                    workload.equals("u") ? null : "m" + chance.nextInt(6));
            a.valid = true;
        } else if (kind < 44) {
            List<Request> open = r.requests.stream()
                    .filter(a -> a.conn == conn && a.answers == 0)
                    .toList();
            if (!open.isEmpty()) {
                r.send(conn, Model.record(2, open.get(0).id, 0, new byte[0]));
            }
        } else if (kind < 46) {
            r.send(conn, Model.record(1, 1_000 + r.requests.size(), 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
            r.disconnectCaller(conn);
        } else if (kind < 50) {
            r.send(conn, new byte[] {1, 2}); // part of a record; nothing after it can be parsed
            r.disconnectCaller(conn);
        } else if (kind < 75 && r.kernelConnected && job != null) {
            boolean runs = r.jobs.get(job).equals("runs");
            if (runs && chance.nextInt(3) == 0) {
                r.callStore(job, "call " + r.lastNotice + " of " + job);
            } else if (runs) {
                boolean over = r.requestOf(job).answers > 0 || r.requestOf(job).aborted;
                r.endRun(
                        job,
                        new String[] {"good", "good", "bad", over ? "gone" : "good"}[chance.nextInt(4)],
                        "made for " + job);
            } else if (r.requestOf(job).aborted || r.requestOf(job).answers > 0) {
                r.endRun(job, "cut", "");
            }
        } else if (kind < 77 && r.kernelConnected) {
            r.kernelConnected = false;
            r.breakLink(Peer.KERNEL);
        } else if (kind < 85) {
            if (r.isOpening(Peer.STORE) && chance.nextInt(4) > 0) {
                r.openLink(Peer.STORE);
            } else if (r.isOpening(Peer.STORE)) {
                r.refuseLink(Peer.STORE);
            } else if (r.openLinks.containsValue(Peer.STORE) && chance.nextInt(4) == 0) {
                r.breakLink(Peer.STORE);
            }
        } else if (kind < 93 && call != null) {
            String word = new String[] {"OK", "BUSY", "ERR", "VOID", "LATE", "OK"}[chance.nextInt(6)];
            if (word.equals("OK")) {
                r.replyFromStore(call, "reply to " + r.callBodies.get(call));
            } else {
                r.calls.remove(call);
                r.requestOf(call).callAllowed = word.equals("BUSY") || word.equals("VOID");
                r.sendFromStore(call + " " + word + "\r\n");
            }
        } else {
            r.advance(chance.nextInt(2_500));
            r.connectKernel();
            if (r.kernelConnected && r.gaugesTag != null) {
                r.sendGauges();
            }
        }
    }

    @Test
    void resultIsPassedUnchangedAndIdIsReleased() {
        sim.boot();
        int conn = sim.openCaller();
        sim.send(conn, Model.request(9, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        long deadlines = sim.counter("now_deadlines");
        Request a = sim.request(conn, "c", "b", 20_000, null);
        sim.endRun(a.job, "good", "made\r\n\r\n\0");
        assertEquals(deadlines, sim.counter("now_deadlines") - 1, "only the timer of the decisions may be added");
        FcgiAnswer w = onlyAnswer(a);
        assertEquals(List.of(200, "made\r\n\r\n\0", 0), List.of(w.status(), w.body(), w.protocolStatus()));
        assertEquals(0, sim.counter("now_queries"));
    }

    /** One log line per bad input would slow the only thread that decides. */
    @Test
    void badInputLogsAtMostOneWarningPerSecond() {
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
        sim.boot();
        for (int i = 0; i < 40; i++) {
            sim.request(sim.openCaller(), "nothing", "b", 20_000, null);
            sim.advance(i == 38 ? 10_010 : 10);
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
    void abortGetsOneEndRecordAndStopsTheRun() {
        Request a = running("c");
        sim.send(a.conn, Model.record(2, a.id, 0, new byte[0]));
        sim.send(a.conn, Model.record(2, a.id, 0, new byte[0]));
        sim.endRun(a.job, "good", "late");
        assertEquals(0, onlyAnswer(a).status());
        assertEquals(1, logged("KERNEL {\"type\":\"PREEMPT\""));
    }

    @Test
    void invalidRequestGetsOneAnswerAndDoesNotRun() {
        sim.boot();
        int conn = sim.openCaller();
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
            Request a = sim.request(conn, "c", "b", 20_000, null, wrongField);
            a.valid = false;
            statuses.add(onlyAnswer(a).status());
        }
        assertEquals(List.of(404, 404, 405, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400), statuses);
        assertEquals(0, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against a request that never completes and holds its connection for ever. */
    @Test
    void partialRequestTimesOut() {
        sim.boot();
        int conn = sim.openCaller();
        sim.send(conn, Arrays.copyOf(Model.request(9, new byte[3], false, 0, "A", "b"), 30));
        int silent = sim.openCaller();
        sim.advance(21_000);
        assertEquals(1, logged("close " + silent));
        sim.advance(300_000);
        assertEquals(1, logged("answered 9 408"));
        assertEquals(1, logged("close " + conn));
    }

    @Test
    void partialRequestIsReleasedWithItsConnection() {
        sim.boot();
        long deadlines = sim.counter("now_deadlines");
        int conn = sim.openCaller();
        sim.send(conn, Model.record(1, 1, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        sim.disconnectCaller(conn);
        assertEquals(deadlines, sim.counter("now_deadlines"));
    }

    /** The kernel cannot tell apart two queries with one job id: the second is errored, the first goes on. */
    @Test
    void secondQueryWithTheSameJobIdIsErrored() {
        Request a = running("u");
        Request b = sim.request(a.conn, "u", "other", 20_000, null, "HTTP_REQUEST_ID", a.job);
        assertEquals(500, onlyAnswer(b).status());
        sim.endRun(a.job, "good", "made");
        assertEquals("made", onlyAnswer(a).body());
    }

    /** Guards against losing the answers of all other queries on a connection that sent an invalid record. */
    @Test
    void invalidStreamIsClosedOnceItsQueriesAreAnswered() {
        Request a = running("c");
        int conn = a.conn;
        sim.send(
                conn,
                Model.join(
                        new byte[] {7, 1, 0, 1, 0, 0, 0, 0},
                        Model.request(9, new byte[0], false, 0, "SCRIPT_NAME", "/check")));
        sim.send(conn, Model.request(10, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        assertEquals(0, logged("close " + conn));
        sim.endRun(a.job, "good", "made");
        assertEquals("made", onlyAnswer(a).body());
        assertEquals(
                List.of(1L, 1),
                List.of(logged("close " + conn), sim.answers(conn).size()));
        sim.closePending();
        assertEquals(List.of(0L, 1L), List.of(sim.counter("queries_gone"), sim.counter("connections_closed_bad")));
    }

    /** A repeat of a stamped query that ran gets its result and isn't run again. */
    @Test
    void repeatsGetTheResultOfTheFirstQuery() {
        Request a = running("k");
        Request b = sim.request(a.conn, "k", "b", 20_000, "m");
        sim.endRun(a.job, "good", "made");
        Request c = sim.request(a.conn, "k", "b", 20_000, "m");
        sim.advance(10);
        assertEquals(
                List.of("made", "made", "made"),
                List.of(
                        onlyAnswer(a).body(),
                        onlyAnswer(b).body(),
                        onlyAnswer(c).body()));
        assertEquals(1, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against answering another body under a used key with the result of the first query. */
    @Test
    void keyUsedForAnotherBodyGetsNoResultAndDoesNotRun() {
        Request a = running("k");
        Request early = sim.request(a.conn, "k", "other", 20_000, "m");
        sim.endRun(a.job, "good", "made");
        Request late = sim.request(a.conn, "k", "other", 20_000, "m");
        Request sameBody = sim.request(a.conn, "k", "b", 20_000, "m");
        sim.advance(10);
        assertEquals(
                List.of(409, 409, "made"),
                List.of(
                        onlyAnswer(early).status(),
                        onlyAnswer(late).status(),
                        onlyAnswer(sameBody).body()));
        assertEquals(1, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against a key that stays used although the kernel rejected the run under it. */
    @Test
    void keyOfARejectedRunIsReleased() {
        Request a = running("k");
        sim.sendFromKernel("{\"type\":\"EINVAL\",\"state\":\"SCHED\",\"job\":\"" + a.job + "\"}");
        sim.jobs.remove(a.job);
        Request b = sim.request(a.conn, "k", "the body of the key's owner", 20_000, "m");
        sim.endRun(b.job, "good", "made");
        assertEquals(
                List.of(500, "made"),
                List.of(onlyAnswer(a).status(), onlyAnswer(b).body()));
    }

    /** Guards against running a repeat that arrived within the window but was read after it. */
    @Test
    void repeatWindowCountsArrivalNotReading() {
        Request a = running("k");
        sim.endRun(a.job, "good", "made");
        advanceWithGauges(50_000);
        sim.advance(100);
        sim.sendGauges();
        Request inTime =
                sim.request(a.conn, "k", "b", 20_000, "m", "HTTP_RECEIVED_AT", "" + (sim.now + 100_000_000 - 150) / 10);
        Request after = sim.request(a.conn, "k", "b", 20_000, "m");
        sim.advance(10);
        assertEquals("made", onlyAnswer(inTime).body());
        assertEquals("runs", sim.jobs.get(after.job), "the window has ended, so this query must run");
        assertEquals(2, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against a repeat that runs beside the first query because the window ended during its run. */
    @Test
    void noRepeatRunsBesideARunThatOutlastsTheWindow() {
        Request a = running("k");
        advanceWithGauges(19_000);
        Request b = sim.request(a.conn, "k", "b", 20_000, "m");
        advanceWithGauges(80_000);
        Request c = sim.request(a.conn, "k", "b", 20_000, "m");
        sim.endRun(a.job, "good", "made");
        advanceWithGauges(100_000);
        assertEquals(List.of(1, 0, 0), List.of(a.runCount, b.runCount, c.runCount));
        assertEquals(0, logged(runCommand(b)) + logged(runCommand(c)), "only the first may be requested, also again");
        assertEquals("made", onlyAnswer(c).body());
        assertEquals(1, b.answers);
        assertEquals(0, sim.counter("now_entries"));
    }

    private static String runCommand(Request query) {
        return "KERNEL {\"type\":\"SCHED\",\"job\":\"" + query.job;
    }

    /** Guards against repeats of a cut stamped run that wait until their own deadline. */
    @Test
    void repeatsOfACutRunAreErroredAtOnce() {
        Request a = running("k");
        Request b = sim.request(a.conn, "k", "b", 20_000, "m");
        sim.endRun(a.job, "cut", "");
        assertEquals(
                List.of(500, 500), List.of(onlyAnswer(a).status(), onlyAnswer(b).status()));
        assertEquals(1, logged("KERNEL {\"type\":\"SCHED\""));
    }

    /** Guards against a deferred stamped query that keeps its key: a retry then waited in vain and was errored. */
    @Test
    void keyOfADeferredQueryIsReleased() {
        Request first = running("u");
        sim.request(first.conn, "u", "b", 20_000, null);
        Request deferred = sim.request(first.conn, "k", "b", 300, "m");
        sim.advance(300);
        assertEquals(503, onlyAnswer(deferred).status());
        sim.endRun(first.job, "good", "first");
        Request retry = sim.request(first.conn, "k", "b", 20_000, "m");
        assertEquals("runs", sim.jobs.get(retry.job));
        sim.endRun(retry.job, "good", "made");
        assertEquals("made", onlyAnswer(retry).body());
    }

    /** A connection with unread bytes isn't idle. */
    @Test
    void connectionWithUnreadBytesIsNotClosedAsIdle() {
        sim.boot();
        int conn = sim.openCaller();
        sim.send(conn, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        sim.unread.add(conn);
        sim.advance(320_000);
        assertEquals(0, logged("close " + conn));
        sim.unread.clear();
        sim.advance(60_000);
        assertEquals(1, logged("close " + conn));
    }

    /** While callers wait to be accepted, a connection that becomes idle is closed for them. */
    @Test
    void newlyIdleConnectionIsClosedForWaitingCallers() {
        Request a = running("c");
        sim.callersWaiting = true;
        sim.backend.connectionLimitReached();
        assertEquals(List.of(1L, 0L), List.of(sim.counter("connections_waited"), logged("close ")));
        sim.endRun(a.job, "good", "made");
        assertEquals(200, onlyAnswer(a).status());
        assertEquals(1, logged("close " + a.conn));
    }

    /**
     * No bytes may be unread at the stop: connections without pending answers are closed first, the others with their
     * last answer.
     */
    @Test
    void nearTheStopConnectionsCloseOnceNothingIsPending() {
        Request a = running("u");
        int pending = a.conn;
        int idle = sim.openCaller();
        sim.send(idle, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        int unread = sim.openCaller();
        sim.unread.add(unread);
        sim.backend.drain(sim.now);
        sim.backend.drain(sim.now);
        sim.advance(25_700);
        assertEquals(0, logged("listens no more"));
        sim.advance(200);
        assertEquals(List.of(1L, 0L), List.of(logged("listens no more"), logged("close ")));
        sim.backend.listenerClosed();
        assertEquals(
                List.of(1L, 0L, 1L),
                List.of(logged("close " + idle), logged("close " + unread), logged("listens no more")));
        Request late = sim.request(unread, "c", "b", 20_000, null);
        sim.unread.clear();
        sim.advance(400);
        assertEquals(503, onlyAnswer(late).status());
        assertEquals(List.of(1L, 1L), List.of(logged("close " + unread), logged("close " + pending)));
        assertEquals(1, a.answers);
    }

    /**
     * When an aborted query's repeat runs in its place, further repeats get that result. They were once errored although
     * it ran.
     */
    @Test
    void repeatThatRunsForAnAbortedQueryServesFurtherRepeats() {
        Request first = running("u");
        sim.request(first.conn, "u", "b", 20_000, null);
        Request aborted = sim.request(first.conn, "c", "b", 20_000, "m");
        Request next = sim.request(first.conn, "c", "b", 20_000, "m");
        Request repeat = sim.request(first.conn, "c", "b", 20_000, "m");
        sim.send(aborted.conn, Model.record(2, aborted.id, 0, new byte[0]));
        sim.endRun(first.job, "good", "first");
        assertEquals(List.of("runs", false), List.of(sim.jobs.get(next.job), sim.jobs.containsKey(repeat.job)));
        sim.endRun(next.job, "good", "made");
        assertEquals(
                List.of("made", "made"),
                List.of(onlyAnswer(next).body(), onlyAnswer(repeat).body()));
    }

    @Test
    void noticesRepeatedAfterABreakCountOnce() {
        Request a = running("u");
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        sim.breakLink(Peer.KERNEL);
        sim.advance(2_000);
        sim.connectKernel();
        sim.lastNotice--;
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        sim.openLink(Peer.STORE);
        sim.endRun(a.job, "good", "made");
        assertEquals(200, onlyAnswer(a).status());
        assertEquals(1, logged("STORE CALL"));
        assertEquals(1, sim.counter("kernel_notices_repeated"));
    }

    /** A run requested just before a break may be lost; only harmless queries, which may run twice, are requested again. */
    @Test
    void afterABreakOnlyHarmlessRunsAreRequestedAgain() {
        Request a = running("c");
        Request b = sim.request(a.conn, "u", "b", 20_000, null);
        sim.breakLink(Peer.KERNEL);
        sim.advance(2_000);
        sim.connectKernel();
        List<String> asked = sim.log.stream()
                .filter(l -> l.contains("SCHED"))
                .map(l -> Simulation.field(l, "job"))
                .toList();
        assertEquals(List.of(a.job, b.job, a.job), asked);
    }

    /** A restarted kernel numbers its notices from the start: all of them were once skipped as already received. */
    @Test
    void restartedKernelRunsHarmlessQueriesAgainAndItsNoticesCount() {
        Request a = running("c");
        Request b = sim.request(a.conn, "u", "b", 20_000, null);
        sim.sendNotice("DMESG", "", "", "");
        sim.breakLink(Peer.KERNEL);
        sim.advance(11_000);
        sim.jobs.clear();
        sim.openLink(Peer.KERNEL);
        sim.lastNotice = 0;
        sim.sendFromKernel("{\"type\":\"BOOTED\",\"state\":\"new\",\"took\":5}");
        assertEquals(500, onlyAnswer(b).status());
        sim.endRun(a.job, "good", "made");
        assertEquals(List.of(200, 2), List.of(onlyAnswer(a).status(), a.runCount));
    }

    @Test
    void rejectedRunIsErroredAtOnce() {
        Request a = running("u");
        sim.sendFromKernel("{\"type\":\"EINVAL\",\"state\":\"SCHED\",\"job\":\"" + a.job + "\"}");
        assertEquals(500, onlyAnswer(a).status());
        assertEquals(0, sim.counter("now_queries"));
    }

    /** Guards against a missing gauge reply that ends the timer for further gauge requests. */
    @Test
    void missingGaugesAreRequestedAgainAndASilentLinkIsReopened() {
        sim.boot();
        sim.advance(60_000);
        assertTrue(logged("KERNEL {\"type\":\"SYSINFO\"") > 15, sim.log.toString());
        assertEquals(1, logged("drop KERNEL"));
        assertTrue(sim.isOpening(Peer.KERNEL));
    }

    /** Guards against an invalid reply that loses other calls as well. */
    @Test
    void invalidReplyFailsOnlyItsOwnCall() {
        Request a = running("u");
        Request b = sim.request(a.conn, "u", "b", 20_000, null);
        for (Request q : List.of(a, b)) {
            sim.sendNotice("IOREQ", q.job, "", "call of " + q.job);
            sim.openLink(Peer.STORE);
        }
        sim.expectedReplies.put(b.job, "reply");
        sim.sendFromStore(a.job + " OK 3000000000\r\n");
        sim.sendFromStore(b.job + " OK 5\r\nreply\r\n");
        sim.endRun(b.job, "good", "made");
        sim.advance(1_000);
        sim.sendGauges();
        assertEquals(
                List.of(500, 200), List.of(onlyAnswer(a).status(), onlyAnswer(b).status()));
        assertEquals(List.of(1L, 2L), List.of(logged("drop STORE"), logged("STORE CALL")));
    }

    /** Guards against taking the second copy of a reply for the reply to the same query's next call. */
    @Test
    void unmatchedRepliesAreIgnoredAndLinksAreReused() {
        Request a = running("c");
        String unknown = "00000000000000ff OK 3\r\nown\r\n";
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        LinkId first = sim.openLink(Peer.STORE);
        sim.expectedReplies.put(a.job, "reply");
        sim.backend.read(first, ByteBuffer.wrap(unknown.getBytes(UTF_8)));
        sim.sendFromStore(a.job + " OK 5\r\nreply\r\n" + a.job + " OK 5\r\nreply\r\n");
        sim.expectedReplies.remove(a.job);
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        sim.openLink(Peer.STORE);
        sim.backend.read(first, ByteBuffer.wrap((a.job + " OK 5\r\nreply\r\n").getBytes(UTF_8)));
        assertEquals(
                List.of(1L, 3L), List.of(logged("KERNEL {\"type\":\"IODONE\""), sim.counter("replies_of_nothing")));
        Request b = sim.request(a.conn, "c", "b", 20_000, null);
        sim.sendNotice("IOREQ", b.job, "", "call of " + b.job);
        assertEquals(first, sim.callLinks.get(b.job));
        sim.advance(6_000);
        assertEquals(0, sim.counter("replies_spoilt"));
    }

    /** A reply cut off within its body fails its call; a copy of it on another link is ignored. */
    @Test
    void truncatedReplyIsNotAReply() {
        Request a = running("u");
        Request b = sim.request(a.conn, "u", "b", 20_000, null);
        for (Request q : List.of(a, b)) {
            sim.sendNotice("IOREQ", q.job, "", "call of " + q.job);
            sim.openLink(Peer.STORE);
        }
        sim.expectedReplies.put(b.job, "reply");
        sim.sendFromStore(a.job + " OK 5\r\nrep");
        sim.breakLink(sim.callLinks.get(a.job));
        sim.backend.read(sim.callLinks.get(b.job), ByteBuffer.wrap((a.job + " OK 5\r\nreply\r\n").getBytes(UTF_8)));
        sim.sendFromStore(b.job + " OK 5\r\nreply\r");
        assertEquals(0, logged("KERNEL {\"type\":\"IODONE\""), "the reply's last line is incomplete");
        sim.sendFromStore("\n" + b.job + " OK 5\r\nreply\r\n", b.job);
        sim.endRun(b.job, "good", "made");
        sim.advance(1_000);
        sim.sendGauges();
        assertEquals(
                List.of(500, 200), List.of(onlyAnswer(a).status(), onlyAnswer(b).status()));
        assertEquals(List.of(1L, 2L), List.of(logged("KERNEL {\"type\":\"IODONE\""), logged("STORE CALL")));
    }

    /** A notice cut off when its link breaks is repeated on the next link and counts once. */
    @Test
    void truncatedNoticeIsReadFromTheNextLink() {
        Request a = running("u");
        sim.updateClock();
        sim.backend.read(
                Simulation.lastLink(sim.openLinks, Peer.KERNEL),
                ByteBuffer.wrap(
                        ("{\"type\":\"REAP\",\"n\":1,\"job\":\"" + a.job + "\",\"state\":\"go").getBytes(UTF_8)));
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
        sim.endRun(a.job, "good", "made");
        sim.lastNotice--;
        sim.sendNotice("REAP", a.job, "bad", "");
        assertEquals("made", onlyAnswer(a).body());
        assertEquals(
                List.of(0L, 1L),
                List.of(sim.counter("kernel_notices_unknown"), sim.counter("kernel_notices_repeated")));
    }

    /** The store may drop an idle link without notice, so an idle link is closed early. */
    @Test
    void idleStoreLinkIsClosedEarly() {
        Request a = running("c");
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        sim.openLink(Peer.STORE);
        sim.expectedReplies.put(a.job, "");
        sim.sendFromStore(a.job + " OK 0\r\n\r\n");
        sim.advance(6_000);
        assertEquals(List.of(1L, 0L), List.of(logged("drop STORE"), sim.counter("now_store_links")));
    }

    /**
     * Changed addresses once ended the program. The notice numbers continue on the new link, and calls in progress finish
     * on the old one.
     */
    @Test
    void peersWithChangedAddressesAreReachedAndNothingIsLost() {
        Request a = running("u");
        Request b = sim.request(a.conn, "u", "b", 20_000, null);
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        LinkId old = sim.openLink(Peer.STORE);
        sim.updateClock();
        sim.backend.addressesChanged();
        sim.sendNotice("IOREQ", b.job, "", "call of " + b.job); // on the old link
        sim.openLink(Peer.STORE);
        assertEquals(
                List.of(true, 0L, 2L),
                List.of(sim.isOpening(Peer.KERNEL), logged("drop KERNEL"), logged("announce n3 true")));
        sim.connectKernel();
        assertEquals(List.of(1L, 1L), List.of(logged("drop KERNEL"), logged("KERNEL {\"type\":\"OPEN\",\"n\":2}")));
        for (Request q : List.of(a, b)) {
            sim.expectedReplies.put(q.job, "reply");
            sim.sendFromStore(q.job + " OK 5\r\nreply\r\n");
            sim.endRun(q.job, "good", "made");
            assertEquals(200, onlyAnswer(q).status());
        }
        assertEquals(List.of(1L, false), List.of(logged("drop STORE"), sim.openLinks.containsKey(old)));
        assertEquals(1, sim.counter("now_store_links"));
    }

    @Test
    void callTimesOutAndItsLinkIsClosed() {
        Request a = running("c");
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        sim.openLink(Peer.STORE);
        sim.advance(21_000);
        assertEquals(List.of(1L, 1L), List.of(logged("STORE CALL"), logged("drop STORE")));
        sim.sendFromStore(a.job + " OK 1\r\nx\r\n");
        assertEquals(
                0,
                logged("KERNEL {\"type\":\"IODONE\""),
                "a reply that arrives after its call has timed out must be ignored");
        assertEquals(503, onlyAnswer(a).status());
    }

    @Test
    void callOfAnEndedRunIsDropped() {
        Request a = running("c");
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        sim.openLink(Peer.STORE);
        sim.send(a.conn, Model.record(2, a.id, 0, new byte[0]));
        sim.endRun(a.job, "cut", "");
        assertEquals(List.of(1L, 1L), List.of(logged("STORE CALL"), logged("drop STORE")));
    }

    @Test
    void callsAreRetriedOnlyIfTheyProvablyNeverRan() {
        Request a = running("u");
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        for (String word : new String[] {"BUSY", "VOID", "ERR"}) {
            sim.openLink(Peer.STORE);
            sim.requestOf(a.job).callAllowed = !word.equals("ERR");
            sim.sendFromStore(a.job + " " + word + "\r\n");
            sim.advance(1_000);
            sim.sendGauges();
        }
        assertEquals(3, logged("STORE CALL"));
        assertEquals(500, onlyAnswer(a).status());
    }

    @Test
    void refusedStoreLinkIsRetriedButABrokenOneIsNot() {
        Request a = running("u");
        sim.sendNotice("IOREQ", a.job, "", "call of " + a.job);
        sim.refuseLink(Peer.STORE);
        sim.advance(1_000);
        sim.sendGauges();
        assertTrue(sim.isOpening(Peer.STORE), "the call must be retried");
        sim.openLink(Peer.STORE);
        assertEquals(1, logged("STORE CALL"));
        sim.breakLink(Peer.STORE);
        sim.advance(1_000);
        sim.sendGauges();
        assertEquals(500, onlyAnswer(a).status());
        assertEquals(1, logged("STORE CALL"));
    }

    /** The wall clock is set back by an hour, then forward by two: a query's deadline never exceeds its caller's timeout. */
    @Test
    void aClockStepLosesNothing() {
        sim.boot();
        int conn = sim.openCaller();
        sim.wallOffset -= 36_000_000;
        Request a = sim.request(conn, "u", "b", 20_000, null);
        Request b = sim.request(conn, "c", "b", 20_000, null, "HTTP_RECEIVED_AT", "1");
        assertEquals(503, onlyAnswer(b).status());
        sim.wallOffset += 72_000_000;
        sim.advance(21_000);
        onlyAnswer(a);
    }

    /** Guards against closing connections that have unread requests, after the decisions' shortest idle timeout. */
    @Test
    void idleConnectionStaysOpenWhileThereIsRoom() {
        sim.boot();
        for (int i = 0; i < Simulation.MAX_CALLERS / 2 + 1; i++) {
            sim.send(sim.openCaller(), Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        }
        sim.advance(45_000);
        assertEquals(0, logged("close "));
        sim.advance(2_000);
        assertEquals(
                1,
                logged("close " + Simulation.MAX_CALLERS / 2),
                "only the connection beyond half of the table may be closed");
        sim.advance(250_000);
        assertEquals(1, logged("close "));
        sim.advance(10_000);
        assertEquals(Simulation.MAX_CALLERS / 2 + 1, logged("close "));
    }

    /** A warm-up that fails halfway leaves code uncompiled, so that the first real queries are read late. */
    @Test
    void warmUpRunsToTheEnd() {
        Map<String, Long> played = WarmUp.run(Config.parse(Simulation.CONFIG.getBytes(UTF_8), Map.of()));
        assertEquals(
                List.of(0L, 0L, 0L),
                List.of(played.get("faults"), played.get("queries_malformed"), played.get("runs_not_done")));
        assertEquals(played.get("queries_read"), played.get("answered_handled") + played.get("answered_deferred"));
        assertTrue(played.get("calls_ok") > 20 && played.get("answered_handled") > 20, played.toString());
    }

    /** Reports can be lost in transit: at one per second, three in a row soon were. */
    @Test
    void fewConsecutiveLostReportsDoNotEndTheAnnouncement() {
        sim.boot();
        sim.advance(30_000);
        assertTrue(logged("announce n3 true") >= 12, sim.log.toString());
    }

    @Test
    void connectionsBeyondTheLimitReplaceIdleOnes() {
        sim.boot();
        int first = sim.openCaller();
        sim.advance(NEW_CONNECTION_GRACE_TENTHS_MS);
        for (int i = 1; i < Simulation.MAX_CALLERS; i++) {
            sim.request(sim.openCaller(), "c", "b", 20_000, null);
        }
        sim.openCaller();
        assertEquals(1, logged("close " + first));
        assertEquals(0, sim.counter("connections_waited"));
    }

    /** Guards against closing connections in use to make room for hundreds that connect and send nothing. */
    @Test
    void silentConnectionsAreClosedBeforeThoseInUse() {
        sim.boot();
        int active = sim.openCaller();
        sim.send(active, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        for (int i = 0; i < 200; i++) {
            sim.advance(NEW_CONNECTION_GRACE_TENTHS_MS / (Simulation.MAX_CALLERS - 1) + 1);
            sim.openCaller();
            sim.closePending();
        }
        assertEquals(
                List.of(0L, 201L - Simulation.MAX_CALLERS, 0L),
                List.of(logged("close " + active), logged("close "), sim.counter("connections_waited")));
    }

    /** Guards against closing a new connection for the next one before its first request has arrived. */
    @Test
    void newConnectionIsNotClosedForTheNextOne() {
        sim.boot();
        int active = sim.openCaller();
        sim.send(active, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        sim.advance(NEW_CONNECTION_GRACE_TENTHS_MS);
        for (int i = 1; i < Simulation.MAX_CALLERS; i++) {
            sim.openCaller();
        }
        sim.callersWaiting = true;
        sim.backend.connectionLimitReached();
        sim.advance(NEW_CONNECTION_GRACE_TENTHS_MS - 100);
        assertEquals(0, logged("close "), "new connections may be about to send, and the other one has sent before");
        sim.advance(200);
        assertTrue(logged("close ") > 0);
        assertEquals(0, logged("close " + active));
    }

    @Test
    void partialRequestsDoNotBlockNewConnections() {
        sim.boot();
        Request a = sim.request(sim.openCaller(), "c", "b", 20_000, null);
        for (int i = 1; i <= Simulation.MAX_CALLERS; i++) {
            sim.advance(i == Simulation.MAX_CALLERS ? NEW_CONNECTION_GRACE_TENTHS_MS : 1);
            sim.send(sim.openCaller(), Model.record(1, 1, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        }
        assertEquals(
                List.of(0L, 1L, 0L),
                List.of(sim.counter("connections_waited"), logged("close "), logged("close " + a.conn)));
    }

    /** Guards against a request that gets no answer since its connection gave way to a new one while it was written. */
    @Test
    void requestThatIsReadInPartIsRefusedBeforeItsConnectionGivesWay() {
        sim.boot();
        int half = sim.openCaller();
        sim.send(half, Model.record(1, 7, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        sim.advance(NEW_CONNECTION_GRACE_TENTHS_MS);
        for (int i = 1; i < Simulation.MAX_CALLERS; i++) {
            sim.request(sim.openCaller(), "c", "b", 20_000, null);
        }
        sim.unread.add(half);
        sim.openCaller();
        assertEquals(0, logged("close " + half), "the rest of the request has arrived");
        sim.unread.clear();
        sim.openCaller();
        assertEquals(List.of(1L, 1L), List.of(logged("answered 7 503"), logged("close " + half)));
    }

    /** Guards against a request that gets no answer since another one has its connection closed. */
    @Test
    void requestThatIsReadInPartIsRefusedBeforeItsConnectionIsClosedAsAsked() {
        sim.boot();
        int conn = sim.openCaller();
        sim.send(conn, Model.record(1, 7, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        byte[] last = Model.request(8, new byte[0], false, 0, "SCRIPT_NAME", "/check");
        int flags = 10; // of its begin record
        last[flags] = 0;
        sim.send(conn, last);
        assertEquals(
                List.of(1L, 1L, 1L),
                List.of(logged("answered 7 503"), logged("answered 8 200"), logged("close " + conn)));
    }

    /** A few clients that leave all their requests half written had every request of every other client refused. */
    @Test
    void requestsReadInPartDoNotHaveThoseOfOtherConnectionsRefused() {
        sim.boot();
        for (int i = 0; i < Simulation.MAX_CALLERS - 4; i++) {
            int conn = sim.openCaller();
            for (int id = 1; id <= FastCgiReader.MAX_OPEN_REQUESTS; id++) {
                sim.send(conn, Model.record(1, id, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
            }
        }
        sim.check();
        assertTrue(logged("answered ") > 0, "requests beyond the limit are refused");
        Request sound = sim.request(sim.openCaller(), "c", "b", 20_000, null);
        sim.endRun(sound.job, "good", "made");
        assertEquals("made", onlyAnswer(sound).body());
    }

    /** A one-shot query ran a second time when its id came again after its caller had left. */
    @Test
    void oneShotQueryWhoseIdComesAgainAfterItsCallerLeftDoesNotRunTwice() {
        Request first = running("u");
        sim.disconnectCaller(first.conn);
        Request whileItRuns = sim.request(sim.openCaller(), "u", "b", 20_000, null, "HTTP_REQUEST_ID", first.job);
        sim.endRun(first.job, "good", "made");
        Request later = sim.request(sim.openCaller(), "u", "b", 20_000, null, "HTTP_REQUEST_ID", first.job);
        sim.advance(40_000);
        Request latest = sim.request(sim.openCaller(), "u", "b", 20_000, null, "HTTP_REQUEST_ID", first.job);
        assertEquals(
                List.of(500, 500, 500),
                List.of(
                        onlyAnswer(whileItRuns).status(),
                        onlyAnswer(later).status(),
                        onlyAnswer(latest).status()));
        assertEquals(List.of(1, List.of()), List.of(first.runCount, sim.violations));
    }

    /** Requests that a caller had sent before it left were run while the rest of them was still being read. */
    @Test
    void requestsWhoseCallerLeavesWithMoreUnreadDoNotRun() {
        sim.boot();
        int leaving = sim.openCaller();
        sim.moreExpected = true;
        sim.request(leaving, "u", "b", 20_000, null);
        sim.request(leaving, "c", "b", 20_000, null);
        sim.disconnectCaller(leaving);
        sim.advance(1_000);
        assertEquals(
                List.of(0L, 2L), List.of(logged("KERNEL {\"type\":\"SCHED\""), sim.counter("queries_gone_undecided")));
    }

    /** A caller that goes on writing must be answered all the same. */
    @Test
    void requestsAreHeldOnlyForAShortTimeWhileMoreIsUnread() {
        sim.boot();
        sim.moreExpected = true;
        Request a = sim.request(sim.openCaller(), "c", "b", 20_000, null);
        Request aborted = sim.request(a.conn, "c", "b", 20_000, null);
        sim.send(a.conn, Model.record(2, aborted.id, 0, new byte[0]));
        sim.advance(490);
        assertEquals(0, a.runCount);
        sim.advance(20);
        assertEquals(1, a.runCount);
        Request next = sim.request(a.conn, "c", "b", 20_000, null);
        assertEquals(0, next.runCount);
        sim.moreExpected = false;
        sim.send(a.conn, Model.request(30, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        assertEquals(List.of(1, 0), List.of(next.runCount, aborted.runCount));
    }

    /** Repeats that were aborted at full speed were kept until the run that they repeat ended, and filled the memory. */
    @Test
    void abortedRepeatsAreNotKeptWhileTheRunGoesOn() {
        sim.boot();
        Request first = sim.request(sim.openCaller(), "k", "b", 20_000, "m");
        for (int i = 0; i < 100; i++) {
            Request repeat = sim.request(first.conn, "k", "b", 20_000, "m");
            sim.send(repeat.conn, Model.record(2, repeat.id, 0, new byte[0]));
        }
        assertEquals(List.of(0L, 1L), List.of(sim.counter("now_repeats_waiting"), sim.counter("now_queries")));
        sim.endRun(first.job, "good", "made");
        assertEquals("made", onlyAnswer(first).body());
    }

    @Test
    void drainAnswersAllAndDefersLateQueries() {
        Request a = running("c");
        sim.backend.drain(sim.now);
        sim.advance(11_000);
        Request late = sim.request(a.conn, "c", "b", 20_000, null);
        assertEquals(503, onlyAnswer(late).status());
        sim.advance(21_000);
        onlyAnswer(a);
        assertTrue(sim.log.contains("announce n3 true") && sim.log.contains("announce n3 false"));
        sim.send(sim.openCaller(), Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        sim.check();
        assertEquals("answered 1 503", sim.log.get(sim.log.size() - 1));
    }

    @Test
    void checksAndCountersAreAnsweredBeforeTheKernelConnects() {
        int conn = sim.openCaller();
        sim.send(conn, Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/check"));
        sim.send(conn, Model.request(2, new byte[0], false, 0, "SCRIPT_NAME", "/counters"));
        Request a = sim.request(conn, "c", "b", 20_000, null);
        assertEquals(200, sim.answers(conn).get(0).status());
        assertTrue(sim.answers(conn).get(1).body().contains("\nchecks 1\n"));
        assertEquals(503, sim.answers(conn).get(2).status(), "nothing can run yet: " + a.job);
    }
}
