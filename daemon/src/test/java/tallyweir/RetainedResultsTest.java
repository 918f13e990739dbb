package tallyweir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import tallyweir.Simulation.Request;
import tallyweir.backend.Peer;
import tallyweir.ids.JobId;
import tallyweir.results.IdempotencyKey;
import tallyweir.results.Known;
import tallyweir.results.ResultStore;

/** The backend with results retained over restarts, between simulated kernel, sidecars and disk. */
class RetainedResultsTest {
    /** A result store whose writes stay pending until the test completes or refuses them. */
    private static final class Disk implements ResultStore {
        private final Map<IdempotencyKey, StoredResult> written = new HashMap<>();
        private final ArrayDeque<Consumer<Boolean>> pending = new ArrayDeque<>();
        private boolean full;

        private void write(IdempotencyKey key, StoredResult kept, Consumer<Boolean> done) {
            pending.add(good -> {
                if (good && kept == null) {
                    written.remove(key);
                } else if (good) {
                    written.put(key, kept);
                }
                done.accept(good);
            });
        }

        /** Completes all pending operations, or refuses them all. */
        void completeAll(boolean good) {
            while (!pending.isEmpty()) {
                pending.poll().accept(good);
            }
        }

        @Override
        public boolean contains(IdempotencyKey key) {
            return written.containsKey(key);
        }

        @Override
        public boolean hasRoom(int inProgress) {
            return !full;
        }

        @Override
        public void recordIntent(IdempotencyKey key, JobId job, long body, long until, Consumer<Boolean> done) {
            write(key, new StoredResult(key, job, body, null, null, now, until), done);
        }

        @Override
        public void record(
                IdempotencyKey key,
                JobId job,
                long body,
                Known known,
                byte[] result,
                long until,
                Consumer<Boolean> done) {
            write(key, new StoredResult(key, job, body, known, result, now, until), done);
        }

        @Override
        public void deleteIntent(IdempotencyKey key, Consumer<Boolean> done) {
            write(key, null, done);
        }

        @Override
        public void read(IdempotencyKey key, Consumer<StoredResult> then) {
            StoredResult kept = written.get(key);
            pending.add(good -> then.accept(good ? kept : null));
        }

        @Override
        public List<StoredResult> intentsAtStart() {
            return written.values().stream().filter(k -> k.known() == null).toList();
        }

        private long now;
    }

    private final Disk disk = new Disk();
    private Simulation sim = new Simulation(disk, 1_000_000);

    private void restart(boolean sameKernel) {
        disk.pending.clear();
        long now = sim.now;
        Map<String, String> jobs = sim.jobs;
        sim = new Simulation(disk, now + 100);
        sim.lastNotice = 0;
        sim.updateClock();
        sim.backend.start();
        sim.kernelConnected = true;
        sim.openLink(Peer.KERNEL);
        sim.sendFromKernel("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (sameKernel ? 60_000 : 1) + "}");
        sim.sendFromKernel("{\"type\":\"INFO\",\"ref\":\"resumed\",\"gauges\":[]}");
        if (sameKernel) {
            sim.jobs.putAll(jobs);
        }
    }

    private Request ask(String key, String body) {
        disk.now = sim.now + sim.wallOffset;
        Request a = sim.request(sim.openCaller(), "k", body, 20_000, key);
        sim.advance(10);
        return a;
    }

    private void completeDisk(boolean good) {
        sim.updateClock();
        disk.completeAll(good);
        sim.advance(10);
    }

    private static int status(Request a) {
        return a.answer == null ? 0 : a.answer.status();
    }

    @Test
    void runWaitsForIntentAndAnswerWaitsForResultOnDisk() {
        sim.boot();
        Request a = ask("m", "b");
        assertFalse(sim.jobs.containsKey(a.job), "the query runs before its intent is on the disk");
        completeDisk(true);
        assertTrue(sim.jobs.containsKey(a.job));
        sim.endRun(a.job, "good", "result");
        sim.advance(10);
        assertEquals(0, status(a), "the query is answered before its result is on the disk");
        completeDisk(true);
        assertEquals(200, status(a));
        assertEquals("result", a.answer.body());
        assertEquals(List.of(), sim.violations);
    }

    @Test
    void repeatAfterRestartGetsSameBytesWithoutRunning() {
        sim.boot();
        Request a = ask("m", "b");
        completeDisk(true);
        sim.endRun(a.job, "good", "result");
        completeDisk(true);
        restart(true);
        Request b = ask("m", "b");
        completeDisk(true);
        assertEquals(200, status(b));
        assertEquals("result", b.answer.body());
        assertTrue(sim.jobs.isEmpty(), "the query ran again");
        Request c = ask("m", "other");
        completeDisk(true);
        assertEquals(409, status(c), "another body under the same key");
    }

    @Test
    void anyNumberOfRepeatsWaitsForTheRunningQuery() {
        sim.boot();
        Request a = ask("m", "b");
        completeDisk(true);
        List<Request> more = new java.util.ArrayList<>();
        int conn = 0;
        for (int i = 0; i < 100; i++) {
            conn = i % 25 == 0 ? sim.openCaller() : conn;
            more.add(sim.request(conn, "k", "b", 20_000, "m"));
        }
        sim.advance(10);
        assertEquals(1, sim.jobs.size());
        sim.endRun(a.job, "good", "result");
        completeDisk(true);
        more.add(a);
        int handled = 0;
        for (Request x : more) {
            assertTrue(status(x) == 200 && x.answer.body().equals("result") || status(x) == 503, "status " + status(x));
            handled += status(x) == 200 ? 1 : 0;
        }
        assertTrue(handled > 10, "only " + handled + " were handled");
    }

    @Test
    void openIntentIsSettledByKernelThatStillRunsIt() {
        sim.boot();
        Request a = ask("m", "b");
        completeDisk(true);
        restart(true);
        Request b = ask("m", "b");
        sim.advance(50);
        assertEquals(0, status(b), "the query must wait for the kernel's notice");
        sim.sendFromKernel("{\"type\":\"REAP\",\"n\":1,\"job\":\"" + a.job
                + "\",\"state\":\"good\",\"took\":5,\"data\":\"cmVzdWx0\"}");
        completeDisk(true);
        assertEquals(200, status(b));
        assertEquals("result", b.answer.body());
    }

    @Test
    void queryWithUnknownOutcomeIsErroredAtOnceAndNeverRun() {
        sim.boot();
        ask("m", "b");
        completeDisk(true);
        restart(false);
        completeDisk(true);
        for (int i = 0; i < 3; i++) {
            Request b = ask("m", "b");
            completeDisk(true);
            assertEquals(500, status(b));
        }
        assertTrue(sim.jobs.isEmpty(), "the query ran again");
    }

    @Test
    void silentKernelIsAwaitedAtMostForTheHardLimit() {
        sim.boot();
        ask("m", "b");
        completeDisk(true);
        restart(true);
        sim.jobs.clear();
        sim.advance(46_100);
        completeDisk(true);
        Request b = ask("m", "b");
        completeDisk(true);
        assertEquals(500, status(b));
    }

    @Test
    void refusedIntentDefersAtOnceAndLaterQueryRuns() {
        sim.boot();
        Request a = ask("m", "b");
        completeDisk(false);
        assertEquals(503, status(a));
        assertFalse(sim.jobs.containsKey(a.job));
        Request b = ask("m", "b");
        completeDisk(true);
        assertTrue(sim.jobs.containsKey(b.job), "the later query does not run");
    }

    @Test
    void slowDiskGivesOneAnswerInTimeAndRepeatGetsTheResult() {
        sim.boot();
        Request a = ask("m", "b");
        completeDisk(true);
        sim.endRun(a.job, "good", "result");
        sim.advance(20_000);
        assertEquals(500, status(a));
        assertEquals(1, a.answers);
        Request b = ask("m", "b");
        completeDisk(true);
        assertEquals(200, status(b));
        assertEquals("result", b.answer.body());
    }

    @Test
    void queryNeverRunsLateAfterSlowIntentWrite() {
        sim.boot();
        Request a = ask("m", "b");
        sim.advance(20_000);
        assertTrue(status(a) == 500 || status(a) == 503, "status " + status(a));
        completeDisk(true);
        completeDisk(true);
        assertFalse(sim.jobs.containsKey(a.job), "the query runs after its caller was answered");
        Request b = ask("m", "b");
        completeDisk(true);
        assertTrue(sim.jobs.containsKey(b.job), "the later query does not run");
    }

    @Test
    void refusedResultIsNotAnsweredUntilWritten() {
        sim.boot();
        Request a = ask("m", "b");
        completeDisk(true);
        sim.endRun(a.job, "good", "result");
        completeDisk(false);
        assertEquals(500, status(a));
        Request b = ask("m", "b");
        completeDisk(true);
        assertEquals(200, status(b));
        assertTrue(sim.jobs.isEmpty());
    }

    @Test
    void refusedResultIsWrittenAgainWithoutARepeat() {
        sim.boot();
        Request a = ask("m", "b");
        completeDisk(true);
        sim.endRun(a.job, "good", "result");
        completeDisk(false);
        assertEquals(500, status(a));
        assertEquals(1, sim.backend.counters().all().get("now_results_refused_by_disk"));
        for (int i = 0; i < 400 && disk.pending.isEmpty(); i++) {
            sim.advance(1_000);
        }
        completeDisk(true);
        assertEquals(0, sim.backend.counters().all().get("now_results_refused_by_disk"));
        restart(true);
        Request b = ask("m", "b");
        completeDisk(true);
        assertEquals(200, status(b));
    }

    @Test
    void withoutRoomStampedQueriesAreDeferredAndHarmlessOnesRun() {
        sim.boot();
        disk.full = true;
        Request a = ask("m", "b");
        assertEquals(503, status(a));
        Request h = sim.request(sim.openCaller(), "c", "b", 20_000, null);
        sim.advance(10);
        assertTrue(sim.jobs.containsKey(h.job));
    }

    @Test
    void oneShotQueriesWriteAnIntentToo() {
        sim.boot();
        Request a = sim.request(sim.openCaller(), "u", "b", 20_000, null);
        sim.advance(10);
        assertFalse(sim.jobs.containsKey(a.job));
        completeDisk(true);
        assertTrue(sim.jobs.containsKey(a.job));
        assertEquals(1, disk.intentsAtStart().size());
    }

    /** Guards against a key that counts as used for its whole window though its run was lost and has never begun. */
    @Test
    void lostRunLeavesNoRecordAndALaterQueryRuns() {
        sim.boot();
        sim.kernelReadsLate = true;
        Request a = ask("m", "b");
        completeDisk(true);
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
        sim.advance(10_000);
        Request b = ask("m", "b");
        for (int i = 0; i < 16; i++) {
            sim.advance(1_000);
            sim.sendGauges();
        }
        completeDisk(true);
        assertEquals(List.of(500, 503, 0), List.of(status(a), status(b), a.runCount));
        assertEquals(List.of(0, 0L), List.of(disk.written.size(), sim.counter("now_queries")));
        Request c = ask("m", "b");
        completeDisk(true);
        sim.readCommands();
        assertTrue(sim.jobs.containsKey(c.job), "the later query does not run");
        assertEquals(List.of(), sim.violations);
    }

    /** Guards against a record that a query has failed, though nobody can tell: its end is among notices that were missed. */
    @Test
    void runWhoseEndWasMissedIsRecordedAsUnknown() {
        sim.boot();
        Request a = ask("m", "b");
        completeDisk(true);
        sim.missEnd(a.job);
        sim.advance(26_000);
        completeDisk(true);
        assertEquals(
                List.of(Known.UNKNOWN),
                disk.written.values().stream().map(record -> record.known()).toList());
        assertEquals(0L, sim.counter("now_queries"));
    }
}
