package tallyweir;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import tallyweir.Simulation.Request;

/** The grace after the notice to shut down, which lasts a second here, when other events come late. */
class DrainTest {
    private static final long CALLER_TIMEOUT_TENTHS_MS = 15_000;
    private static final long WITHIN_GRACE_TENTHS_MS = 8_000;
    private static final long JUST_PAST_GRACE_TENTHS_MS =
            10_010; // a millisecond, as callers tell times in milliseconds

    private static final long FIRST_BYTE_TENTHS_MS = 22_000; // after the notice, as the next two
    private static final long LISTENER_CLOSES_TENTHS_MS = 25_800;
    private static final long STOP_TENTHS_MS = 30_800;

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

    private byte[] health(int id) {
        return Model.request(id, new byte[0], false, 0, "SCRIPT_NAME", "/check");
    }

    /** Sends the first bytes of a request on a connection that has been in use before. */
    private int connectionWithPartOf(byte[] request, int count) {
        int conn = sim.openCaller();
        sim.send(conn, health(1));
        sim.send(conn, Arrays.copyOf(request, count));
        return conn;
    }

    private long closed(int conn) {
        return sim.log.stream().filter(("close " + conn)::equals).count();
    }

    private List<Integer> statuses(int conn) {
        return sim.answers(conn).stream().map(Model.FcgiAnswer::status).toList();
    }

    /** Guards against ending a connection near the stop while a slow client is still writing a request on it. */
    @Test
    void requestThatIsStillBeingWrittenNearTheStopIsAnswered() {
        sim.boot();
        long notice = sim.now;
        sim.backend.drain(notice);
        advanceTo(notice + FIRST_BYTE_TENTHS_MS);
        byte[] request = health(2);
        int half = connectionWithPartOf(request, request.length / 2);
        int headerOnly = connectionWithPartOf(request, 3);
        advanceTo(notice + LISTENER_CLOSES_TENTHS_MS + 10);
        sim.backend.listenerClosed();
        advanceTo(notice + LISTENER_CLOSES_TENTHS_MS + 2_700);
        assertEquals(0, closed(half) + closed(headerOnly));
        sim.send(half, Arrays.copyOfRange(request, request.length / 2, request.length));
        sim.send(headerOnly, Arrays.copyOfRange(request, 3, request.length));
        assertEquals(List.of(List.of(503, 503), List.of(503, 503)), List.of(statuses(half), statuses(headerOnly)));
        sim.advance(200);
        assertEquals(List.of(1L, 1L), List.of(closed(half), closed(headerOnly)));
    }

    /** Guards against a request whose last byte comes between the last answers and the end of the process. */
    @Test
    void requestThatIsNotWholeAtTheStopIsRefused() {
        sim.boot();
        long notice = sim.now;
        sim.backend.drain(notice);
        advanceTo(notice + FIRST_BYTE_TENTHS_MS);
        byte[] request = health(2);
        int half = connectionWithPartOf(request, request.length / 2);
        int headerOnly = connectionWithPartOf(request, 3);
        advanceTo(notice + LISTENER_CLOSES_TENTHS_MS + 10);
        sim.backend.listenerClosed();
        advanceTo(notice + STOP_TENTHS_MS);
        assertEquals(List.of(503, 503), statuses(half));
        sim.advance(200);
        assertEquals(List.of(1L, 0L), List.of(closed(half), closed(headerOnly)));
        sim.send(headerOnly, Arrays.copyOfRange(request, 3, request.length / 2));
        assertEquals(List.of(503, 503), statuses(headerOnly));
        sim.advance(100);
        assertEquals(1, closed(headerOnly));
    }

    /** Guards against a busy connection that stays open until the kill, as each answer puts its close off. */
    @Test
    void connectionThatIsQuietOnlyBetweenItsRequestsIsClosedNearTheStop() {
        sim.boot();
        long notice = sim.now;
        sim.backend.drain(notice);
        advanceTo(notice + FIRST_BYTE_TENTHS_MS);
        int conn = sim.openCaller();
        sim.send(conn, health(1));
        advanceTo(notice + LISTENER_CLOSES_TENTHS_MS + 10);
        sim.unread.add(conn);
        sim.backend.listenerClosed();
        for (int id = 2; id < 40 && closed(conn) == 0; id++) {
            sim.unread.add(conn);
            sim.send(conn, health(id));
            sim.advance(20);
            sim.unread.clear();
            sim.advance(30);
        }
        assertEquals(1, closed(conn));
    }
}
