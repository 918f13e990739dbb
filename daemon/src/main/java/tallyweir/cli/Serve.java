package tallyweir.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.EnumSet;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;
import tallyweir.backend.WarmUp;
import tallyweir.config.Config;
import tallyweir.config.InvalidSettingException;
import tallyweir.config.OperatorSettings;
import tallyweir.config.Settings;
import tallyweir.durable.FileStore;
import tallyweir.durable.StepTimes;
import tallyweir.fleet.FleetClients;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.Guard;
import tallyweir.net.Server;
import tallyweir.results.DurableResultStore;
import tallyweir.results.IdempotencyTracker;
import tallyweir.results.Settling;

/** The subcommand that starts one backend and runs it until it is told to shut down. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);

    private Serve() {}

    /**
     * Runs the backend on the calling thread.
     *
     * @return the exit code: 2 for a faulty configuration; 1 if the store, the fleet or the address cannot be opened,
     *     or if the server ends by itself; 0 if the notice to shut down came before it listened
     */
    public static int serve(Map<String, String> environment, PrintStream err) {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tH:%1$tM:%1$tS.%1$tL %4$s %5$s%6$s%n");
        Config config;
        OperatorSettings operators;
        Settings shadow;
        try {
            config = Config.read(environment);
            operators = OperatorSettings.read(environment);
            shadow = operators.shadowSettings(config.settings);
        } catch (InvalidSettingException e) {
            err.println("tallyweir: " + e.getMessage());
            return 2;
        }
        ShutdownHook shutdownHook = new ShutdownHook(config.shutdownTimeoutTenthsMs / 10, err);
        Runtime.getRuntime().addShutdownHook(new Thread(shutdownHook, "leave"));
        FileStore store = null;
        try {
            store = openStore(operators);
        } catch (IOException e) {
            err.println("tallyweir: the store cannot be opened: " + e.getMessage());
            return 1;
        }
        WarmUp.run(config);
        Server server = createServer(config, operators, store);
        server.compareWith(shadow);
        if (store != null) {
            server.addCounters("durable_", store.store().figures()::toMap);
            StepTimes times = store.times();
            server.addCounters("durable_tenth_ms_", () -> times.toMap(System.nanoTime()));
        }
        try {
            joinFleet(server, config, operators);
        } catch (FleetException e) {
            err.println(
                    "tallyweir: " + e.fault().description() + "; " + e.fault().advice());
            return 1;
        } catch (InvalidSettingException e) {
            err.println("tallyweir: " + e.getMessage());
            return 2;
        }
        try {
            if (!shutdownHook.listenUnlessShutdown(server, store)) {
                return 0; // told to shut down before anybody could connect
            }
        } catch (IOException e) {
            err.println("tallyweir: cannot listen on " + config.listen + ": " + e.getMessage());
            return 1;
        }
        ConfigReloader reloader = new ConfigReloader(server, environment);
        server.lookAgain(reloader::look);
        // The parent process may ignore the signal (nohup does). That is inherited and the JVM does not change it, so
        // no signal would ever arrive.
        if (Signal.handle(new Signal("HUP"), signal -> reloader.onSignal()) == SignalHandler.SIG_IGN) {
            LOG.warn("SIGHUP is ignored since the start: the configuration's file is watched instead");
            reloader.pollFile();
        }
        if (store != null) {
            store.committer().onFenced(() -> new Thread(Serve::shutDownAfterTakeover, "taken over").start());
        }
        // Logging loads its classes at the first line. When the first line came only after descriptors had run out, the
        // load failed and ended the accepting thread.
        LOG.atInfo()
                .addKeyValue("name", config.name)
                .addKeyValue("address", server.address())
                .log("listens");
        server.run();
        return 1;
    }

    /** Makes the server a member of the fleet, if the operators' file configures one. */
    private static void joinFleet(Server server, Config config, OperatorSettings operators) {
        if (!operators.inFleet()) {
            return;
        }
        Set<Guard> disabledGuards = disabledGuards("tallyweir.drill.fleet.without", Guard.class);
        FleetClients clients = ServiceLoader.load(FleetClients.class)
                .findFirst()
                .orElseThrow(() -> new InvalidSettingException(
                        "fleet needs the program with all its libraries: start it with bin/tallyweir serve"));
        server.joinFleet(
                operators.openFleet(clients, config.name, config.settings.maxHardLimit(), disabledGuards),
                operators.fleetName(),
                operators.lingerTenthsMs(),
                operators.leaseTenthsMs() / 100,
                operators.withdrawsWhenOut(),
                disabledGuards);
    }

    /** Opens the store; null if none is configured. */
    private static FileStore openStore(OperatorSettings operators) throws IOException {
        if (!operators.hasDurableStore()) {
            return null;
        }
        FileStore store = operators.openDurableStore();
        LOG.atInfo()
                .addKeyValue("keys", store.store().keyCount())
                .addKeyValue("opening", store.store().openingCount())
                .addKeyValue("from_snapshot", store.store().openedFromSnapshot())
                .log("the store is open");
        try {
            store.openAdminSocket(
                    operators.adminSocket(),
                    operators.retainsResults() ? Settling.commands(store.store(), store.committer()) : Map.of());
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("fault", e.getMessage()).log("the admin socket of the store could not be opened");
        }
        return store;
    }

    /** The guards that a drill has disabled by a system property, to show that they are needed. */
    private static <G extends Enum<G>> Set<G> disabledGuards(String property, Class<G> guards) {
        Set<G> disabled = EnumSet.noneOf(guards);
        for (String name : System.getProperty(property, "").split(",")) {
            if (!name.isEmpty()) {
                disabled.add(Enum.valueOf(guards, name));
                LOG.atWarn().addKeyValue("guard", name).log("a guard is disabled for a drill: results can be wrong");
            }
        }
        return disabled;
    }

    private static Server createServer(Config config, OperatorSettings operators, FileStore store) {
        if (store == null || !operators.retainsResults()) {
            return new Server(config);
        }
        ExecutorService reads = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, "results reads");
            t.setDaemon(true);
            return t;
        });
        return new Server(
                config,
                deciding -> new DurableResultStore(
                        store.store(),
                        store.committer(),
                        deciding,
                        reads,
                        disabledGuards("tallyweir.drill.without", IdempotencyTracker.Guard.class)));
    }

    /**
     * Another process owns the store now. The shutdown hook answers the queries that are pending here, as on a notice.
     */
    private static void shutDownAfterTakeover() {
        LOG.error("another process has taken over the store; this one shuts down");
        System.exit(1);
    }
}
