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
import tallyweir.BackendTest.Asked;
import tallyweir.BackendTest.Round;
import tallyweir.ids.JobId;
import tallyweir.results.Known;
import tallyweir.results.Mark;
import tallyweir.results.ResultStore;

/** The backend with results retained over restarts, between simulated kernel, sidecars and disk. */
class KeptResultsTest {
    /** A result store whose writes stay pending until the test completes or refuses them. */
    private static final class Disk implements ResultStore {
        private final Map<Mark, Kept> there = new HashMap<>();
        private final ArrayDeque<Consumer<Boolean>> waiting = new ArrayDeque<>();
        private boolean full;

        private void write(Mark key, Kept kept, Consumer<Boolean> done) {
            waiting.add(good -> {
                if (good && kept == null) {
                    there.remove(key);
                } else if (good) {
                    there.put(key, kept);
                }
                done.accept(good);
            });
        }

        /** Completes all pending operations, or refuses them all. */
        void does(boolean good) {
            while (!waiting.isEmpty()) {
                waiting.poll().accept(good);
            }
        }

        @Override
        public boolean knows(Mark key) {
            return there.containsKey(key);
        }

        @Override
        public boolean hasRoom(int inProgress) {
            return !full;
        }

        @Override
        public void intend(Mark key, JobId job, long body, long until, Consumer<Boolean> done) {
            write(key, new Kept(key, job, body, null, null, now, until), done);
        }

        @Override
        public void record(
                Mark key, JobId job, long body, Known known, byte[] result, long until, Consumer<Boolean> done) {
            write(key, new Kept(key, job, body, known, result, now, until), done);
        }

        @Override
        public void withdraw(Mark key, Consumer<Boolean> done) {
            write(key, null, done);
        }

        @Override
        public void look(Mark key, Consumer<Kept> then) {
            Kept kept = there.get(key);
            waiting.add(good -> then.accept(good ? kept : null));
        }

        @Override
        public List<Kept> intents() {
            return there.values().stream().filter(k -> k.known() == null).toList();
        }

        private long now;
    }

    private final Disk disk = new Disk();
    private Round r = new Round(disk, 1_000_000);

    private void restart(boolean sameKernel) {
        disk.waiting.clear();
        long now = r.now;
        Map<String, String> jobs = r.jobs;
        r = new Round(disk, now + 100);
        r.n = 0;
        r.clock();
        r.backend.start();
        r.kernelUp = true;
        r.up(tallyweir.backend.Peer.KERNEL);
        r.kernel("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (sameKernel ? 60_000 : 1) + "}");
        r.kernel("{\"type\":\"INFO\",\"ref\":\"resumed\",\"gauges\":[]}");
        if (sameKernel) {
            r.jobs.putAll(jobs);
        }
    }

    private Asked ask(String key, String body) {
        disk.now = r.now + r.wall;
        Asked a = r.ask(r.open(), "k", body, 20_000, key);
        r.pass(10);
        return a;
    }

    private void disk(boolean good) {
        r.clock();
        disk.does(good);
        r.pass(10);
    }

    private static int status(Asked a) {
        return a.answer == null ? 0 : a.answer.status();
    }

    @Test
    void noRunBeforeItsIntentAndNoAnswerBeforeItsResultIsOnTheDisk() {
        r.boot();
        Asked a = ask("m", "b");
        assertFalse(r.jobs.containsKey(a.job), "the query runs before its intent is on the disk");
        disk(true);
        assertTrue(r.jobs.containsKey(a.job));
        r.reap(a.job, "good", "result");
        r.pass(10);
        assertEquals(0, status(a), "the query is answered before its result is on the disk");
        disk(true);
        assertEquals(200, status(a));
        assertEquals("result", a.answer.body());
        assertEquals(List.of(), r.wrong);
    }

    @Test
    void aRepeatAfterARestartGetsTheSameBytesAndIsNotRun() {
        r.boot();
        Asked a = ask("m", "b");
        disk(true);
        r.reap(a.job, "good", "result");
        disk(true);
        restart(true);
        Asked b = ask("m", "b");
        disk(true);
        assertEquals(200, status(b));
        assertEquals("result", b.answer.body());
        assertTrue(r.jobs.isEmpty(), "the query ran again");
        Asked c = ask("m", "other");
        disk(true);
        assertEquals(409, status(c), "another body under the same key");
    }

    @Test
    void repeatsWhileTheFirstRunsWaitForItHoweverMany() {
        r.boot();
        Asked a = ask("m", "b");
        disk(true);
        List<Asked> more = new java.util.ArrayList<>();
        int conn = 0;
        for (int i = 0; i < 100; i++) {
            conn = i % 25 == 0 ? r.open() : conn;
            more.add(r.ask(conn, "k", "b", 20_000, "m"));
        }
        r.pass(10);
        assertEquals(1, r.jobs.size());
        r.reap(a.job, "good", "result");
        disk(true);
        more.add(a);
        int handled = 0;
        for (Asked x : more) {
            assertTrue(status(x) == 200 && x.answer.body().equals("result") || status(x) == 503, "status " + status(x));
            handled += status(x) == 200 ? 1 : 0;
        }
        assertTrue(handled > 10, "only " + handled + " were handled");
    }

    @Test
    void anOpenIntentIsSettledByTheKernelThatStillRunsIt() {
        r.boot();
        Asked a = ask("m", "b");
        disk(true);
        restart(true);
        Asked b = ask("m", "b");
        r.pass(50);
        assertEquals(0, status(b), "the query must wait for the kernel's notice");
        r.kernel("{\"type\":\"REAP\",\"n\":1,\"job\":\"" + a.job
                + "\",\"state\":\"good\",\"took\":5,\"data\":\"cmVzdWx0\"}");
        disk(true);
        assertEquals(200, status(b));
        assertEquals("result", b.answer.body());
    }

    @Test
    void whatNobodyCanTellOfIsErroredAtOnceAndNeverRun() {
        r.boot();
        ask("m", "b");
        disk(true);
        restart(false);
        disk(true);
        for (int i = 0; i < 3; i++) {
            Asked b = ask("m", "b");
            disk(true);
            assertEquals(500, status(b));
        }
        assertTrue(r.jobs.isEmpty(), "the query ran again");
    }

    @Test
    void aKernelThatNeverTellsIsNotWaitedForLongerThanTheHardLimit() {
        r.boot();
        ask("m", "b");
        disk(true);
        restart(true);
        r.jobs.clear();
        r.pass(46_100);
        disk(true);
        Asked b = ask("m", "b");
        disk(true);
        assertEquals(500, status(b));
    }

    @Test
    void anIntentThatTheDiskRefusesIsDeferredAtOnceAndALaterCopyRuns() {
        r.boot();
        Asked a = ask("m", "b");
        disk(false);
        assertEquals(503, status(a));
        assertFalse(r.jobs.containsKey(a.job));
        Asked b = ask("m", "b");
        disk(true);
        assertTrue(r.jobs.containsKey(b.job), "the later query does not run");
    }

    @Test
    void aDiskThatIsSlowGetsOneAnswerInTimeAndARepeatHearsHowItEnded() {
        r.boot();
        Asked a = ask("m", "b");
        disk(true);
        r.reap(a.job, "good", "result");
        r.pass(20_000);
        assertEquals(500, status(a));
        assertEquals(1, a.answers);
        Asked b = ask("m", "b");
        disk(true);
        assertEquals(200, status(b));
        assertEquals("result", b.answer.body());
    }

    @Test
    void aDiskTooSlowForTheIntentNeverLetsItRunLate() {
        r.boot();
        Asked a = ask("m", "b");
        r.pass(20_000);
        assertTrue(status(a) == 500 || status(a) == 503, "status " + status(a));
        disk(true);
        disk(true);
        assertFalse(r.jobs.containsKey(a.job), "the query runs after its caller was answered");
        Asked b = ask("m", "b");
        disk(true);
        assertTrue(r.jobs.containsKey(b.job), "the later query does not run");
    }

    @Test
    void aResultThatTheDiskRefusesDoesNotLeaveUntilItIsTaken() {
        r.boot();
        Asked a = ask("m", "b");
        disk(true);
        r.reap(a.job, "good", "result");
        disk(false);
        assertEquals(500, status(a));
        Asked b = ask("m", "b");
        disk(true);
        assertEquals(200, status(b));
        assertTrue(r.jobs.isEmpty());
    }

    @Test
    void aResultThatTheDiskRefusedIsOfferedAgainThoughNobodyAsks() {
        r.boot();
        Asked a = ask("m", "b");
        disk(true);
        r.reap(a.job, "good", "result");
        disk(false);
        assertEquals(500, status(a));
        assertEquals(1, r.backend.counters().all().get("now_results_refused_by_disk"));
        for (int i = 0; i < 400 && disk.waiting.isEmpty(); i++) {
            r.pass(1_000);
        }
        disk(true);
        assertEquals(0, r.backend.counters().all().get("now_results_refused_by_disk"));
        restart(true);
        Asked b = ask("m", "b");
        disk(true);
        assertEquals(200, status(b));
    }

    @Test
    void withoutRoomStampedOnesAreDeferredAndHarmlessOnesGoOn() {
        r.boot();
        disk.full = true;
        Asked a = ask("m", "b");
        assertEquals(503, status(a));
        Asked h = r.ask(r.open(), "c", "b", 20_000, null);
        r.pass(10);
        assertTrue(r.jobs.containsKey(h.job));
    }

    @Test
    void oneShotQueriesWriteTheSameIntent() {
        r.boot();
        Asked a = r.ask(r.open(), "u", "b", 20_000, null);
        r.pass(10);
        assertFalse(r.jobs.containsKey(a.job));
        disk(true);
        assertTrue(r.jobs.containsKey(a.job));
        assertEquals(1, disk.intents().size());
    }
}
