package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import tallyweir.stand.StandInSidecar;

/**
 * Asks a server for its workloads in turn, one query after the other, and notes which store each query's call reached. Where
 * each revision has a store of its own for all workloads, the stores come in the order of the revisions; a server that goes by
 * parts of two revisions is seen to go back.
 */
final class RouteWatcher implements AutoCloseable {
    private static final int ANSWER_MS = 5_000;
    private static final int AGAIN_MS = 30;
    private static final int POLL_MS = 5;
    private static final long LATER_QUERY_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final FleetStage stage;
    private final Program server;
    private final Thread thread = new Thread(this::run, "route watcher");
    private final List<Integer> stores = new ArrayList<>();
    private int severalStores;
    private volatile long lastBeganAt = System.nanoTime(); // when the last query began that called a store
    private volatile boolean stop;

    RouteWatcher(FleetStage stage, int server) {
        this.stage = stage;
        this.server = stage.servers.get(server);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        for (int turn = 0; !stop; turn++) {
            String workload = FleetStage.WORKLOADS.get(turn % FleetStage.WORKLOADS.size());
            try (StandInSidecar sidecar = new StandInSidecar(server.port())) {
                ask(sidecar, workload);
            } catch (IOException e) {
                pause(); // it does not listen at the moment
            }
        }
    }

    private void ask(StandInSidecar sidecar, String workload) {
        String job = stage.job();
        long beganAt = System.nanoTime();
        int status = FleetStage.ask(sidecar, job, FleetStage.FREE, workload, ANSWER_MS)
                .status();
        List<Integer> called = stage.storesOf(job);
        severalStores += called.size() > 1 ? 1 : 0;
        if (called.size() == 1) {
            stores.add(called.get(0));
            lastBeganAt = beganAt;
        }
        if (status != 200) {
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws InterruptedException {
        stop = true;
        thread.join();
    }

    /**
     * Waits for one query more: a query that began before the last revision was in force goes by the one before, and it may
     * have been the last that was asked.
     */
    private void awaitLaterQuery() throws InterruptedException {
        long now = System.nanoTime();
        while (lastBeganAt - now < 0) {
            assertTrue(System.nanoTime() - now < LATER_QUERY_NANOS, "no later query has called a store: " + stores);
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    /**
     * To be called once the last revision is in force, as one query more is asked then. Ends it; every query reached one store,
     * and the stores were these in this order, of which all but the last may be left out.
     */
    void assertStores(List<Integer> inOrder) throws InterruptedException {
        awaitLaterQuery();
        close();
        assertEquals(0, severalStores, "queries that called at several stores");
        int at = 0;
        for (int store : stores) {
            while (at < inOrder.size() && inOrder.get(at) != store) {
                at++;
            }
            assertTrue(at < inOrder.size(), "store " + store + " after a later revision: " + stores);
        }
        assertEquals(inOrder.size() - 1, at, "the last revision was not seen: " + stores);
    }
}
