package tallyweir.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.fleet.Guard;
import tallyweir.stand.FaultRelay;
import tallyweir.stand.History;
import tallyweir.stand.StandInSidecar;

@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description =
                "Runs a fleet of processes of the program on loopback, kills, stops and cuts them off in turn while revisions"
                        + " change and a tenant stands at its cap, and judges it by what stand-ins and operators saw. Exit code 1 if a"
                        + " query was under two revisions, what was acknowledged is lost, a server is unaccounted for, a cap was"
                        + " exceeded, a query ran twice or was not answered; 1 also if nothing was cut, killed, rolled back or capped.",
        footer = {"", "--without WHOLE must fail here; the other guards are missed by fleet explore --without."})
final class FleetDrill implements Callable<Integer> {
    private static final int CAP = 12;
    private static final int CALLERS = 6; // of each server, of the capped tenant
    private static final int STORES = 4;
    private static final int CALLS = 2;
    private static final int LEASE_MS = 2_000;
    private static final int ANSWER_MS = 4_500;
    private static final int SETTLE_S = 40;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "All chance hangs on it, but for what clocks and threads" + " bring (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--servers", defaultValue = "4", description = "Processes, 3 of them voters (${DEFAULT-VALUE}).")
    private int size;

    @Option(
            names = "--seconds",
            defaultValue = "40",
            description = "How long faults are drawn, and each once in any case" + " (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--dir", required = true, description = "A directory for the drill's own files; made if not there.")
    private Path dir;

    @Option(
            names = "--without",
            description = "Switch a guard off, to see that it is needed: ${COMPLETION-CANDIDATES}.")
    private Guard[] without = {};

    @Spec
    private CommandSpec spec;

    /** What happens; each comes once before any comes again, so that no drill shows nothing. */
    private enum Event {
        KILL,
        STOP_SHORT,
        STOP_LONG,
        RESET,
        SILENCE,
        ONE_WAY,
        NO_MAJORITY,
        PUBLISH,
        PUBLISH_AGAIN,
        CHANGE,
        CHANGE_AGAIN,
        ROLLBACK
    }

    private final History history = new History();
    private final List<FleetStage.Open> opened = Collections.synchronizedList(new ArrayList<>());
    private final Set<String> asked = ConcurrentHashMap.newKeySet();
    private final AtomicInteger handled = new AtomicInteger();
    private final AtomicInteger capped = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final TreeMap<Long, String> acknowledged = new TreeMap<>(); // revisions, with their reasons
    private final Set<Integer> disturbed = ConcurrentHashMap.newKeySet();
    private volatile boolean stop;
    private FleetStage stage;
    private int kills;
    private int cuts;
    private int stops;
    private int changes;
    private int byKey;
    private int rollbacks;
    private int names;

    @Override
    public Integer call() throws Exception {
        if (size < 3 || size > 27 || seconds < 1 || seconds > 3_600) {
            throw new ParameterException(spec.commandLine(), "--servers takes 3 to 27, --seconds 1 to 3600");
        }
        PrintWriter out = spec.commandLine().getOut();
        Files.createDirectories(dir);
        SplittableRandom chance = new SplittableRandom(seed);
        String off = String.join(",", Arrays.stream(without).map(Enum::name).toList());
        JsonNode audit;
        try (FleetStage s = new FleetStage(
                dir, size, STORES, history, CALLS, LEASE_MS, List.of("-Dtallyweir.drill.fleet.without=" + off))) {
            stage = s;
            settle();
            publish(0);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                for (int n = 0; n < CALLERS; n++) {
                    callers.add(caller(i, n == 0 ? FleetStage.FREE : FleetStage.CAPPED));
                }
            }
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            List<Event> deck = new ArrayList<>();
            for (int played = 0; played < Event.values().length || System.nanoTime() < end; played++) {
                if (deck.isEmpty()) {
                    deck.addAll(List.of(Event.values()));
                    for (int i = deck.size(); i > 1; i--) {
                        Collections.swap(deck, i - 1, chance.nextInt(i));
                    }
                }
                play(deck.remove(0), chance);
            }
            audit = settle();
            stop = true;
            for (Thread t : callers) {
                t.join();
            }
        }
        return verdict(out, audit);
    }

    // ---- faults

    private void play(Event e, SplittableRandom chance) throws IOException, InterruptedException {
        int at = chance.nextInt(size);
        int store = chance.nextInt(STORES);
        switch (e) {
            case KILL -> {
                kills++;
                disturbed.add(at);
                stage.servers.get(at).kill();
                if (chance.nextBoolean()) {
                    publish(store); // while it is gone
                }
                stage.servers.get(at).start();
            }
            case STOP_SHORT -> stop(at, chance.nextInt(100, LEASE_MS / 2));
            case STOP_LONG -> stop(at, 3 * LEASE_MS + chance.nextInt(LEASE_MS));
            case RESET -> cut(stage.around(at), at, FaultRelay::resetAll, store, chance);
            case SILENCE -> cut(stage.around(at), at, r -> r.stall(true, true), store, chance);
            case ONE_WAY -> cut(stage.around(at), at, r -> r.stall(true, false), store, chance);
            case NO_MAJORITY -> {
                cuts++;
                stage.all().forEach(FaultRelay::resetAll);
                TimeUnit.MILLISECONDS.sleep(LEASE_MS + chance.nextInt(LEASE_MS));
                stage.all().forEach(FaultRelay::endFaults);
            }
            case ROLLBACK -> {
                List<Long> all = new ArrayList<>(acknowledged.keySet());
                if (!all.isEmpty()) {
                    rollbacks++;
                    change("rollback", "--to", Long.toString(all.get(chance.nextInt(all.size()))));
                }
            }
            case CHANGE, CHANGE_AGAIN -> changeByKey(store);
            default -> publish(store);
        }
    }

    private void stop(int at, int milliseconds) throws IOException, InterruptedException {
        stops++;
        disturbed.add(at);
        stage.servers.get(at).pause();
        TimeUnit.MILLISECONDS.sleep(milliseconds);
        stage.servers.get(at).resume();
        stage.servers.get(at).again();
    }

    private interface Way {
        void apply(FaultRelay relay);
    }

    private void cut(List<FaultRelay> around, int at, Way how, int store, SplittableRandom chance)
            throws IOException, InterruptedException {
        cuts++;
        disturbed.add(at);
        around.forEach(how::apply);
        TimeUnit.MILLISECONDS.sleep(chance.nextInt(100, 2 * LEASE_MS));
        publish(store);
        around.forEach(FaultRelay::endFaults);
    }

    // ---- operators

    private void publish(int store) throws IOException, InterruptedException {
        changes++;
        change(
                "publish",
                stage.revision(store, ",\"caps\":{\"" + FleetStage.CAPPED + "\":" + CAP + "}")
                        .toString());
    }

    private void changeByKey(int store) throws IOException, InterruptedException {
        changes++;
        byKey++;
        change("change", stage.change(store, FleetStage.CAPPED, CAP).toString());
    }

    /** What an operator was told to be in force must be there at the end; what was left open may be there or not. */
    private void change(String... args) throws IOException, InterruptedException {
        List<String> all = new ArrayList<>(List.of(args));
        String why = "drill " + ++names;
        all.addAll(List.of(
                "--operators", stage.operators.toString(), "--why", why, "--follow-s", "8", "--give-up-ms", "6000"));
        for (String line : stage.command(all.toArray(new String[0]))) {
            if (line.matches("revision [0-9]+ (proposed|in force).*")) {
                acknowledged.put(Long.parseLong(line.split(" ")[1]), why);
            }
        }
    }

    /** Waits until every server is in and acts on what is in force, and returns the audit. */
    private JsonNode settle() throws IOException, InterruptedException {
        JsonNode audit = null;
        long end = System.nanoTime() + SETTLE_S * 1_000_000_000L;
        while (System.nanoTime() < end) {
            String said =
                    String.join("\n", stage.command("audit", "--json", "--operators", stage.operators.toString()));
            if (said.startsWith("{")) {
                audit = new ObjectMapper().readTree(said);
                if (unaccounted(audit) == 0) {
                    return audit;
                }
            }
        }
        return audit;
    }

    private int unaccounted(JsonNode audit) {
        int in = 0;
        for (JsonNode s : audit.get("servers")) {
            in += s.get("standing").textValue().equals("LIVE")
                            && !s.get("silent").booleanValue()
                            && !s.get("odd").booleanValue()
                            && s.get("acting").longValue()
                                    == audit.get("in_force").longValue()
                    ? 1
                    : 0;
        }
        return size - in;
    }

    // ---- callers

    private Thread caller(int server, String tenant) {
        Thread t = new Thread(
                () -> {
                    while (!stop) {
                        Program p = stage.servers.get(server);
                        long turn = p.turn();
                        String job = stage.job();
                        try (StandInSidecar s = new StandInSidecar(p.port())) {
                            asked.add(job);
                            history.add(History.EventType.REQUESTED, "m" + job, job, "");
                            int status =
                                    FleetStage.ask(s, job, tenant, ANSWER_MS).status();
                            if (status == 200) {
                                handled.incrementAndGet();
                                if (tenant.equals(FleetStage.CAPPED)) {
                                    opened.add(FleetStage.Open.until(System.nanoTime(), CALLS));
                                }
                            } else if (status <= 0 && p.listening() && p.turn() == turn) {
                                unanswered.incrementAndGet(); // it was up all the while
                            } else if (status == 503 && tenant.equals(FleetStage.CAPPED)) {
                                capped.incrementAndGet();
                            }
                            TimeUnit.MILLISECONDS.sleep(status == 200 ? 0 : 50);
                        } catch (IOException | InterruptedException e) {
                            pause(); // it does not listen at the moment
                        }
                    }
                },
                "caller");
        t.setDaemon(true);
        t.start();
        return t;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether a revision has a change with this reason among those it was made of. */
    private static boolean has(JsonNode audit, long revision, String why) {
        for (JsonNode r : audit.get("revisions")) {
            for (JsonNode change : r.get("changes")) {
                if (r.get("revision").longValue() == revision
                        && change.get("why").textValue().equals(why)) {
                    return true;
                }
            }
        }
        return false;
    }

    private int verdict(PrintWriter out, JsonNode audit) throws IOException {
        long mixed = asked.stream().filter(j -> stage.storesOf(j).size() > 1).count();
        int unaccounted = audit == null ? size : unaccounted(audit);
        int lost = 0;
        for (var e : acknowledged.entrySet()) {
            boolean there = false;
            if (audit != null) {
                there = has(audit, e.getKey(), e.getValue());
            }
            lost += there ? 0 : 1;
        }
        int most = FleetStage.Open.most(opened);
        int shutOut = 0;
        for (int i = 0; i < size; i++) {
            shutOut += (int) stage.log(i).stream()
                    .filter(l -> l.contains("is shut out:"))
                    .count();
        }
        int ranTwice = history.verdict().ranTwice();
        int overCap = Math.max(0, most - CAP);
        out.println("handled " + handled + ", turned down of the capped tenant " + capped + ", most of it at once "
                + most + " of " + CAP + ", revisions changed by key " + byKey);
        out.println("fleet drill: servers " + size + ", kills " + kills + ", cuts " + cuts + ", stops " + stops
                + ", revisions "
                + changes + ", rollbacks " + rollbacks + ", mixed " + mixed + ", lost " + lost + ", unaccounted "
                + unaccounted
                + ", over cap " + overCap + ", ran twice " + ranTwice + ", unanswered " + unanswered + ", brought up "
                + (disturbed.size() - Math.min(disturbed.size(), unaccounted)) + ", shut out " + shutOut);
        if (kills == 0 || cuts == 0 || rollbacks == 0 || byKey == 0 || capped.get() == 0 || acknowledged.isEmpty()) {
            out.println(
                    "void: nothing was cut, killed, changed by key, rolled back or held at a cap; give it more --seconds");
            return 1;
        }
        return mixed + lost + unaccounted + overCap + ranTwice + unanswered.get() == 0 ? 0 : 1;
    }
}
