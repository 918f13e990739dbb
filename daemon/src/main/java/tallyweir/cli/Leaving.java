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
final class Leaving implements Runnable {
    private static final long LAST_WORDS_MS = 100; // before the stop; long enough to print the counters
    private static final long PAST_STOP_MS = 2_000; // after the stop; then the process ends without a kill

    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");

    private final long stopMs;
    private final PrintStream err;
    private boolean told;
    private Server server; // null until it listens
    private FileStore store; // null for none

    /** @param stopMs milliseconds between the notice to shut down and the kill */
    Leaving(long stopMs, PrintStream err) {
        this.stopMs = stopMs;
        this.err = err;
    }

    /**
     * Makes the server listen, unless the notice to shut down has come.
     *
     * @param store closed at the shutdown, null for none
     * @return whether the server listens
     */
    synchronized boolean begins(Server server, FileStore store) throws IOException {
        if (told) {
            return false;
        }
        server.bind();
        this.server = server;
        this.store = store;
        return true;
    }

    private synchronized Server told() {
        told = true;
        return server;
    }

    /** Prints instead of logging, as the JVM may have shut logging down by now. */
    @Override
    public void run() {
        Server leaves = told();
        if (leaves == null) {
            return;
        }
        leaves.whenListenerCloses(() -> say("listener closed; " + leaves.counters()));
        leaves.drain();
        say("shutting down; " + leaves.counters());
        long words = Math.max(0, stopMs - LAST_WORDS_MS);
        pause(words);
        say("final counters; " + leaves.counters());
        leaves.leaveFleet();
        if (store != null) {
            store.close();
            say("the store is closed; " + store.store().figures().all());
        }
        pause(stopMs - words + PAST_STOP_MS);
    }

    private void say(String what) {
        err.println(LocalTime.now().format(TIME) + " tallyweir: " + what);
    }

    private static void pause(long milliseconds) {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
