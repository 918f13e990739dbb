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
import tallyweir.config.Config;
import tallyweir.config.InvalidSettingException;
import tallyweir.config.OperatorSettings;
import tallyweir.config.Settings;
import tallyweir.net.Server;

/**
 * Reads the configuration again on SIGHUP, when a peer cannot be reached, and when its file changes if SIGHUP is
 * ignored. It has its own thread from the start, so that reading the file delays no decision and a signal needs no new
 * thread. The file is read by that thread only, so that the newer of two versions is applied last. A faulty
 * configuration changes nothing and is read again later.
 */
final class ConfigReloader {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigReloader.class);
    private static final long RETRY_INTERVAL_MS = 250; // a file that was being written is usually complete by then
    private static final int MAX_DOUBLINGS = 7; // then a retry every half minute
    private static final long POLL_INTERVAL_MS = 250;

    private final Server server;
    private final Map<String, String> environment;
    private final Semaphore requests = new Semaphore(0);
    private volatile boolean signalled;
    private volatile boolean polling;
    private String fileState = ""; // the file's state when a change was last found
    private int consecutiveFaults;
    private String lastFault = "";

    ConfigReloader(Server server, Map<String, String> environment) {
        this.server = server;
        this.environment = environment;
        Thread t = new Thread(this::run, "configuration");
        t.setDaemon(true);
        t.start();
    }

    /** Reads the configuration again after a signal, and logs that. Any thread may call it. */
    void onSignal() {
        signalled = true;
        requests.release();
    }

    /** Reads the configuration again because a peer cannot be reached. Any thread may call it. */
    void look() {
        requests.release();
    }

    /**
     * Polls the file for changes from now on, every quarter of a second. Reads it at once, as it may have changed since
     * the start.
     */
    void pollFile() {
        polling = true;
        requests.release();
    }

    /** The file's modification time, size and identity as one text. */
    private static String fileState(Path path) {
        try {
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            return attributes.lastModifiedTime() + " " + attributes.size() + " " + attributes.fileKey();
        } catch (IOException e) {
            return ""; // for example while it is being replaced
        }
    }

    /** Waits until the file has changed or a reload is requested. */
    private void awaitChange() throws InterruptedException {
        while (!requests.tryAcquire(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
            String current = fileState(Path.of(environment.get("EDGE_CONFIG")));
            if (!current.equals(fileState)) {
                fileState = current;
                signalled = true;
                return;
            }
        }
    }

    private void run() {
        while (true) {
            try {
                if (consecutiveFaults == 0 && polling) {
                    awaitChange();
                } else if (consecutiveFaults == 0) {
                    requests.acquire();
                } else {
                    requests.tryAcquire(
                            RETRY_INTERVAL_MS << Math.min(MAX_DOUBLINGS, consecutiveFaults - 1), TimeUnit.MILLISECONDS);
                }
                requests.drainPermits();
                boolean alwaysLog = signalled;
                signalled = false;
                read(alwaysLog);
                consecutiveFaults = 0;
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                logFault(e);
            }
        }
    }

    private void read(boolean alwaysLog) {
        Config config = Config.read(environment);
        server.updatePeerAddresses(config);
        readShadowSettings(config.settings);
        if (alwaysLog || consecutiveFaults > 0) {
            LOG.atInfo()
                    .addKeyValue("kernel", config.kernel)
                    .addKeyValue("store", config.store)
                    .addKeyValue("announce", config.announce)
                    .log("told to read the configuration again");
        }
    }

    /** Logs a fault, but not again while successive attempts fail with the same one. */
    private void logFault(Throwable e) {
        String message = e instanceof InvalidSettingException ? e.getMessage() : e.toString();
        if (consecutiveFaults++ == 0 || !message.equals(lastFault)) {
            LOG.atWarn()
                    .addKeyValue("fault", message)
                    .log("told to read the configuration again, the old one stays in force");
        }
        lastFault = message;
    }

    /** A fault in the operators' shadow settings must not delay new peer addresses, so it is only logged. */
    private void readShadowSettings(Settings inForce) {
        try {
            server.compareWith(OperatorSettings.read(environment).shadowSettings(inForce));
        } catch (InvalidSettingException e) {
            LOG.atWarn().addKeyValue("fault", e.getMessage()).log("what is watched stays as it was");
        }
    }
}
