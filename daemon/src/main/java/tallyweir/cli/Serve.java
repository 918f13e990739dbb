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
import tallyweir.backend.Rehearsal;
import tallyweir.config.BadSetting;
import tallyweir.config.Config;
import tallyweir.config.Operators;
import tallyweir.config.Settings;
import tallyweir.durable.FileStore;
import tallyweir.durable.Times;
import tallyweir.fleet.FleetClients;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.Guard;
import tallyweir.net.Server;
import tallyweir.results.DurableResultStore;
import tallyweir.results.Marks;
import tallyweir.results.Settling;

/** One real backend: starts it, and sees it off when it is told to leave. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);

    private Serve() {}

    /** Returns only where it cannot start: 2 for a faulty configuration, 1 for an address it cannot have. */
    public static int serve(Map<String, String> environment, PrintStream err) {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tH:%1$tM:%1$tS.%1$tL %4$s %5$s%6$s%n");
        Config config;
        Operators operators;
        Settings watched;
        try {
            config = Config.read(environment);
            operators = Operators.read(environment);
            watched = operators.watched(config.settings);
        } catch (BadSetting e) {
            err.println("tallyweir: " + e.getMessage());
            return 2;
        }
        Leaving leaving = new Leaving(config.stopAfter / 10, err);
        Runtime.getRuntime().addShutdownHook(new Thread(leaving, "leave"));
        FileStore store = null;
        try {
            store = open(operators);
        } catch (IOException e) {
            err.println("tallyweir: the store cannot be opened: " + e.getMessage());
            return 1;
        }
        Rehearsal.play(config);
        Server server = server(config, operators, store);
        server.watch(watched);
        if (store != null) {
            server.counts("durable_", store.store().figures()::all);
            Times times = store.times();
            server.counts("durable_tenth_ms_", () -> times.all(System.nanoTime()));
        }
        try {
            seat(server, config, operators);
        } catch (FleetException e) {
            err.println("tallyweir: " + e.fault().what() + "; " + e.fault().advice());
            return 1;
        } catch (BadSetting e) {
            err.println("tallyweir: " + e.getMessage());
            return 2;
        }
        try {
            if (!leaving.begins(server, store)) {
                return 0; // told to leave before anybody could have come
            }
        } catch (IOException e) {
            err.println("tallyweir: cannot listen on " + config.listen + ": " + e.getMessage());
            return 1;
        }
        Reload reload = new Reload(server, environment);
        server.lookAgain(reload::look);
        // Whoever starts it may ignore the signal (nohup does), which is inherited: the virtual machine then leaves it
        // so,
        // and no notice would ever come.
        if (Signal.handle(new Signal("HUP"), signal -> reload.told()) == SignalHandler.SIG_IGN) {
            LOG.warn("SIGHUP is ignored since the start: the configuration's file is watched instead");
            reload.watchFile();
        }
        if (store != null) {
            store.committer().onFenced(() -> new Thread(Serve::takenOver, "taken over").start());
        }
        // Logging loads what it needs at its first line. Where that came only once no descriptor was left, its
        // failure ended the thread that accepts.
        LOG.atInfo()
                .addKeyValue("name", config.name)
                .addKeyValue("address", server.address())
                .log("listens");
        server.run();
        return 1;
    }

    /** Gives the server its place in the fleet, where the operators' file has one. */
    private static void seat(Server server, Config config, Operators operators) {
        if (!operators.inFleet()) {
            return;
        }
        Set<Guard> without = off("tallyweir.drill.fleet.without", Guard.class);
        FleetClients clients = ServiceLoader.load(FleetClients.class)
                .findFirst()
                .orElseThrow(() -> new BadSetting(
                        "fleet needs the program with all its libraries: start it by bin/tallyweir serve"));
        server.seat(
                operators.openFleet(clients, config.name, config.settings.longestHard(), without),
                operators.fleetName(),
                operators.linger(),
                operators.lease() / 100,
                operators.standsBackWhenOut(),
                without);
    }

    /** The store, null where there is to be none. */
    private static FileStore open(Operators operators) throws IOException {
        if (!operators.hasDurable()) {
            return null;
        }
        FileStore store = operators.openDurable();
        LOG.atInfo()
                .addKeyValue("keys", store.store().keys())
                .addKeyValue("opening", store.store().opening())
                .addKeyValue("from_snapshot", store.store().openedFromSnapshot())
                .log("the store is open");
        try {
            store.openAdminSocket(
                    operators.adminSocket(),
                    operators.keepsResults() ? Settling.commands(store.store(), store.committer()) : Map.of());
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("fault", e.getMessage()).log("operators cannot ask this process about its store");
        }
        return store;
    }

    /** What a drill has switched off, to show that it is needed. */
    private static <G extends Enum<G>> Set<G> off(String property, Class<G> guards) {
        Set<G> off = EnumSet.noneOf(guards);
        for (String name : System.getProperty(property, "").split(",")) {
            if (!name.isEmpty()) {
                off.add(Enum.valueOf(guards, name));
                LOG.atWarn().addKeyValue("guard", name).log("a drill has switched a guard off: results can be wrong");
            }
        }
        return off;
    }

    private static Server server(Config config, Operators operators, FileStore store) {
        if (store == null || !operators.keepsResults()) {
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
                        off("tallyweir.drill.without", Marks.Guard.class)));
    }

    /** Another process has the store now: whoever has been asked here is answered, and then it ends as on notice. */
    private static void takenOver() {
        LOG.error("another process has taken the store over; this one leaves");
        System.exit(1);
    }
}
