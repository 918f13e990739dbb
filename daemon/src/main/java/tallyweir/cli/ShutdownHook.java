package tallyweir.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.time.LocalTime;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.TimeUnit;
import tallyweir.durable.FileStore;
import tallyweir.net.Server;

/**
 * The JVM's shutdown hook, registered before anything else is started. The notice to shut down may come before the
 * server exists, or at the moment it begins to listen. In either case the server does not listen at all, or every
 * caller that could connect is answered.
 */
final class ShutdownHook implements Runnable {
    private static final long FINAL_COUNTERS_MS = 100; // before the stop; long enough to print the counters
    private static final long MAX_WAIT_AFTER_STOP_MS = 2_000; // after the stop; then the process ends without a kill

    private static final DateTimeFormatter TIME_FORMAT = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");

    private final long stopAfterMs;
    private final PrintStream err;
    private boolean shutdownRequested;
    private Server server; // null until it listens
    private FileStore store; // null for none

    /** @param stopAfterMs milliseconds between the notice to shut down and the kill */
    ShutdownHook(long stopAfterMs, PrintStream err) {
        this.stopAfterMs = stopAfterMs;
        this.err = err;
    }

    /**
     * Makes the server listen, unless the notice to shut down has come.
     *
     * @param store closed at the shutdown, null for none
     * @return whether the server listens
     */
    synchronized boolean listenUnlessShutdown(Server server, FileStore store) throws IOException {
        if (shutdownRequested) {
            return false;
        }
        server.bind();
        this.server = server;
        this.store = store;
        return true;
    }

    private synchronized Server requestShutdown() {
        shutdownRequested = true;
        return server;
    }

    /** Prints instead of logging, as the JVM may have shut logging down by now. */
    @Override
    public void run() {
        Server listeningServer = requestShutdown();
        if (listeningServer == null) {
            return;
        }
        listeningServer.onListenerClosed(() -> print("listens no more; " + listeningServer.counters()));
        listeningServer.drain();
        print("told to leave; " + listeningServer.counters());
        long finalCountersAfterMs = Math.max(0, stopAfterMs - FINAL_COUNTERS_MS);
        pause(finalCountersAfterMs);
        print("at the stop; " + listeningServer.counters());
        listeningServer.leaveFleet();
        if (store != null) {
            store.close();
            print("the store is closed; " + store.store().figures().toMap());
        }
        pause(stopAfterMs - finalCountersAfterMs + MAX_WAIT_AFTER_STOP_MS);
    }

    private void print(String message) {
        err.println(LocalTime.now().format(TIME_FORMAT) + " tallyweir: " + message);
    }

    private static void pause(long durationMs) {
        try {
            TimeUnit.MILLISECONDS.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
