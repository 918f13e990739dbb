package tallyweir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import tallyweir.Simulation.Request;
import tallyweir.backend.Peer;

/** Runs whose start or end is lost on the way to or from the kernel, which therefore never tells of their end by itself. */
class LostRunTest {
    private static final long CALLER_TIMEOUT_TENTHS_MS = 20_000;
    private static final long HARD_LIMIT_TENTHS_MS = 46_000; // of each workload of the simulation
    private static final long UNTIL_RELEASED_TENTHS_MS = CALLER_TIMEOUT_TENTHS_MS + 6_000;
    private static final long GAUGE_INTERVAL_TENTHS_MS = 1_000;
    private static final String RUN_COMMAND = "KERNEL {\"type\":\"SCHED\"";

    private Simulation sim = new Simulation();

    static Stream<Arguments> effectsAndWaysToStop() {
        return Stream.of("c", "k", "u")
                .flatMap(workload -> Stream.of("off", "abort", "suspend").map(halt -> Arguments.of(workload, halt)));
    }

    private void boot() {
        sim.boot();
        sim.kernelReadsLate = true;
    }

    private Request request(String workload, String key) {
        return sim.request(sim.openCaller(), workload, "b", CALLER_TIMEOUT_TENTHS_MS, key);
    }

    /** The link breaks with all commands that the kernel has not read, and a new one is opened. */
    private void breakLink() {
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
    }

    private Request requestWithLostRun(String workload, String key) {
        Request query = request(workload, key);
        breakLink();
        return query;
    }

    private void advanceWithGauges(long duration) {
        for (long left = duration; left > 0; left -= GAUGE_INTERVAL_TENTHS_MS) {
            sim.advance(Math.min(left, GAUGE_INTERVAL_TENTHS_MS));
            sim.sendGauges();
        }
    }

    private static int status(Request query) {
        return query.answer == null ? 0 : query.answer.status();
    }

    private long runCommands(Request query) {
        return sim.log.stream()
                .filter(line -> line.startsWith(RUN_COMMAND) && line.contains(query.job))
                .count();
    }

    private int served(String workload) {
        Request query = request(workload, null);
        sim.readCommands();
        if ("runs".equals(sim.jobs.get(query.job))) {
            sim.advance(100);
            sim.endRun(query.job, "good", "made for " + query.job);
        }
        sim.check();
        return status(query);
    }

    private void assertNothingLeft() {
        assertEquals(List.of(), sim.violations);
        assertEquals(
                List.of(0L, 0L, 0L),
                List.of(sim.counter("now_queries"), sim.counter("faults"), sim.counter("answered_by_the_last_guard")));
    }

    /** Guards against a run whose start was lost with the link and that keeps its place for ever, for each effect. */
    @ParameterizedTest
    @MethodSource("effectsAndWaysToStop")
    void lostStartIsReleasedOnceItsQueryIsOver(String workload, String halt) {
        sim = new Simulation(halt);
        boot();
        Request query = requestWithLostRun(workload, null);
        if (workload.equals("c")) {
            sim.readCommands();
            sim.endRun(query.job, "good", "made");
        }
        advanceWithGauges(UNTIL_RELEASED_TENTHS_MS);
        assertEquals(workload.equals("c") ? 200 : 500, status(query));
        assertEquals(workload.equals("c") ? 1 : 0, query.runCount);
        assertNothingLeft();
        assertEquals(200, served(workload));
    }

    /** Guards against losses that add up until the server refuses everything. */
    @Test
    void twentyLossesLeaveNothingBehind() {
        boot();
        for (int i = 0; i < 20; i++) {
            Request query = requestWithLostRun(i % 2 == 0 ? "k" : "u", "m" + i);
            advanceWithGauges(UNTIL_RELEASED_TENTHS_MS);
            assertEquals(List.of(500, 0), List.of(status(query), query.runCount), "loss " + i);
            assertEquals(200, served("c"), "after loss " + i);
        }
        assertNothingLeft();
    }

    /** Guards against one break that loses as many runs as there are cores. */
    @Test
    void runsThatFillAllCoresAndAreLostAtOnceAreReleased() {
        boot();
        List<Request> lost = List.of(request("k", "m"), request("u", null));
        Request waiting = request("u", null);
        assertEquals(List.of(1L, 0L), List.of(runCommands(lost.get(1)), runCommands(waiting)));
        breakLink();
        advanceWithGauges(2 * GAUGE_INTERVAL_TENTHS_MS);
        sim.endRun(waiting.job, "good", "made");
        advanceWithGauges(UNTIL_RELEASED_TENTHS_MS);
        lost.forEach(query -> assertEquals(List.of(500, 0), List.of(status(query), query.runCount)));
        assertEquals(200, status(waiting));
        assertNothingLeft();
        assertEquals(200, served("u"));
    }

    /** Guards against a second break that takes with it the request that would have shown the first loss. */
    @Test
    void aSecondBreakBeforeTheLossIsConfirmedOnlyDelaysTheRelease() {
        boot();
        Request query = requestWithLostRun("k", "m");
        sim.advance(CALLER_TIMEOUT_TENTHS_MS + 5_100);
        assertEquals(2, runCommands(query), sim.log.toString());
        breakLink();
        advanceWithGauges(GAUGE_INTERVAL_TENTHS_MS);
        assertEquals(1, sim.counter("now_queries"));
        advanceWithGauges(21_000);
        assertEquals(List.of(500, 0), List.of(status(query), query.runCount));
        assertNothingLeft();
    }

    /** Guards against a loss that is forgotten, as the next link breaks before the kernel's notices have been read on it. */
    @ParameterizedTest
    @ValueSource(strings = {"c", "k", "u"})
    void aSecondBreakBeforeTheNewLinkIsConfirmedForgetsNothing(String workload) {
        boot();
        Request query = request(workload, "m");
        sim.breakLink(Peer.KERNEL);
        sim.openLink(Peer.KERNEL);
        sim.sendFromKernel("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (sim.now / 10 - 99_999) + "}");
        breakLink();
        sim.readCommands();
        if (workload.equals("c")) {
            sim.endRun(query.job, "good", "made");
        }
        advanceWithGauges(UNTIL_RELEASED_TENTHS_MS);
        assertEquals(workload.equals("c") ? List.of(200, 1) : List.of(500, 0), List.of(status(query), query.runCount));
        assertNothingLeft();
    }

    /** Guards against a query that is over while there is no link and whose run is forgotten, or requested many times. */
    @Test
    void whileThereIsNoLinkALostRunIsRequestedOnce() {
        boot();
        Request query = request("u", null);
        sim.breakLink(Peer.KERNEL);
        sim.advance(100_000);
        assertEquals(1, runCommands(query), sim.log.toString());
        sim.connectKernel();
        advanceWithGauges(GAUGE_INTERVAL_TENTHS_MS);
        assertEquals(List.of(500, 0, 2L), List.of(status(query), query.runCount, runCommands(query)));
        assertNothingLeft();
    }

    /** Guards against a lost run that stays as nobody waits for its answer any more. */
    @ParameterizedTest
    @ValueSource(strings = {"k", "u"})
    void lostRunWhoseCallerLeavesIsReleased(String workload) {
        boot();
        Request query = requestWithLostRun(workload, "m");
        sim.disconnectCaller(query.conn);
        assertEquals(1, sim.counter("now_queries"));
        advanceWithGauges(UNTIL_RELEASED_TENTHS_MS);
        assertEquals(0, query.runCount);
        assertNothingLeft();
    }

    /** Guards against a key that stays taken though nothing has run under it. */
    @Test
    void repeatsOfALostRunMayComeAgainAndRun() {
        boot();
        Request lost = requestWithLostRun("k", "m");
        sim.advance(10_000);
        Request repeat = request("k", "m");
        advanceWithGauges(UNTIL_RELEASED_TENTHS_MS - 10_000);
        assertEquals(List.of(500, 503), List.of(status(lost), status(repeat)));
        assertTrue(repeat.answer.headers().toString().contains("Back-Off-Ms"), repeat.answer.toString());
        Request next = request("k", "m");
        sim.readCommands();
        sim.endRun(next.job, "good", "made");
        sim.check();
        assertEquals(List.of(200, 1, 0), List.of(status(next), next.runCount, lost.runCount));
        assertNothingLeft();
    }

    /** Guards against a stop that waits for a run that never began. */
    @ParameterizedTest
    @ValueSource(strings = {"c", "k", "u"})
    void lostRunIsAnsweredBeforeTheStop(String workload) {
        boot();
        Request query = requestWithLostRun(workload, "m");
        sim.backend.drain(sim.now);
        sim.advance(32_000 - 2 * 600);
        sim.check();
        assertTrue(query.answers == 1, "answered once before the stop");
        assertEquals(List.of(), sim.violations);
    }

    /** Guards against a run that did begin and is taken for lost: it must not run twice, and its core is not free. */
    @ParameterizedTest
    @MethodSource("effectsAndWaysToStop")
    void runThatOutlastsItsQueryNeitherRunsTwiceNorLosesItsCore(String workload, String halt) {
        sim = new Simulation(halt);
        boot();
        Request query = request(workload, "m");
        sim.readCommands();
        breakLink();
        advanceWithGauges(100_000);
        assertEquals(List.of(1, 1L), List.of(query.runCount, sim.counter("now_queries")));
        assertTrue(runCommands(query) > 1, "it was requested again");
        assertEquals("runs", sim.jobs.get(query.job));
        sim.endRun(query.job, "good", "made");
        sim.check();
        assertTrue(status(query) >= 500, "an answer in time");
        assertNothingLeft();
    }

    /** Guards against refusals of other queries while it isn't known whether a run has begun. */
    @ParameterizedTest
    @ValueSource(strings = {"k", "u"})
    void othersAreServedWhileARunMayBeLost(String workload) {
        boot();
        sim.request(sim.openCaller(), workload, "b", HARD_LIMIT_TENTHS_MS, "m");
        breakLink();
        advanceWithGauges(30_000);
        assertEquals(List.of(200, 200), List.of(served("c"), served("u")));
        advanceWithGauges(30_000);
        assertNothingLeft();
    }

    /** Guards against refusals of everything for as long as one run does not end. */
    @ParameterizedTest
    @ValueSource(strings = {"c", "k", "u"})
    void othersAreServedBesideARunWithoutEnd(String workload) {
        boot();
        request(workload, "m");
        sim.readCommands();
        advanceWithGauges(2 * HARD_LIMIT_TENTHS_MS + GAUGE_INTERVAL_TENTHS_MS);
        for (int i = 0; i < 40; i++) {
            advanceWithGauges(GAUGE_INTERVAL_TENTHS_MS);
            assertEquals(List.of(200, 200), List.of(served("c"), served("u")), "after " + i + " intervals");
        }
    }

    /** Guards against a core that is given away while the run of a query that is over is on it. */
    @Test
    void coresOfRunsWithoutEndAreNotGivenAway() {
        boot();
        List<Request> runs = List.of(request("k", "m"), request("u", null));
        breakLink();
        for (Request query : runs) {
            sim.jobs.put(query.job, "runs"); // they had begun, though the kernel has not confirmed it
        }
        for (int i = 0; i < 300; i++) {
            sim.advance(GAUGE_INTERVAL_TENTHS_MS);
            sim.readCommands();
            sim.sendFromKernel("{\"type\":\"INFO\",\"ref\":\"" + sim.gaugesTag + "\",\"gauges\":[1.0,2]}");
            Request other = request("c", null);
            sim.readCommands();
            assertEquals(0, other.runCount, "after " + i + " intervals");
        }
        assertEquals(List.of(), sim.violations);
    }

    /** Guards against a run whose end is among notices that the kernel no longer keeps. */
    @ParameterizedTest
    @ValueSource(strings = {"c", "k", "u"})
    void runWhoseEndWasMissedIsReleased(String workload) {
        boot();
        Request query = request(workload, "m");
        sim.readCommands();
        sim.missEnd(query.job);
        advanceWithGauges(UNTIL_RELEASED_TENTHS_MS);
        assertEquals(1, sim.counter("kernel_notices_missed"));
        assertEquals(1, query.runCount);
        assertNothingLeft();
    }

    /** Guards against a key that is free though what ran under it may have had its effect: its end was missed. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void keyOfARunWhoseEndWasMissedStaysTaken(boolean kernelForgets) {
        boot();
        Request query = request("k", "m");
        sim.readCommands();
        sim.missEnd(query.job);
        if (kernelForgets) {
            advanceWithGauges(CALLER_TIMEOUT_TENTHS_MS);
            sim.sendFromKernel("{\"type\":\"EINVAL\",\"state\":\"SCHED\",\"job\":\"" + query.job + "\"}");
        }
        advanceWithGauges(UNTIL_RELEASED_TENTHS_MS);
        Request repeat = request("k", "m");
        sim.readCommands();
        sim.advance(100);
        assertEquals(List.of(500, 500, 0), List.of(status(query), status(repeat), repeat.runCount));
    }

    /** Guards against a stop that is lost with the link and leaves its run on the cores. */
    @Test
    void lostStopIsSentAgainAfterEachBreak() {
        boot();
        Request query = request("c", null);
        sim.readCommands();
        sim.disconnectCaller(query.conn);
        for (int breaks = 1; breaks <= 3; breaks++) {
            breakLink();
            assertEquals(
                    1 + breaks,
                    sim.log.stream()
                            .filter(line -> line.startsWith("KERNEL {\"type\":\"PREEMPT\""))
                            .count());
        }
        sim.readCommands();
        sim.endRun(query.job, "cut", "");
        assertNothingLeft();
    }

    /** Guards against a run with an effect that waits for a lost reply for ever, where runs can't be stopped. */
    @ParameterizedTest
    @MethodSource("effectsAndWaysToStop")
    void runWhoseReplyWasLostIsReleasedOnceItsQueryIsOver(String workload, String halt) {
        sim = new Simulation(halt);
        boot();
        Request query = request(workload, "m");
        sim.readCommands();
        sim.callStore(query.job, "call");
        sim.openLink(Peer.STORE);
        sim.replyFromStore(query.job, "reply");
        breakLink();
        sim.advance(CALLER_TIMEOUT_TENTHS_MS);
        sim.jobs.remove(query.job); // ended at its call as its query is over; the notice is missed
        sim.lastNotice++;
        advanceWithGauges(UNTIL_RELEASED_TENTHS_MS);
        assertTrue(status(query) >= 500, "an answer in time");
        assertEquals(1, query.runCount);
        assertNothingLeft();
    }

    /**
     * Random histories in which links break with commands unread and notices are missed: once the kernel has ended the runs
     * that did begin, no query is left and nothing has run twice.
     */
    @Property(tries = 300, seed = "20261209", shrinking = ShrinkingMode.OFF)
    void everyRunIsReleasedInTheEnd(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Simulation sim = new Simulation();
        sim.boot();
        sim.kernelReadsLate = true;
        for (int i = 0; i < 160; i++) {
            disturb(sim, random.nextInt(20));
            BackendTest.step(sim, random);
            sim.check();
            sim.closePending();
        }
        for (int i = 0; i < 120; i++) {
            sim.advance(GAUGE_INTERVAL_TENTHS_MS);
            sim.connectKernel();
            sim.sendGauges();
            List.copyOf(sim.jobs.keySet()).forEach(job -> sim.endRun(job, "good", "made for " + job));
        }
        assertEquals(List.of(), sim.violations.stream().limit(5).toList());
        assertEquals(
                List.of(0L, 0L, 0L),
                List.of(sim.counter("now_queries"), sim.counter("faults"), sim.counter("answered_by_the_last_guard")));
    }

    private static void disturb(Simulation sim, int kind) {
        if (kind == 0 && sim.kernelConnected) {
            sim.kernelConnected = false;
            sim.breakLink(Peer.KERNEL);
        } else if (kind < 3) {
            sim.connectKernel();
        } else if (kind < 10) {
            sim.readCommands();
        } else if (kind == 10 && sim.kernelConnected && !sim.jobs.isEmpty()) {
            sim.missEnd(sim.jobs.keySet().iterator().next());
        }
    }
}
