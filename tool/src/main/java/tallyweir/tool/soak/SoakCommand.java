package tallyweir.tool.soak;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tallyweir.stand.FailingCalls;
import tallyweir.stand.RequestLog;
import tallyweir.stand.RequestOutcome;

/** Plays signals, failing system calls, broken links and bad clients against whole processes, and judges what callers saw. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Plays faults at the edges of whole processes on loopback, drawn from a seed: stops and kills, failing"
                        + " system calls, links that break or stand, reloads, steps of the wall clock, bad clients. Exit code 1 if a"
                        + " request was lost, ran twice, was answered late, or ran though it came after the grace. Needs cc.")
public final class SoakCommand implements Callable<Integer> {
    private static final int EXIT_GOOD = 0;
    private static final int EXIT_FAILED = 1;

    @Option(names = "--seed", defaultValue = "1", description = "All chance hangs on it (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seconds", defaultValue = "20", description = "For how long (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--backends",
            defaultValue = "2",
            description = "How many processes; every second one keeps results in a folder (${DEFAULT-VALUE}).")
    private int backends;

    @Option(names = "--dir", required = true, description = "A directory for the soak's own files; made if not there.")
    private Path directory;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        if (!FailingCalls.canCompile()) {
            out.println("soak: partial, nothing was played: there is no C compiler (cc) on this machine");
            return EXIT_FAILED;
        }
        ExecutorService threads = Executors.newFixedThreadPool(backends);
        try {
            List<Future<SoakVerdict>> running = new ArrayList<>();
            for (int i = 0; i < backends; i++) {
                int number = i;
                running.add(threads.submit(() -> play(number, out)));
            }
            boolean holds = true;
            for (Future<SoakVerdict> of : running) {
                holds &= of.get().holds();
            }
            return holds ? EXIT_GOOD : EXIT_FAILED;
        } finally {
            threads.shutdownNow();
        }
    }

    private SoakVerdict play(int number, PrintWriter out) throws Exception {
        long own = seed * 1_000 + number;
        SoakPlan plan = SoakPlan.of(own, seconds, SoakBackend.STOP_MS);
        StringBuilder timeline = new StringBuilder("backend " + own + ":");
        plan.steps().forEach(step -> timeline.append("\n  ").append(step));
        try (SoakBackend backend = new SoakBackend(directory.resolve("backend-" + own), own, number % 2 == 1)) {
            backend.beginCallers();
            for (SoakStep step : plan.steps()) {
                backend.play(step);
            }
            SoakVerdict verdict = backend.verdict();
            synchronized (out) {
                out.println(timeline);
                describe(out, "lost", verdict.lost());
                describe(out, "late", verdict.late());
                out.println(verdict.line(own));
                out.flush();
            }
            return verdict;
        }
    }

    private static void describe(PrintWriter out, String what, List<RequestOutcome> fates) {
        if (!fates.isEmpty()) {
            long last = fates.stream().mapToLong(RequestOutcome::endedAt).max().orElse(0);
            out.println(what + RequestLog.describe(fates, last));
        }
    }
}
