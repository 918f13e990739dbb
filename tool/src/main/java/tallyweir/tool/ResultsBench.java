package tallyweir.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.durable.Batch;
import tallyweir.durable.FileStore;
import tallyweir.durable.Namespace;
import tallyweir.ids.JobId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;
import tallyweir.results.DurableResultStore;
import tallyweir.results.IdempotencyKey;
import tallyweir.results.Known;
import tallyweir.stand.MultiplexedSidecar;
import tallyweir.stand.StandInKernel;
import tallyweir.stand.StandInSidecar;

@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description =
                "Measures a backend that keeps results beside the same backend with results off, in turn, on loopback"
                        + " between stand-ins; then a start over many kept marks, repeats, and, with --soak, memory over time.")
final class ResultsBench implements Callable<Integer> {
    private static final int CORES = 4;
    private static final int WORK_US = 8_000; // of a run, on average; from half to one and a half of it
    private static final int LINKS = 8;
    private static final int PATIENCE_MS = 1_500;
    private static final long LAST_NS = 2_500_000_000L; // answers may come until then, after the last was asked
    private static final int QUARTERS = 4;
    private static final int RESULT_BYTES = 200;

    @Option(names = "--seed", defaultValue = "1", description = "All chance hangs on it (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seconds", defaultValue = "8", description = "Of each measurement (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--rounds", defaultValue = "3", description = "On and off in turn, so often (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(
            names = "--loads",
            split = ",",
            defaultValue = "1,1.6",
            description = "As shares of capacity (${DEFAULT-VALUE}).")
    private double[] loads;

    @Option(
            names = "--marks",
            defaultValue = "1000000",
            description = "Kept when it starts; 0 leaves that out (${DEFAULT-VALUE}).")
    private int marks;

    @Option(
            names = "--soak",
            defaultValue = "0",
            description = "Minutes of new marks, memory by quarters; 0 leaves it out.")
    private int soak;

    @Option(names = "--soak-rate", defaultValue = "150", description = "New marks a second in it (${DEFAULT-VALUE}).")
    private int soakRate;

    @Option(names = "--dir", required = true, description = "A directory for the bench's own files; made if not there.")
    private Path dir;

    @Option(names = "--json", description = "Print JSON.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    /** What one run of load came to. */
    private record Seen(
            double handled,
            double deferred,
            double errored,
            double lost,
            Histogram times,
            Map<String, Long> counters) {}

    @Override
    public Integer call() throws Exception {
        if (seconds < 1
                || seconds > 600
                || rounds < 1
                || rounds > 20
                || marks < 0
                || soak < 0
                || soak > 600
                || soakRate < 1
                || Arrays.stream(loads).anyMatch(l -> !(l > 0 && l <= 4))) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--seconds takes 1 to 600, --rounds 1 to 20, --soak 0 to 600,"
                            + " --loads shares above 0 and up to 4");
        }
        Files.createDirectories(dir);
        for (double load : loads) {
            beside(load);
        }
        if (marks > 0) {
            start();
        }
        return soak == 0 || soak() ? 0 : 1;
    }

    private void print(String what, Map<String, Object> figures) {
        Json.figures(spec.commandLine().getOut(), json, what, figures);
    }

    private static double round(double d) {
        return Json.round(d);
    }

    private void clear() throws IOException {
        Program.clear(dir.resolve("store/first"));
        Program.clear(dir.resolve("store/second"));
    }

    private StandInKernel kernel(long of) throws IOException {
        return new StandInKernel(null, CORES, of, chance -> WORK_US / 2 + chance.nextInt(WORK_US));
    }

    private Program program(StandInKernel kernel, boolean on, long windowSeconds) throws IOException {
        Program p = new Program(dir, on, List.of());
        Files.writeString(
                dir.resolve("config.json"),
                Program.config(kernel.port(), seed, CORES, windowSeconds * 1_000_000, 256, 1_000));
        Files.writeString(
                dir.resolve("operators.json"),
                "{\"results\":{\"bound_mb\":1024},\"durable\":{\"dir\":\"" + dir.resolve("store") + "\"}}");
        return p;
    }

    private static double capacity() {
        return CORES * 1e6 / WORK_US;
    }

    // ---- beside the same program with results off

    private void beside(double load) throws Exception {
        double[][] handled = new double[2][rounds];
        double[] ratios = new double[rounds];
        Histogram[] times = {new Histogram(3), new Histogram(3)};
        double forces = 0;
        double bytes = 0;
        double lost = 0;
        for (int round = 0; round < rounds; round++) {
            for (int on = 0; on < 2; on++) {
                clear();
                long of = seed * 100 + round; // the same load for both
                try (StandInKernel kernel = kernel(of);
                        Program p = program(kernel, on == 1, 3_600)) {
                    p.start();
                    Seen s = load(p, load * capacity(), seconds, new SplittableRandom(of), "r" + round + "-");
                    handled[on][round] = s.handled;
                    times[on].add(s.times);
                    lost += s.lost;
                    if (on == 1) {
                        forces += s.counters.getOrDefault("durable_forces", 0L) / (double) rounds;
                        bytes += s.counters.getOrDefault("durable_record_bytes", 0L)
                                / Math.max(1.0, s.counters.getOrDefault("answered_handled", 0L))
                                / rounds;
                    }
                }
            }
            ratios[round] = handled[1][round] / handled[0][round];
        }
        Arrays.sort(ratios);
        Arrays.sort(handled[0]);
        Arrays.sort(handled[1]);
        Map<String, Object> of = new LinkedHashMap<>();
        of.put("offered_per_s", round(load * capacity()));
        of.put("handled_off_per_s", round(handled[0][rounds / 2]));
        of.put("handled_on_per_s", round(handled[1][rounds / 2]));
        of.put("ratio_median", round(ratios[rounds / 2]));
        of.put("ratio_least", round(ratios[0]));
        for (int p : new int[] {50, 99}) {
            double off = times[0].getValueAtPercentile(p) / 1e3;
            double on = times[1].getValueAtPercentile(p) / 1e3;
            of.put("p" + p + "_off_ms", round(off));
            of.put("p" + p + "_on_ms", round(on));
            of.put("p" + p + "_added_ms", round(on - off));
        }
        of.put("forces_per_s", round(forces / seconds));
        of.put("log_bytes_a_handled_query", Math.round(bytes));
        of.put("unanswered", Math.round(lost));
        print("handled at " + load + " of capacity, " + rounds + " rounds in turn", of);
    }

    /** Marks never asked before, by a schedule drawn beforehand; the time of an answer counts from its moment there. */
    private Seen load(Program p, double perSecond, double during, SplittableRandom chance, String marks)
            throws IOException, InterruptedException {
        Recorder times = new Recorder(3);
        AtomicLong[] became = {new AtomicLong(), new AtomicLong(), new AtomicLong(), new AtomicLong()};
        List<MultiplexedSidecar> links = new ArrayList<>();
        for (int i = 0; i < LINKS; i++) {
            links.add(new MultiplexedSidecar(p.port()));
        }
        double next = System.nanoTime();
        double end = next + during * 1e9;
        for (long n = 0; ; n++) {
            next += -Math.log(1 - chance.nextDouble()) / perSecond * 1e9;
            if (next >= end) {
                break;
            }
            while (System.nanoTime() < next) {
                LockSupport.parkNanos((long) next - System.nanoTime());
            }
            long meant = (long) next;
            links.get((int) (n % LINKS))
                    .send(
                            Program.parameters(marks + n, String.format("%016x", chance.nextLong()), PATIENCE_MS),
                            marks + n + " " + "x".repeat(RESULT_BYTES),
                            a -> {
                                became[
                                        a.status() == 200
                                                ? 0
                                                : a.status() == 429 || a.status() == 503 ? 1 : a.status() == 0 ? 3 : 2]
                                        .incrementAndGet();
                                if (a.status() == 200) {
                                    times.recordValue((System.nanoTime() - meant) / 1_000);
                                }
                            });
        }
        long last = System.nanoTime() + LAST_NS;
        while (System.nanoTime() < last && links.stream().anyMatch(l -> l.pendingCount() > 0)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        long lost = links.stream().mapToLong(MultiplexedSidecar::pendingCount).sum() + became[3].get();
        Map<String, Long> counters = counters(p);
        for (MultiplexedSidecar l : links) {
            l.close();
        }
        return new Seen(
                became[0].get() / during,
                became[1].get() / during,
                became[2].get() / during,
                lost,
                times.getIntervalHistogram(),
                counters);
    }

    private static Map<String, Long> counters(Program p) throws IOException {
        Map<String, Long> all = new LinkedHashMap<>();
        try (StandInSidecar s = new StandInSidecar(p.port())) {
            s.exchange(Map.of("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/counters"), "", 2_000)
                    .body()
                    .lines()
                    .forEach(l -> {
                        String[] of = l.split(" ");
                        if (of.length == 2) {
                            all.put(of[0], Long.parseLong(of[1]));
                        }
                    });
        }
        return all;
    }

    // ---- a start over many marks, and repeats

    private void start() throws Exception {
        clear();
        Map<String, Object> of = new LinkedHashMap<>();
        long until = FileStore.currentTime() + 36_000_000L;
        byte[] result = "x".repeat(RESULT_BYTES).getBytes();
        try (FileStore s = open()) {
            for (int n = 0; n < marks; ) {
                Batch b = new Batch();
                for (int i = 0; i < 1_000 && n < marks; i++, n++) {
                    DurableResultStore.put(
                            b,
                            new IdempotencyKey(new WorkloadId("reset"), new SubjectId("s" + n)),
                            new JobId(String.format("%016x", n)),
                            sum("s" + n + " body"),
                            Known.GOOD,
                            result,
                            until);
                }
                s.committer().write(b);
            }
            of.put("bytes_a_mark", (Long) s.store().info().get("live_bytes") / marks);
        }
        long before = DurableBench.heap();
        try (FileStore s = open()) {
            of.put("heap_bytes_a_mark", round((double) (DurableBench.heap() - before) / marks));
            of.put("marks", s.store().keyCount());
        }
        int heap = 48 + (int) (marks * 160L >> 20); // an index is laid out anew while the old one is still read
        try (StandInKernel kernel = kernel(seed);
                Program p = program(kernel, true, 3_600)) {
            p.heap(heap);
            of.put("start_to_listening_ms", p.start());
            long asked = System.nanoTime();
            try (StandInSidecar s = new StandInSidecar(p.port())) {
                int tries = 1; // until the kernel's link is up all are deferred
                while (s.exchange(Program.parameters("s7", "00000000000000aa", PATIENCE_MS), "s7 body", 5_000)
                                .status()
                        != 200) {
                    if (++tries > 1_000) {
                        throw new IOException("a kept mark is not answered after a start");
                    }
                }
                of.put("then_first_repeat_ms", round((System.nanoTime() - asked) / 1e6));
                of.put("asked_for_it", tries);
            }
            Histogram took = new Histogram(3);
            long count = repeats(p, took);
            of.put("repeats_per_s", Math.round(count / (double) seconds));
            of.put("repeats_p99_ms", round(took.getValueAtPercentile(99) / 1e3));
            p.measure();
            of.put("memory_most_mb", p.memoryMost());
            of.put("heap_mb_allowed", heap);
        }
        print("a start with " + marks + " marks kept, then repeats of any of them from " + LINKS + " callers", of);
    }

    private FileStore open() throws IOException {
        return new FileStore(
                dir.resolve("store/first"),
                dir.resolve("store/second"),
                64 << 20,
                4_096,
                0.5,
                0,
                256L << 20,
                0,
                64L << 20,
                List.of(
                        new Namespace(DurableResultStore.RESULTS, 1L << 30, false),
                        new Namespace(DurableResultStore.INTENTS, Long.MAX_VALUE, false)));
    }

    private static long sum(String body) {
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(body.getBytes());
        return crc.getValue() << 32 | Arrays.hashCode(body.getBytes()) & 0xffff_ffffL;
    }

    /** Each caller asks again as soon as it has its answer; wrong answers end the bench. */
    private long repeats(Program p, Histogram took) throws Exception {
        AtomicLong count = new AtomicLong();
        AtomicLong wrong = new AtomicLong();
        Recorder times = new Recorder(3);
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < LINKS; i++) {
            SplittableRandom chance = new SplittableRandom(seed * 31 + i);
            Thread t = new Thread(() -> {
                try (StandInSidecar s = new StandInSidecar(p.port())) {
                    while (System.nanoTime() < end) {
                        String mark = "s" + chance.nextInt(marks);
                        long began = System.nanoTime();
                        StandInSidecar.Answer a = s.exchange(
                                Program.parameters(mark, String.format("%016x", chance.nextLong()), PATIENCE_MS),
                                mark + " body",
                                5_000);
                        times.recordValue((System.nanoTime() - began) / 1_000);
                        (a.status() == 200 && a.body().length() == RESULT_BYTES ? count : wrong).incrementAndGet();
                    }
                } catch (IOException e) {
                    wrong.incrementAndGet();
                }
            });
            all.add(t);
            t.start();
        }
        for (Thread t : all) {
            t.join();
        }
        took.add(times.getIntervalHistogram());
        if (wrong.get() > 0) {
            throw new IOException(
                    wrong.get() + " repeats of " + (count.get() + wrong.get()) + " did not get what was kept");
        }
        return count.get();
    }

    // ---- memory over time

    /** New marks at a steady rate, their windows a minute long, so that as many go as come; true if memory is flat. */
    private boolean soak() throws Exception {
        clear();
        Map<String, Object> of = new LinkedHashMap<>();
        long[] most = new long[QUARTERS];
        double lost = 0;
        try (StandInKernel kernel = kernel(seed);
                Program p = program(kernel, true, 60)) {
            p.start();
            for (int q = 0; q < QUARTERS; q++) {
                int parts = Math.max(1, soak);
                for (int part = 0; part < parts; part++) {
                    Seen s = load(
                            p,
                            soakRate,
                            soak * 60.0 / QUARTERS / parts,
                            new SplittableRandom(seed + q * 1_000 + part),
                            "q" + q + "-" + part + "-");
                    lost += s.lost;
                    most[q] = Math.max(most[q], p.memoryNow());
                }
                of.put("quarter_" + (q + 1) + "_most_kb", most[q]);
                print(
                        "memory so far, after " + round(soak * (q + 1.0) / QUARTERS) + " minutes",
                        Map.of("most_kb", most[q]));
            }
            Map<String, Long> c = counters(p);
            of.put("handled", c.get("answered_handled"));
            of.put("expired", c.get("durable_expired"));
        }
        of.put("unanswered", Math.round(lost));
        of.put("last_to_second", round((double) most[QUARTERS - 1] / most[1]));
        print("memory over " + soak + " minutes, " + soakRate + " new marks a second", of);
        return most[QUARTERS - 1] <= 1.05 * most[1] && lost == 0;
    }
}
