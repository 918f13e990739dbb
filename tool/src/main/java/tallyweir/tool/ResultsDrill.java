package tallyweir.tool;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.durable.Both;
import tallyweir.durable.Durable;
import tallyweir.durable.FileDisk;
import tallyweir.durable.FileStore;
import tallyweir.durable.View;
import tallyweir.results.DurableShelf;
import tallyweir.results.Marks;
import tallyweir.stand.History;
import tallyweir.stand.StandKernel;
import tallyweir.stand.StandSidecar;

@Command(name = "drill", mixinStandardHelpOptions = true,
        description = "Runs a backend that keeps results, on loopback, between stand-ins for its kernel and its sidecars, and"
                + " kills it and its kernel at random moments. Exit code 1 if a mark ran twice, answers differ, or one"
                + " is missing.")
final class ResultsDrill implements Callable<Integer> {
    private static final int CLIENTS = 24;
    private static final int CORES = 8;
    private static final int PATIENCE = 1_500;
    private static final int SLACK = 3_000;  // past the due time: a machine that stands still is not a missing answer
    private static final int BOUND_MB = 4;
    private static final int FORCE_EVERY_MS = 25;  // as a slow disk would: kills fall between a write and its force

    @Option(names = "--seed", defaultValue = "1", description = "All chance hangs on it, but for what clocks and threads"
            + " bring (${DEFAULT-VALUE}).")
    private long seed;
    @Option(names = "--seconds", defaultValue = "20", description = "How long (${DEFAULT-VALUE}).")
    private int seconds;
    @Option(names = "--dir", required = true, description = "A directory for the drill's own files; made if not there.")
    private Path dir;
    @Option(names = "--without", description = "Switch a guard off, to see that it is needed: ${COMPLETION-CANDIDATES}.")
    private Marks.Guard[] without = {};
    @Option(names = "--results", defaultValue = "on", description = "on, or off to see that it fails without.")
    private String results;
    @Spec
    private CommandSpec spec;

    private final History history = new History();
    private final AtomicInteger marks = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean stop;
    private Program program;
    private int kills;

    @Override
    public Integer call() throws Exception {
        if (seconds < 1 || seconds > 3_600 || !Set.of("on", "off").contains(results)) {
            throw new ParameterException(spec.commandLine(), "--seconds takes 1 to 3600, --results on or off");
        }
        PrintWriter out = spec.commandLine().getOut();
        Files.createDirectories(dir);
        for (String copy : List.of("store/first", "store/second")) {
            Program.clear(dir.resolve(copy));
        }
        SplittableRandom chance = new SplittableRandom(seed);
        try (StandKernel kernel = new StandKernel(history, CORES, chance.nextLong());
                Program p = new Program(dir, results.equals("on"), List.of("-Dtallyweir.drill.without="
                        + String.join(",", Arrays.stream(without).map(Enum::name).toList())))) {
            program = p;
            Files.writeString(dir.resolve("config.json"),
                    Program.config(p.port(), kernel.port(), seed, CORES, 3_600_000_000L, 256, 1_000));
            Files.writeString(dir.resolve("operators.json"), "{\"results\":{\"bound_mb\":" + BOUND_MB
                    + "},\"durable\":{\"dir\":\"" + dir.resolve("store") + "\",\"segment_mb\":1,\"force_every_ms\":" + FORCE_EVERY_MS + "}}");
            p.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SplittableRandom own = chance.split();
                Thread t = new Thread(() -> client(own), "client");
                clients.add(t);
                t.start();
            }
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            while (System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(chance.nextInt(300, 4_000));
                int who = chance.nextInt(4);
                if (who == 0) {
                    kernel.kill();
                } else {
                    p.kill();
                    if (who == 1) {
                        kernel.kill();
                    }
                    p.start();
                }
                kills++;
            }
            stop = true;
            for (Thread t : clients) {
                t.join();
            }
            p.kill();
        } finally {
            stop = true;
        }
        return verdict(out);
    }

    private int verdict(PrintWriter out) throws IOException {
        long over = 0;
        if (results.equals("on")) {
            try (Durable d = new Durable(new FileDisk(dir.resolve("store/first")), new FileDisk(dir.resolve("store/second")),
                    Both.IN_TURN, 1 << 20, 4_096, 0.5, 0, List.of(), seed, FileStore::clock, Runnable::run, Set.of());
                    View view = d.view()) {
                over = view.bytes(DurableShelf.RESULTS) > (long) BOUND_MB << 20 ? 1 : 0;
            }
        }
        History.Verdict v = history.verdict();
        out.println("handled marks " + v.handled() + ", of them handled more than once " + v.repeatsHandled()
                + ", requests " + requests.get());
        out.println("results drill: kills " + kills + ", keys " + v.keys() + ", ran twice " + v.ranTwice()
                + ", answers differing " + v.differing() + ", unanswered " + v.unanswered() + ", over bound " + over
                + ", memory max " + program.memoryMost() + " MB of " + Program.MEMORY_MB);
        boolean good = v.ranTwice() + v.differing() + v.unanswered() + over == 0 && program.memoryMost() <= Program.MEMORY_MB
                && v.handled() > 0 && kills > 0;
        return good ? 0 : 1;
    }

    /** Asks on and on: a new mark, or one asked before, by whoever. */
    private void client(SplittableRandom chance) {
        while (!stop) {
            try (StandSidecar s = new StandSidecar(program.port())) {
                boolean up = true;
                while (up && !stop) {
                    up = ask(s, chance);
                }
            } catch (IOException e) {
                pause(20);
            }
        }
    }

    private static void pause(int milliseconds) {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean ask(StandSidecar s, SplittableRandom chance) {
        int known = marks.get();
        int recent = Math.min(known, 400);
        boolean again = recent > 0 && chance.nextInt(3) > 0;
        String mark = "m" + (again ? known - 1 - chance.nextInt(recent) : marks.getAndIncrement());
        String job = String.format("%08x%08x", chance.nextInt(), requests.incrementAndGet());
        Map<String, String> p = new LinkedHashMap<>();
        p.put("REQUEST_METHOD", "POST");
        p.put("SCRIPT_NAME", "/do/reset");
        p.put("HTTP_REQUEST_ID", job);
        p.put("HTTP_RECEIVED_AT", Long.toString(System.currentTimeMillis()));
        p.put("HTTP_SENT_BY", "1");
        p.put("HTTP_BUDGET_MS", Integer.toString(PATIENCE));
        p.put("HTTP_FOOTPRINT_KB", "4");
        p.put("HTTP_PRIORITY_RANK", "0.5");
        p.put("HTTP_ONCE_KEY", mark);
        history.add(History.What.ASKED, mark, job, "");
        long asked = System.nanoTime();
        StandSidecar.Answer a = s.ask(p, mark + " body", PATIENCE + SLACK);
        boolean wasUp = program.listening();
        History.What what = switch (a.status()) {
            case 200 -> History.What.HANDLED;
            case 429, 503 -> History.What.DEFERRED;
            case 0 -> History.What.BROKEN;
            case -1 -> wasUp ? History.What.NOTHING : History.What.BROKEN;
            default -> History.What.ERRORED;
        };
        boolean atOnce = System.nanoTime() - asked < PATIENCE / 2 * 1_000_000L;
        history.add(what, mark, job, what == History.What.ERRORED ? atOnce ? "at once" : "late" : a.body());
        if (what == History.What.DEFERRED) {
            pause(20);
        }
        return a.status() > 0;
    }
}
