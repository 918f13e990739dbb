package tallyweir.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.config.BadSetting;
import tallyweir.config.Config;
import tallyweir.config.Operators;
import tallyweir.config.Settings;
import tallyweir.net.Server;

/**
 * Reads the configuration again: when told to, when a peer is missing, and, where no notice can come, when its file changes. On a thread of its own that is there from the
 * start, so that reading the file holds up no decision and a notice needs no new thread; one at a time, so that of two
 * notices the one that read the newer file comes last. What is faulty changes nothing, and is looked at again.
 */
final class Reload {
    private static final Logger LOG = LoggerFactory.getLogger(Reload.class);
    private static final long AGAIN_MS = 250; // a file that is being written is whole by then
    private static final int DOUBLED_MOST = 7; // then every half minute
    private static final long WATCH_MS = 250;

    private final Server server;
    private final Map<String, String> environment;
    private final Semaphore asked = new Semaphore(0);
    private volatile boolean told;
    private volatile boolean watches;
    private String file = ""; // how it looked when it was read last
    private int faults;
    private String lastFault = "";

    Reload(Server server, Map<String, String> environment) {
        this.server = server;
        this.environment = environment;
        Thread t = new Thread(this::run, "configuration");
        t.setDaemon(true);
        t.start();
    }

    /** The notice came. */
    void told() {
        told = true;
        asked.release();
    }

    /** A peer is missing. */
    void look() {
        asked.release();
    }

    /** From now on the file is looked at every quarter of a second; it may have changed since the start, so at once. */
    void watchFile() {
        watches = true;
        asked.release();
    }

    private static String look(Path at) {
        try {
            BasicFileAttributes is = Files.readAttributes(at, BasicFileAttributes.class);
            return is.lastModifiedTime() + " " + is.size() + " " + is.fileKey();
        } catch (IOException e) {
            return ""; // between the old one and the new one
        }
    }

    /** Waits until the file has changed or somebody asks. */
    private void awaitChange() throws InterruptedException {
        while (!asked.tryAcquire(WATCH_MS, TimeUnit.MILLISECONDS)) {
            String is = look(Path.of(environment.get("EDGE_CONFIG")));
            if (!is.equals(file)) {
                file = is;
                told = true;
                return;
            }
        }
    }

    private void run() {
        while (true) {
            try {
                if (faults == 0 && watches) {
                    awaitChange();
                } else if (faults == 0) {
                    asked.acquire();
                } else {
                    asked.tryAcquire(AGAIN_MS << Math.min(DOUBLED_MOST, faults - 1), TimeUnit.MILLISECONDS);
                }
                asked.drainPermits();
                boolean loud = told;
                told = false;
                read(loud);
                faults = 0;
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                fault(e);
            }
        }
    }

    private void read(boolean loud) {
        Config config = Config.read(environment);
        server.move(config);
        watch(config.settings);
        if (loud || faults > 0) {
            LOG.atInfo()
                    .addKeyValue("kernel", config.kernel)
                    .addKeyValue("store", config.store)
                    .addKeyValue("announce", config.announce)
                    .log("told to read the configuration again");
        }
    }

    /** Logged once for each kind of fault, however often it is found. */
    private void fault(Throwable e) {
        String is = e instanceof BadSetting ? e.getMessage() : e.toString();
        if (faults++ == 0 || !is.equals(lastFault)) {
            LOG.atWarn()
                    .addKeyValue("fault", is)
                    .log("told to read the configuration again, the old one stays in force");
        }
        lastFault = is;
    }

    /** What operators want watched holds up no move of the platform's. */
    private void watch(Settings inForce) {
        try {
            server.watch(Operators.read(environment).watched(inForce));
        } catch (BadSetting e) {
            LOG.atWarn().addKeyValue("fault", e.getMessage()).log("what is watched stays as it was");
        }
    }
}
