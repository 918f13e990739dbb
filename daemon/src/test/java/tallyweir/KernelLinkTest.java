package tallyweir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import tallyweir.Simulation.Request;
import tallyweir.backend.Peer;
import tallyweir.ids.LinkId;

/** Commands to the kernel while its link breaks or its address changes. The kernel may be slow to read them. */
class KernelLinkTest {
    private static final long CALLER_TIMEOUT_TENTHS_MS = 20_000;
    private static final String REPLY_COMMAND = "KERNEL {\"type\":\"IODONE\"";
    private static final String OPEN_COMMAND = "KERNEL {\"type\":\"OPEN\"";

    private final Simulation sim = new Simulation();

    private Request running(String workload) {
        sim.boot();
        return nextRunning(sim.openCaller(), workload);
    }

    private Request nextRunning(int conn, String workload) {
        return sim.request(conn, workload, "b", CALLER_TIMEOUT_TENTHS_MS, null);
    }

    /** Makes the run call the store and gives it the reply; the kernel may not have read the reply yet. */
    private void makeCall(Request query, String call) {
        sim.callStore(query.job, call);
        if (sim.isOpening(Peer.STORE)) {
            sim.openLink(Peer.STORE);
        }
        sim.replyFromStore(query.job, "reply to " + call);
    }

    private LinkId presentLink() {
        return Simulation.lastLink(sim.openLinks, Peer.KERNEL);
    }

    /** Changes the kernel's address and opens the new link. */
    private LinkId openReplacement() {
        sim.updateClock();
        sim.backend.addressesChanged();
        return sim.openLink(Peer.KERNEL);
    }

    private long logged(String start) {
        return sim.log.stream().filter(l -> l.startsWith(start)).count();
    }

    private void advanceWithGauges(long duration) {
        for (long left = duration; left > 0; left -= 1_000) {
            sim.advance(1_000);
            sim.sendGauges();
        }
    }

    private int status(Request query) {
        sim.check();
        assertEquals(List.of(), sim.violations);
        return query.answer == null ? 0 : query.answer.status();
    }

    /** Guards against a run that is given the reply to its first call once more, for its second call, after a move. */
    @Test
    void afterAMoveNoReplyIsSentAgain() {
        Request a = running("u");
        makeCall(a, "call 1");
        sim.updateClock();
        sim.backend.addressesChanged();
        sim.connectKernel();
        makeCall(a, "call 2");
        assertEquals(2, logged(REPLY_COMMAND), sim.log.toString());
        sim.endRun(a.job, "good", "made");
        assertEquals(200, status(a));
    }

    /** Guards against the same fault after a break, where the reply to the first call may have been lost. */
    @Test
    void afterABreakNoReplyIsSentAgain() {
        Request a = running("u");
        makeCall(a, "call 1");
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
        makeCall(a, "call 2");
        assertEquals(2, logged(REPLY_COMMAND), sim.log.toString());
        sim.endRun(a.job, "good", "made");
        assertEquals(200, status(a));
    }

    /** Guards against a reply that waited for a link and is sent a second time after one more break. */
    @Test
    void aReplyThatWaitedForALinkIsSentOnce() {
        Request a = running("u");
        sim.callStore(a.job, "call 1");
        sim.openLink(Peer.STORE);
        sim.breakLink(Peer.KERNEL);
        sim.replyFromStore(a.job, "reply to call 1");
        sim.openLink(Peer.KERNEL); // breaks before the kernel reports its boot
        sim.breakLink(Peer.KERNEL);
        sim.advance(1_000);
        sim.connectKernel();
        assertEquals(1, logged(REPLY_COMMAND), sim.log.toString());
    }

    /** Guards against commands that are lost because their link is replaced before the kernel has read them. */
    @Test
    void aLinkIsReplacedOnceTheKernelHasReadWhatWasSentOnIt() {
        Request a = running("u");
        sim.kernelReadsLate = true;
        makeCall(a, "call 1");
        LinkId old = presentLink();
        openReplacement();
        Request b = nextRunning(a.conn, "u");
        assertEquals(List.of(1L, true), List.of(logged(OPEN_COMMAND), sim.openLinks.containsKey(old)));
        sim.answerGauges();
        assertEquals(List.of(2L, false), List.of(logged(OPEN_COMMAND), sim.openLinks.containsKey(old)));
        sim.sendFromKernel("{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (sim.now / 10 - 99_999) + "}");
        sim.readCommands();
        for (Request query : List.of(a, b)) {
            assertEquals(List.of("runs", 1), List.of(sim.jobs.get(query.job), query.runCount));
            sim.endRun(query.job, "good", "made");
            assertEquals(200, status(query));
        }
        assertEquals(List.of(1L, 0L), List.of(logged(REPLY_COMMAND), sim.counter("kernel_replies_uncertain")));
    }

    @Test
    void aSilentLinkIsReplacedAfterASecond() {
        running("u");
        sim.kernelReadsLate = true;
        LinkId old = presentLink();
        openReplacement();
        sim.advance(9_900);
        assertTrue(sim.openLinks.containsKey(old));
        sim.advance(200);
        assertFalse(sim.openLinks.containsKey(old));
        assertEquals(List.of(2L, 1L), List.of(logged(OPEN_COMMAND), sim.counter("kernel_handovers_unconfirmed")));
    }

    /** A paused process has had no chance to read the answer, so a pause must not end the wait for it. */
    @Test
    void aPauseDoesNotEndTheWaitForTheKernelsAnswer() {
        running("u");
        sim.kernelReadsLate = true;
        LinkId old = presentLink();
        openReplacement();
        sim.now += 30_000;
        sim.updateClock();
        sim.backend.runDue();
        assertTrue(sim.openLinks.containsKey(old));
        sim.answerGauges();
        assertFalse(sim.openLinks.containsKey(old));
    }

    @Test
    void aReplacementThatBreaksLeavesThePresentLinkInUse() {
        Request a = running("u");
        sim.kernelReadsLate = true;
        LinkId replacement = openReplacement();
        Request b = nextRunning(a.conn, "u");
        sim.openLinks.remove(replacement);
        sim.backend.linkDown(replacement, true);
        sim.readCommands();
        assertEquals(List.of("runs", 1L), List.of(sim.jobs.get(b.job), logged(OPEN_COMMAND)));
        sim.advance(1_000);
        assertTrue(sim.isOpening(Peer.KERNEL), "the new address is tried again");
    }

    @Test
    void aSecondMoveTakesThePlaceOfTheFirst() {
        Request a = running("u");
        sim.kernelReadsLate = true;
        LinkId first = openReplacement();
        Request b = nextRunning(a.conn, "u");
        openReplacement();
        assertFalse(sim.openLinks.containsKey(first));
        sim.answerGauges();
        assertEquals(List.of("runs", 2L), List.of(sim.jobs.get(b.job), logged(OPEN_COMMAND)));
    }

    @Test
    void theNewLinkIsUsedAtOnceIfThePresentOneBreaks() {
        running("u");
        sim.kernelReadsLate = true;
        LinkId old = presentLink();
        openReplacement();
        sim.breakLink(old);
        assertEquals(2L, logged(OPEN_COMMAND));
    }

    /** Guards against a harmless run that waits for a lost reply until its query is late. */
    @Test
    void harmlessRunWithALostReplyIsStoppedAndRunsAgain() {
        Request a = running("c");
        sim.kernelReadsLate = true;
        makeCall(a, "call 1");
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
        sim.advance(5_100);
        assertEquals(1, logged("KERNEL {\"type\":\"PREEMPT\""), sim.log.toString());
        sim.endRun(a.job, "cut", "");
        sim.readCommands();
        assertEquals(List.of("runs", 2), List.of(sim.jobs.get(a.job), a.runCount));
        makeCall(a, "call 1");
        sim.readCommands();
        sim.endRun(a.job, "good", "made");
        assertEquals(200, status(a));
    }

    @Test
    void harmlessRunThatGotItsReplyIsNotStopped() {
        Request a = running("c");
        makeCall(a, "call 1");
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
        sim.advance(4_000);
        makeCall(a, "call 2");
        sim.sendGauges();
        sim.advance(2_000);
        assertEquals(0, logged("KERNEL {\"type\":\"PREEMPT\""), sim.log.toString());
    }

    /** Guards against a run that is stopped although it went on, as its notices could not be read without a link. */
    @Test
    void harmlessRunIsNotStoppedWhileThereIsNoLink() {
        Request a = running("c");
        makeCall(a, "call 1");
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
        sim.advance(4_000);
        sim.breakLink(Peer.KERNEL);
        sim.advance(2_000);
        sim.connectKernel();
        makeCall(a, "call 2");
        sim.sendGauges();
        sim.advance(6_000);
        assertEquals(0, logged("KERNEL {\"type\":\"PREEMPT\""), sim.log.toString());
    }

    /** Guards against runs that are forgotten, as the kernel's report on a new link lies unread while the process is paused. */
    @Test
    void aReportThatIsReadLateIsNotTakenForARestart() {
        Request a = running("u");
        sim.breakLink(Peer.KERNEL);
        sim.openLink(Peer.KERNEL);
        String report = "{\"type\":\"BOOTED\",\"state\":\"old\",\"took\":" + (sim.now / 10 - 99_999) + "}";
        sim.now += 15_000;
        sim.sendFromKernel(report);
        assertEquals(List.of(0, 1L), List.of(status(a), sim.counter("now_queries")));
        sim.endRun(a.job, "good", "made");
        assertEquals(200, status(a));
    }

    /** Guards against a one-shot query whose start was lost with the link and that keeps its place among the runs for ever. */
    @Test
    void oneShotRunWhoseStartWasLostIsReleasedAfterItsDueTime() {
        sim.boot();
        sim.kernelReadsLate = true;
        Request a = nextRunning(sim.openCaller(), "u");
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
        advanceWithGauges(3 * CALLER_TIMEOUT_TENTHS_MS);
        assertEquals(List.of(500, 0), List.of(status(a), a.runCount));
        assertEquals(0, sim.counter("now_queries"));
    }

    /** Guards against a one-shot run that waits for a lost reply and whose caller gets no answer. */
    @Test
    void oneShotRunWithALostReplyIsErroredByItsDueTime() {
        Request a = running("u");
        sim.kernelReadsLate = true;
        makeCall(a, "call 1");
        sim.breakLink(Peer.KERNEL);
        sim.connectKernel();
        sim.advance(CALLER_TIMEOUT_TENTHS_MS);
        assertEquals(500, status(a));
        assertEquals(List.of(1, 1L), List.of(a.runCount, logged(REPLY_COMMAND)));
        sim.endRun(a.job, "cut", ""); // as the kernel ends a run at a call whose request is over
        assertEquals(0, sim.counter("now_queries"));
    }

    /**
     * Random histories with a kernel that reads late, whose address changes and whose links break with commands unread:
     * each run gets the reply to its own call, nothing runs twice that may not, and each query is answered once.
     */
    @Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void repliesReachTheirCallsUnderMovesAndBreaks(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Simulation sim = new Simulation();
        sim.boot();
        sim.kernelReadsLate = true;
        for (int i = 0; i < 160; i++) {
            moveOrRead(sim, random.nextInt(20));
            BackendTest.step(sim, random);
            sim.check();
            sim.closePending();
        }
        sim.advance(110_000);
        assertEquals(List.of(), sim.violations.stream().limit(5).toList());
        assertEquals(List.of(0L, 0L), List.of(sim.counter("faults"), sim.counter("answered_by_the_last_guard")));
    }

    private static void moveOrRead(Simulation sim, int kind) {
        if (kind == 0) {
            sim.updateClock();
            sim.backend.addressesChanged();
        } else if (kind < 3) {
            sim.connectKernel();
        } else if (kind < 12) {
            sim.readCommands();
        }
    }
}
