package tallyweir.tool;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.durable.CopyExecutor;
import tallyweir.durable.Durable;
import tallyweir.durable.FileDisk;
import tallyweir.durable.FileStore;
import tallyweir.durable.View;
import tallyweir.results.DurableResultStore;
import tallyweir.stand.History;
import tallyweir.stand.StandInKernel;
import tallyweir.stand.StandInSidecar;

@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description =
                "Runs a backend that keeps results, on loopback, between stand-ins for its kernel and its sidecars, and"
                        + " kills it and its kernel at random moments. Exit code 1 if a mark ran twice, answers differ, or one"
                        + " is missing.")
final class ResultsDrill implements Callable<Integer> {
    private static final int CLIENTS = 24;
    private static final int CORES = 8;
    private static final int PATIENCE = 1_500;
    private static final int SLACK = 3_000; // past the due time: a machine that stands still is not a missing answer
    private static final int BOUND_MB = 2;
    private static final int RESULT_BYTES = 3_000;
    private static final int KILLED_MORE = 2;
    private static final int STOP_MS = 1_000;
    private static final int FORCE_EVERY_MS = 40; // as a slow disk would: kills fall between a write and its force

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "All chance hangs on it, but for what clocks and threads" + " bring (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seconds", defaultValue = "20", description = "How long (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--dir", required = true, description = "A directory for the drill's own files; made if not there.")
    private Path dir;

    @Option(
            names = "--without",
            description = "Switch a guard off, to see that it is needed: ${COMPLETION-CANDIDATES}.")
    private Off[] without = {};

    @Option(names = "--results", defaultValue = "on", description = "on, or off to see that it fails without.")
    private String results;

    @Spec
    private CommandSpec spec;

    private final History history = new History();
    private final AtomicInteger marks = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean stop;
    private volatile Program program;
    private volatile Program before; // one that was taken over from, while it still runs
    private final StandInKernel[] kernels = new StandInKernel[2];
    private final Map<Event, Integer> events = new EnumMap<>(Event.class);
    private int at;
    private int stayed;
    private long memoryMost;
    private int kills;

    /** What happens to the program; each comes once, kills a few times more, before any comes again. */
    private enum Event {
        KILLED,
        BOTH_KILLED,
        KERNEL_KILLED,
        TOLD_TO_LEAVE,
        KERNEL_MOVED,
        DAMAGED,
        TAKEN_OVER
    }

    /** What may be switched off. */
    enum Off {
        INTENT,
        ORDER,
        PROOF,
        RESTART,
        WINDOW,
        FENCE
    }

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
        try (StandInKernel kernel = new StandInKernel(history, CORES, chance.nextLong());
                StandInKernel other = new StandInKernel(history, CORES, chance.nextLong())) {
            kernel.setMaxExtraResultBytes(RESULT_BYTES);
            other.setMaxExtraResultBytes(RESULT_BYTES);
            kernels[0] = kernel;
            kernels[1] = other;
            Files.writeString(
                    dir.resolve("operators.json"),
                    "{\"results\":{\"bound_mb\":" + BOUND_MB + "},\"durable\":{\"dir\":\"" + dir.resolve("store")
                            + "\",\"segment_mb\":1,\"force_every_ms\":" + FORCE_EVERY_MS + "}}");
            configure();
            program = program();
            program.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SplittableRandom own = chance.split();
                Thread t = new Thread(() -> client(own), "client");
                clients.add(t);
                t.start();
            }
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            List<Event> deck = new ArrayList<>();
            while (System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(chance.nextInt(200, 1_500));
                if (deck.isEmpty()) {
                    deck.addAll(List.of(Event.values()));
                    deck.addAll(Collections.nCopies(KILLED_MORE, Event.KILLED));
                    deck.addAll(Collections.nCopies(KILLED_MORE, Event.BOTH_KILLED));
                    for (int i = deck.size(); i > 1; i--) {
                        Collections.swap(deck, i - 1, chance.nextInt(i));
                    }
                }
                Event e = deck.remove(0);
                play(e, chance);
                events.merge(e, 1, Integer::sum);
                kills++;
            }
            stop = true;
            for (Thread t : clients) {
                t.join();
            }
            program.kill();
        } finally {
            stop = true;
            for (Program p : new Program[] {program, before}) {
                if (p != null) {
                    p.close();
                }
            }
        }
        return verdict(out);
    }

    private Program program() throws IOException {
        List<String> flags = new ArrayList<>(List.of(
                "-Dtallyweir.drill.nolock=true",
                "-Dtallyweir.drill.without="
                        + String.join(
                                ",",
                                Arrays.stream(without)
                                        .filter(g -> g != Off.FENCE)
                                        .map(Enum::name)
                                        .toList())));
        if (List.of(without).contains(Off.FENCE)) {
            flags.add("-Dtallyweir.drill.nofence=true");
        }
        return new Program(dir, results.equals("on"), flags);
    }

    private void configure() throws IOException {
        Files.writeString(
                dir.resolve("config.json"),
                Program.config(kernels[at].port(), seed, CORES, 3_600_000_000L, 256, STOP_MS));
    }

    private void play(Event e, SplittableRandom chance) throws IOException, InterruptedException {
        switch (e) {
            case KERNEL_KILLED -> kernels[at].killAndRestart();
            case KILLED -> restart(() -> {});
            case BOTH_KILLED -> restart(() -> kernels[at].killAndRestart());
            case DAMAGED -> restart(() -> damage(chance));
            case TOLD_TO_LEAVE -> {
                program.leave(STOP_MS + 50);
                program.start();
            }
            case KERNEL_MOVED -> {
                at = 1 - at;
                configure();
                program.reload();
            }
            default -> takeOver(chance);
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private void restart(Work meanwhile) throws IOException, InterruptedException {
        program.kill();
        meanwhile.run();
        program.start();
    }

    /** Changes a byte of one file of one copy, or cuts the file off, or takes it away. */
    private void damage(SplittableRandom chance) throws IOException {
        Path copy = dir.resolve("store").resolve(chance.nextBoolean() ? "first" : "second");
        if (!Files.isDirectory(copy)) {
            return;
        }
        List<Path> files;
        try (Stream<Path> all = Files.list(copy)) {
            files = all.filter(f -> !f.endsWith("lock")).sorted().toList();
        }
        Path file = files.get(chance.nextInt(files.size()));
        byte[] bytes = Files.readAllBytes(file);
        int where = bytes.length == 0 ? 0 : chance.nextInt(bytes.length);
        switch (chance.nextInt(3)) {
            case 0 -> Files.delete(file);
            case 1 -> Files.write(file, Arrays.copyOf(bytes, where));
            default -> {
                if (bytes.length > 0) {
                    bytes[where] ^= 0x10;
                }
                Files.write(file, bytes);
            }
        }
    }

    /** The program stands still while another takes its store over; then it goes on, and some still ask it. */
    private void takeOver(SplittableRandom chance) throws IOException, InterruptedException {
        Program old = program;
        old.pause();
        Program next = program();
        next.start();
        before = old;
        program = next;
        TimeUnit.MILLISECONDS.sleep(chance.nextInt(50, 600));
        old.resume();
        boolean left = old.ended(STOP_MS + 3_000);
        stayed += left || results.equals("off") ? 0 : 1;
        before = null;
        old.measure();
        old.close();
        memoryMost = Math.max(memoryMost, old.memoryMost());
    }

    private int verdict(PrintWriter out) throws IOException {
        long over = 0;
        double filled = 0;
        if (results.equals("on")) {
            try (Durable d = new Durable(
                            new FileDisk(dir.resolve("store/first")),
                            new FileDisk(dir.resolve("store/second")),
                            CopyExecutor.SEQUENTIAL,
                            1 << 20,
                            4_096,
                            0.5,
                            0,
                            List.of(),
                            seed,
                            FileStore::currentTime,
                            Runnable::run,
                            Set.of());
                    View view = d.view()) {
                filled = view.usedBytes(DurableResultStore.RESULTS) / (double) ((long) BOUND_MB << 20);
                over = filled > 1 ? 1 : 0;
            }
        }
        History.Verdict v = history.verdict();
        memoryMost = Math.max(memoryMost, program.memoryMost());
        out.println("events " + events + ", store filled to " + Math.round(filled * 100)
                + "%, taken over from and stayed " + stayed);
        out.println("handled marks " + v.handled() + ", of them handled more than once " + v.repeatsHandled()
                + ", requests " + requests.get());
        out.println("results drill: kills " + kills + ", keys " + v.keys() + ", ran twice " + v.ranTwice()
                + ", answers differing " + v.differing() + ", unanswered " + v.unanswered() + ", over bound " + over
                + ", memory max " + memoryMost + " MB of " + Program.MEMORY_MB);
        boolean good = v.ranTwice() + v.differing() + v.unanswered() + over + stayed == 0
                && memoryMost <= Program.MEMORY_MB
                && v.handled() > 0
                && kills > 0;
        return good ? 0 : 1;
    }

    /** Asks on and on: a new mark, or one asked before, by whoever. */
    private void client(SplittableRandom chance) {
        while (!stop) {
            Program old = before;
            Program p = old != null && chance.nextBoolean() ? old : program;
            try (StandInSidecar s = new StandInSidecar(p.port())) {
                boolean up = true;
                while (up && !stop) {
                    up = ask(p, s, chance);
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

    private boolean ask(Program p, StandInSidecar s, SplittableRandom chance) {
        int known = marks.get();
        int recent = Math.min(known, 400);
        boolean again = recent > 0 && chance.nextInt(3) > 0;
        String mark = "m" + (again ? known - 1 - chance.nextInt(recent) : marks.getAndIncrement());
        String job = String.format("%08x%08x", chance.nextInt(), requests.incrementAndGet());
        Map<String, String> of = Program.parameters(mark, job, PATIENCE);
        history.add(History.EventType.REQUESTED, mark, job, "");
        long asked = System.nanoTime();
        StandInSidecar.Answer a = s.exchange(of, mark + " body", PATIENCE + SLACK);
        boolean wasUp = p.listening();
        History.EventType what = switch (a.status()) {
            case 200 -> History.EventType.HANDLED;
            case 429, 503 -> History.EventType.DEFERRED;
            case 0 -> History.EventType.DISCONNECTED;
            case -1 -> wasUp ? History.EventType.NO_ANSWER : History.EventType.DISCONNECTED;
            default -> History.EventType.ERRORED;
        };
        boolean atOnce = System.nanoTime() - asked < PATIENCE / 2 * 1_000_000L;
        history.add(what, mark, job, what == History.EventType.ERRORED ? atOnce ? "at once" : "late" : a.body());
        if (what == History.EventType.DEFERRED) {
            pause(20);
        }
        return a.status() > 0;
    }
}
