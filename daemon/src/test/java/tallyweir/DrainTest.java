package tallyweir;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tallyweir.Simulation.Request;

/** The grace after the notice to shut down, which lasts a second here, when other events come late. */
class DrainTest {
    private static final long CALLER_TIMEOUT_TENTHS_MS = 15_000;
    private static final long WITHIN_GRACE_TENTHS_MS = 8_000;
    private static final long JUST_PAST_GRACE_TENTHS_MS =
            10_010; // a millisecond, as callers tell times in milliseconds

    private final Simulation sim = new Simulation();

    private Request request(String workload) {
        Request query = sim.request(sim.openCaller(), workload, "b", CALLER_TIMEOUT_TENTHS_MS, null);
        sim.check();
        return query;
    }

    private void advanceTo(long time) {
        sim.advance(time - sim.now);
    }

    /** Asserts that neither a harmless nor a one-shot query runs from now on. */
    private void assertNothingRuns() {
        for (String workload : List.of("c", "u")) {
            Request late = request(workload);
            assertEquals(0, late.runCount, workload);
            assertEquals(503, late.answer.status(), workload);
        }
        assertEquals(List.of(), sim.violations);
    }

    /** Guards against a grace that begins only when the kernel comes up, so that a leaving server takes new work. */
    @Test
    void theGraceBeginsAtTheNoticeThoughTheKernelComesUpLater() {
        sim.updateClock();
        sim.backend.start();
        long notice = sim.now;
        sim.backend.drain(notice);
        advanceTo(notice + WITHIN_GRACE_TENTHS_MS);
        sim.connectKernel();
        assertEquals(1, request("u").runCount, "a query within the grace still runs");
        advanceTo(notice + JUST_PAST_GRACE_TENTHS_MS);
        assertNothingRuns();
    }

    @Test
    void nothingRunsIfTheKernelComesUpAfterTheGrace() {
        sim.updateClock();
        sim.backend.start();
        long notice = sim.now;
        sim.backend.drain(notice);
        advanceTo(notice + JUST_PAST_GRACE_TENTHS_MS);
        sim.connectKernel();
        assertNothingRuns();
    }

    /** Guards against a grace that begins anew with a second notice, a changed address or a restart of the kernel. */
    @Test
    void laterEventsDoNotExtendTheGrace() {
        sim.boot();
        long notice = sim.now;
        sim.backend.drain(notice);
        advanceTo(notice + WITHIN_GRACE_TENTHS_MS);
        sim.backend.drain(sim.now);
        sim.backend.addressesChanged();
        sim.connectKernel();
        advanceTo(notice + JUST_PAST_GRACE_TENTHS_MS);
        assertNothingRuns();
    }

    /** Guards against a grace and a stop that begin when a busy or paused process gets to handle the notice. */
    @Test
    void theGraceBeginsAtTheNoticeThoughItIsHandledLater() {
        sim.boot();
        long notice = sim.now;
        sim.advance(WITHIN_GRACE_TENTHS_MS);
        sim.backend.drain(notice);
        assertEquals(1, request("u").runCount, "a query within the grace still runs");
        advanceTo(notice + JUST_PAST_GRACE_TENTHS_MS);
        assertNothingRuns();
    }
}
