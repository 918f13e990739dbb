package tallyweir.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.time.LocalTime;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.TimeUnit;
import tallyweir.durable.FileStore;
import tallyweir.net.Server;

/**
 * What the virtual machine waits for before it ends, from the first moment on: the notice to leave may come before there is
 * anything to leave, and in the moment in which the server begins to listen. Then either nobody could connect, or all
 * who did are seen off.
 */
final class Leaving implements Runnable {
    private static final long LAST_WORDS_MS = 100; // before the stop: the counters are out by then
    private static final long PAST_STOP_MS = 2_000; // for whoever sends the notice and never kills

    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");

    private final long stopMs;
    private final PrintStream err;
    private boolean told;
    private Server server; // null while nobody can connect
    private FileStore store; // null for none

    Leaving(long stopMs, PrintStream err) {
        this.stopMs = stopMs;
        this.err = err;
    }

    /** Listens, unless the notice came before: then false. */
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

    /** Logging may have ended by now, so the last words are printed. */
    @Override
    public void run() {
        Server leaves = told();
        if (leaves == null) {
            return;
        }
        leaves.whenListenerCloses(() -> say("listens no more; " + leaves.counters()));
        leaves.drain();
        say("told to leave; " + leaves.counters());
        long words = Math.max(0, stopMs - LAST_WORDS_MS);
        pause(words);
        say("at the stop; " + leaves.counters());
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
