package tallyweir.tool;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tallyweir.durable.Batch;
import tallyweir.durable.CopyExecutor;
import tallyweir.durable.Durable;
import tallyweir.durable.FileDisk;
import tallyweir.durable.FileStore;
import tallyweir.durable.Namespace;
import tallyweir.durable.SideBySide;
import tallyweir.durable.StepTimes;
import tallyweir.durable.StoreCounters;
import tallyweir.durable.StoreRefusedException;

@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures a store beside a bare append and force of the same bytes through as many files.")
final class DurableBench implements Callable<Integer> {
    private static final String SPACE = "bench";
    private static final int MB = 1 << 20;

    @Option(names = "--dir", required = true, description = "A directory for the bench's own files; made if not there.")
    private Path dir;

    @Option(names = "--seed", defaultValue = "1", description = "All chance hangs on it (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seconds", defaultValue = "5", description = "Of each measurement (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--value", defaultValue = "200", description = "Bytes of a value (${DEFAULT-VALUE}).")
    private int valueBytes;

    @Option(names = "--keys", defaultValue = "1000000", description = "For heap and opening (${DEFAULT-VALUE}).")
    private int keys;

    @Option(
            names = "--writers",
            split = ",",
            defaultValue = "1,8,64",
            description = "How many write (${DEFAULT-VALUE}).")
    private int[] writers;

    @Option(names = "--only-writes", description = "Leave the other measurements out.")
    private boolean only;

    @Option(names = "--json", description = "Print JSON.")
    private boolean json;

    @Option(
            names = "--earlier",
            description = "The tool's jar of an earlier version: its writes are measured in turn with this"
                    + " version's, three times, and nothing else is.")
    private Path earlier;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (earlier != null) {
            for (int n : writers) {
                besideEarlier(n);
            }
            return 0;
        }
        for (int n : writers) {
            writes(n);
        }
        if (!only) {
            readsWhileCompacting();
            amplification();
            heapAndOpening();
        }
        clear();
        return 0;
    }

    private void print(String what, Map<String, Object> figures) {
        Json.figures(spec.commandLine().getOut(), json, what, figures);
    }

    private static double round(double d) {
        return Json.round(d);
    }

    private void clear() throws IOException {
        for (String copy : List.of("first", "second")) {
            if (Files.isDirectory(dir.resolve(copy))) {
                try (Stream<Path> files = Files.list(dir.resolve(copy))) {
                    for (Path file : files.toList()) {
                        Files.delete(file);
                    }
                }
            }
        }
    }

    private FileStore store(int segmentBytes, long upkeepRate) throws IOException {
        return new FileStore(
                dir.resolve("first"),
                dir.resolve("second"),
                segmentBytes,
                4_096,
                0.5,
                0,
                256L * MB,
                0,
                upkeepRate,
                List.of(new Namespace(SPACE, Long.MAX_VALUE, false)));
    }

    private static byte[] key(long n) {
        return ByteBuffer.allocate(16)
                .putLong(n * 0x9E3779B97F4A7C15L)
                .putLong(n)
                .array();
    }

    private byte[] value(SplittableRandom chance) {
        byte[] v = new byte[valueBytes];
        chance.nextBytes(v);
        return v;
    }

    // ---- acknowledged writes

    /** Something that writes one record and returns once it is on the disk. */
    private interface Sink {
        void write(byte[] key, byte[] value) throws IOException;
    }

    private void writes(int writers) throws Exception {
        List<Double> ratios = new ArrayList<>();
        double[] bareRates = new double[3];
        long bareLongest = 0;
        Map<String, Object> longest = new LinkedHashMap<>();
        double[] storeRates = new double[3];
        for (int round = 0; round < 3; round++) { // in turn, so that both see the same machine
            clear();
            try (Bare bare = new Bare(dir)) {
                bareRates[round] = rate(writers, bare::write);
                bareLongest = Math.max(bareLongest, bare.longest);
            }
            clear();
            try (FileStore s = store(64 * MB, 32L * MB)) {
                storeRates[round] = rate(writers, (k, v) -> s.committer().write(new Batch().put(SPACE, k, v)));
                longest(longest, s);
                longest.put(
                        "batches_a_group",
                        round((double) s.store().figures().get(StoreCounters.Counter.BATCHES)
                                / Math.max(1, s.store().figures().get(StoreCounters.Counter.GROUPS))));
            }
            ratios.add(storeRates[round] / bareRates[round]);
        }
        ratios.sort(null);
        double bareRate = Stream.of(bareRates[0], bareRates[1], bareRates[2])
                .sorted()
                .toList()
                .get(1);
        double storeRate = Stream.of(storeRates[0], storeRates[1], storeRates[2])
                .sorted()
                .toList()
                .get(1);
        print(
                "writes, " + writers + " writers, as many as go",
                Map.of(
                        "bare_per_s",
                        Math.round(bareRate),
                        "store_per_s",
                        Math.round(storeRate),
                        "ratio_median",
                        round(ratios.get(1)),
                        "ratio_least",
                        round(ratios.get(0))));
        longest.put("bare_append_and_force", bareLongest / 100_000 / 10.0);
        print("longest steps of these runs, ms, " + writers + " writers", longest);
        double offered = 0.6 * Math.min(bareRate, storeRate);
        clear();
        try (Bare bare = new Bare(dir)) {
            Map<String, Object> of = times(scheduled(writers, offered, bare::write));
            of.put("longest_force_ms", bare.longest / 100_000 / 10.0);
            print("writes, " + writers + " writers, " + Math.round(offered) + " offered a second, bare", of);
        }
        clear();
        try (FileStore s = store(64 * MB, 32L * MB)) {
            Map<String, Object> of =
                    times(scheduled(writers, offered, (k, v) -> s.committer().write(new Batch().put(SPACE, k, v))));
            longest(of, s);
            print("writes, " + writers + " writers, " + Math.round(offered) + " offered a second, store", of);
        }
    }

    /** Into the figures, the longest of each step so far, milliseconds. */
    private static void longest(Map<String, Object> figures, FileStore s) {
        for (StepTimes.Step of : StepTimes.Step.values()) {
            figures.merge(
                    of.name().toLowerCase(),
                    s.times().maxDuration(of) / 10.0,
                    (a, b) -> Math.max((Double) a, (Double) b));
        }
    }

    /** The writes of both versions, each in a process of its own, in turn, so that both see the same machine. */
    private void besideEarlier(int writers) throws IOException, InterruptedException {
        double[][] rates = new double[2][3];
        double[] ratios = new double[3];
        for (int round = 0; round < 3; round++) {
            rates[0][round] = child(earlier.toString(), writers);
            rates[1][round] = child(System.getProperty("java.class.path"), writers);
            ratios[round] = rates[1][round] / rates[0][round];
        }
        Arrays.sort(rates[0]);
        Arrays.sort(rates[1]);
        Arrays.sort(ratios);
        print(
                "writes, " + writers + " writers, beside the earlier version",
                Map.of(
                        "earlier_per_s",
                        Math.round(rates[0][1]),
                        "present_per_s",
                        Math.round(rates[1][1]),
                        "ratio_median",
                        round(ratios[1]),
                        "ratio_least",
                        round(ratios[0])));
    }

    private double child(String classPath, int writers) throws IOException, InterruptedException {
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        classPath,
                        Main.class.getName(),
                        "durable",
                        "bench",
                        "--only-writes",
                        "--json",
                        "--dir",
                        dir.toString(),
                        "--seconds",
                        Integer.toString(seconds),
                        "--value",
                        Integer.toString(valueBytes),
                        "--seed",
                        Long.toString(seed),
                        "--writers",
                        Integer.toString(writers))
                .redirectErrorStream(true)
                .start();
        String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        Matcher rate = Pattern.compile("\"store_per_s\":([0-9]+)").matcher(said);
        if (p.waitFor() != 0 || !rate.find()) {
            throw new IOException("the bench of " + classPath + " said: " + said);
        }
        return Double.parseDouble(rate.group(1));
    }

    private static Map<String, Object> times(Histogram h) {
        Map<String, Object> of = new LinkedHashMap<>();
        of.put("count", h.getTotalCount());
        of.put("p50_ms", round(h.getValueAtPercentile(50) / 1e6));
        of.put("p99_ms", round(h.getValueAtPercentile(99) / 1e6));
        of.put("p99.9_ms", round(h.getValueAtPercentile(99.9) / 1e6));
        return of;
    }

    private double rate(int writers, Sink sink) throws Exception {
        AtomicLong count = new AtomicLong();
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        long warm = System.nanoTime() + seconds * 200_000_000L;
        run(writers, (w, chance) -> {
            for (long n = w; System.nanoTime() < end; n += writers) {
                sink.write(key(n), value(chance));
                if (System.nanoTime() >= warm) {
                    count.incrementAndGet();
                }
            }
        });
        return count.get() / (seconds * 0.8);
    }

    /** Each write has its moment by a schedule drawn beforehand; its time counts from there. */
    private Histogram scheduled(int writers, double perSecond, Sink sink) throws Exception {
        Recorder times = new Recorder(3);
        long start = System.nanoTime();
        long end = start + seconds * 1_000_000_000L;
        run(writers, (w, chance) -> {
            double next = start;
            for (long n = w; ; n += writers) {
                next += -Math.log(1 - chance.nextDouble()) * writers / perSecond * 1e9;
                if (next >= end) {
                    return;
                }
                while (System.nanoTime() < next) {
                    LockSupport.parkNanos((long) next - System.nanoTime());
                }
                sink.write(key(n), value(chance));
                times.recordValue(System.nanoTime() - (long) next);
            }
        });
        return times.getIntervalHistogram();
    }

    private interface Part {
        void run(int number, SplittableRandom chance) throws Exception;
    }

    private void run(int threads, Part part) throws Exception {
        List<Thread> all = new ArrayList<>();
        List<Exception> failed = new ArrayList<>();
        for (int n = 0; n < threads; n++) {
            int number = n;
            Thread t = new Thread(() -> {
                try {
                    part.run(number, new SplittableRandom(seed * 1_000 + number));
                } catch (Exception e) {
                    synchronized (failed) {
                        failed.add(e);
                    }
                }
            });
            all.add(t);
            t.start();
        }
        for (Thread t : all) {
            t.join();
        }
        if (!failed.isEmpty()) {
            throw failed.get(0);
        }
    }

    /** The limit: the same bytes, gathered in the same way, appended to two files and forced, and nothing else. */
    private static final class Bare implements AutoCloseable {
        private record Waiting(ByteBuffer bytes, CompletableFuture<Void> done) {}

        private final FileChannel[] files = new FileChannel[2];
        private final SideBySide both = new SideBySide();
        private final Thread thread;
        private List<Waiting> waiting = new ArrayList<>();
        private boolean closing;
        private long at;
        private volatile long longest; // ns, of an append and force

        Bare(Path dir) throws IOException {
            for (int c = 0; c < 2; c++) {
                Path to = dir.resolve(c == 0 ? "first" : "second");
                Files.createDirectories(to);
                files[c] = FileChannel.open(to.resolve("bare"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            }
            thread = new Thread(this::run);
            thread.start();
        }

        void write(byte[] key, byte[] value) {
            ByteBuffer b = ByteBuffer.allocate(29 + key.length + value.length);
            b.position(29);
            b.put(key).put(value).flip();
            CompletableFuture<Void> done = new CompletableFuture<>();
            synchronized (this) {
                waiting.add(new Waiting(b, done));
                notifyAll();
            }
            done.join();
        }

        private void run() {
            try {
                while (true) {
                    List<Waiting> group;
                    synchronized (this) {
                        while (waiting.isEmpty() && !closing) {
                            wait();
                        }
                        if (waiting.isEmpty()) {
                            return;
                        }
                        group = waiting;
                        waiting = new ArrayList<>();
                    }
                    int length = 24;
                    for (Waiting w : group) {
                        length += w.bytes.limit();
                    }
                    length = (length + 4_095) / 4_096 * 4_096;
                    ByteBuffer all = ByteBuffer.allocate(length);
                    group.forEach(w -> all.put(w.bytes));
                    long began = System.nanoTime();
                    both.run(
                            () -> append(0, all.duplicate().clear()),
                            () -> append(1, all.duplicate().clear()));
                    longest = Math.max(longest, System.nanoTime() - began);
                    at += length;
                    group.forEach(w -> w.done.complete(null));
                }
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private void append(int copy, ByteBuffer b) throws IOException {
            long to = at;
            while (b.hasRemaining()) {
                to += files[copy].write(b, to);
            }
            files[copy].force(false);
        }

        @Override
        public void close() throws Exception {
            synchronized (this) {
                closing = true;
                notifyAll();
            }
            thread.join();
            files[0].close();
            files[1].close();
            both.close();
        }
    }

    // ---- reads

    private void readsWhileCompacting() throws Exception {
        clear();
        int many = 200_000;
        try (FileStore s = store(8 * MB, 32L * MB)) {
            fill(s, many, new SplittableRandom(seed));
            reads(s, many); // until the code is compiled
            Histogram idle = reads(s, many);
            AtomicBoolean stop = new AtomicBoolean();
            Thread churn = new Thread(() -> {
                SplittableRandom chance = new SplittableRandom(seed + 1);
                try {
                    while (!stop.get()) {
                        Batch b = new Batch();
                        for (int i = 0; i < 100; i++) {
                            b.put(SPACE, key(chance.nextInt(many)), value(chance));
                        }
                        s.committer().write(b);
                        LockSupport.parkNanos(10_000_000); // 10,000 records a second, so that compaction is what is met
                    }
                } catch (StoreRefusedException e) {
                    throw new IllegalStateException(e);
                }
            });
            churn.start();
            long moved = s.store().figures().get(StoreCounters.Counter.MOVED_BYTES);
            while (s.store().figures().get(StoreCounters.Counter.MOVED_BYTES) == moved) {
                Thread.sleep(10);
            }
            moved = s.store().figures().get(StoreCounters.Counter.MOVED_BYTES);
            Histogram busy = reads(s, many);
            Map<String, Object> of = new LinkedHashMap<>();
            of.put("idle_p99_us", round(idle.getValueAtPercentile(99) / 1e3));
            of.put("compacting_p99_us", round(busy.getValueAtPercentile(99) / 1e3));
            of.put("ratio", round((double) busy.getValueAtPercentile(99) / idle.getValueAtPercentile(99)));
            of.put("moved_mb_meanwhile", (s.store().figures().get(StoreCounters.Counter.MOVED_BYTES) - moved) / MB);
            print("reads, 2 readers, 10000 offered a second, while writes and compaction run", of);
            stop.set(true);
            churn.join();
        }
    }

    private Histogram reads(FileStore s, int many) throws Exception {
        Recorder times = new Recorder(3);
        long start = System.nanoTime();
        long end = start + seconds * 1_000_000_000L;
        run(2, (w, chance) -> {
            double next = start;
            while (next < end) {
                next += 2 / 10_000.0 * 1e9;
                while (System.nanoTime() < next) {
                    Thread.onSpinWait();
                }
                if (s.store().get(SPACE, key(chance.nextInt(many))) == null) {
                    throw new IllegalStateException("a key is not there");
                }
                times.recordValue(System.nanoTime() - (long) next);
            }
        });
        return times.getIntervalHistogram();
    }

    private void fill(FileStore s, int many, SplittableRandom chance) throws IOException {
        List<CompletableFuture<Void>> last = new ArrayList<>();
        for (int i = 0; i < many; ) {
            Batch b = new Batch();
            for (int n = 0; n < 500 && i < many; n++) {
                b.put(SPACE, key(i++), value(chance));
            }
            last.add(s.committer().submit(b));
            if (last.size() == 20) {
                last.forEach(CompletableFuture::join);
                last.clear();
            }
        }
        last.forEach(CompletableFuture::join);
    }

    // ---- space

    private void amplification() throws Exception {
        clear();
        int many = 100_000;
        try (FileStore s = store(4 * MB, 1_000L * MB)) {
            SplittableRandom chance = new SplittableRandom(seed);
            fill(s, many, chance);
            for (int half = 0; half < 2; half++) { // the first to settle, the second to count
                long written = s.store().figures().get(StoreCounters.Counter.BYTES_WRITTEN);
                long asked = s.store().figures().get(StoreCounters.Counter.RECORD_BYTES);
                for (int i = 0; i < 3 * many / 500; i++) {
                    Batch b = new Batch();
                    for (int n = 0; n < 500; n++) {
                        b.put(SPACE, key(chance.nextInt(many)), value(chance));
                    }
                    s.committer().write(b);
                }
                if (half == 1) {
                    Map<String, Object> of = new LinkedHashMap<>();
                    of.put("live_share", s.store().info().get("live_share"));
                    of.put(
                            "written_each_copy_per_byte_asked",
                            round((s.store().figures().get(StoreCounters.Counter.BYTES_WRITTEN) - written)
                                    / 2.0
                                    / (s.store().figures().get(StoreCounters.Counter.RECORD_BYTES) - asked)));
                    print("write amplification, random overwrites", of);
                }
            }
        }
    }

    /** Bytes of the heap that are in use once what nobody holds is gone. */
    static long heap() throws InterruptedException {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            System.gc();
            Thread.sleep(50);
            least = Math.min(
                    least,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return least;
    }

    private void heapAndOpening() throws Exception {
        clear();
        long before = heap();
        try (FileStore s = store(64 * MB, 1_000L * MB)) {
            fill(s, keys, new SplittableRandom(seed));
            long after = heap();
            print(
                    "heap, " + keys + " keys of 16 bytes written in random order",
                    Map.of("bytes_a_key", round((double) (after - before) / keys)));
        }
        Map<String, Object> of = new LinkedHashMap<>();
        double[] fast = new double[3];
        double[] slow = new double[3];
        for (int i = 0; i < 3; i++) {
            fast[i] = opening(true);
            slow[i] = opening(false);
        }
        Arrays.sort(fast);
        Arrays.sort(slow);
        of.put("snapshot_s", round(fast[1]));
        of.put("log_s", round(slow[1]));
        of.put("ratio", round(slow[1] / fast[1]));
        print("opening, " + keys + " keys", of);
    }

    private double opening(boolean bySnapshot) throws IOException {
        Path aside = dir.resolve("aside");
        Files.createDirectories(aside);
        if (!bySnapshot) {
            move(dir.resolve("first"), aside);
        }
        long start = System.nanoTime();
        Durable d = new Durable(
                new FileDisk(dir.resolve("first")),
                new FileDisk(dir.resolve("second")),
                CopyExecutor.SEQUENTIAL,
                64 * MB,
                4_096,
                0.5,
                0,
                List.of(new Namespace(SPACE, Long.MAX_VALUE, false)),
                seed,
                FileStore::currentTime,
                r -> {},
                Set.of());
        double took = (System.nanoTime() - start) / 1e9;
        if (d.openedFromSnapshot() != bySnapshot || d.keyCount() != keys) {
            throw new IOException("opened " + d.keyCount() + " keys, from a snapshot: " + d.openedFromSnapshot());
        }
        d.abandon();
        if (!bySnapshot) {
            move(aside, dir.resolve("first"));
        }
        return took;
    }

    private static void move(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".idx")).toList()) {
                Files.move(file, to.resolve(file.getFileName()));
            }
        }
    }
}
