package tallyweir.durable;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Drill that kills a writing process at random moments. The process prints each acknowledged write; after the kill the
 * store must hold that version, or a later one, for every key printed.
 */
public final class Kills {
    private static final int WRITERS = 8;
    private static final int KEYS_PER_WRITER = 40;
    private static final int SEGMENT_BYTES = 1 << 16;
    private static final Namespace NAMESPACE = new Namespace("kills", 1L << 30, false);

    private Kills() {}

    /** Kills a writer {@code kills} times over the same store and checks the store after each kill. */
    public static Drill.Tally run(Path dir, long seed, int kills, Set<Defence> disabled)
            throws IOException, InterruptedException {
        clear(dir);
        Drill.Tally tally = new Drill.Tally();
        SplittableRandom random = new SplittableRandom(seed);
        Map<Integer, Long> acknowledged = new HashMap<>();
        for (int i = 0; i < kills && tally.violations().size() < 20; i++) {
            runWriterUntilKilled(dir, random, disabled, acknowledged);
            checkStore(dir, disabled, acknowledged, tally, "kill " + i);
        }
        return tally;
    }

    private static void clear(Path dir) throws IOException {
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

    private static void runWriterUntilKilled(
            Path dir, SplittableRandom random, Set<Defence> disabled, Map<Integer, Long> acknowledged)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Kills.class.getName(),
                dir.toString(),
                Long.toString(random.nextLong())));
        disabled.forEach(d -> command.add(d.name()));
        Process writer = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        int lines = random.nextInt(1, 4_000);
        long pause = random.nextInt(3);
        try (BufferedReader in = writer.inputReader(StandardCharsets.US_ASCII)) {
            String line = "";
            for (int i = 0; i < lines && line != null; i++) {
                line = in.readLine();
                recordAcknowledgement(line, acknowledged);
            }
            TimeUnit.MILLISECONDS.sleep(pause);
            writer.toHandle().destroyForcibly(); // unlike Process.destroyForcibly, keeps the output readable
            for (line = in.readLine(); line != null; line = in.readLine()) {
                recordAcknowledgement(line, acknowledged);
            }
        } finally {
            writer.destroyForcibly().waitFor();
        }
    }

    private static void recordAcknowledgement(String line, Map<Integer, Long> acknowledged) {
        String[] parts = line == null ? new String[0] : line.split(" ");
        if (parts.length == 3 && parts[2].equals(".")) { // complete lines only
            acknowledged.merge(Integer.parseInt(parts[0]), Long.parseLong(parts[1]), Math::max);
        }
    }

    private static void checkStore(
            Path dir, Set<Defence> disabled, Map<Integer, Long> acknowledged, Drill.Tally tally, String when) {
        try (SideBySide both = new SideBySide();
                Durable d = open(dir, both, disabled)) {
            tally.countOpening();
            for (int key = 0; key < WRITERS * KEYS_PER_WRITER; key++) {
                StoredRecord f = d.get(NAMESPACE.name(), key(key));
                long version = f == null ? 0 : ByteBuffer.wrap(f.value()).getLong();
                if (version < acknowledged.getOrDefault(key, 0L)) {
                    tally.countViolations(
                            List.of("lost: key " + key + " is at " + version + ", acknowledged was "
                                    + acknowledged.get(key)),
                            when);
                }
                if (f != null && !Arrays.equals(f.value(), value(key, version))) {
                    tally.countViolations(
                            List.of("returned: key " + key + " is not what was written as version " + version), when);
                }
            }
        } catch (IOException | RuntimeException e) {
            tally.failed(when + ": " + e);
        }
    }

    private static byte[] key(int n) {
        return ByteBuffer.allocate(4).putInt(n).array();
    }

    private static byte[] value(int key, long version) {
        SplittableRandom random = new SplittableRandom(key * 1_000_003L + version);
        byte[] v = new byte[8 + random.nextInt(200)];
        ByteBuffer out = ByteBuffer.wrap(v).putLong(version);
        while (out.hasRemaining()) {
            out.put((byte) random.nextInt());
        }
        return v;
    }

    private static Durable open(Path dir, CopyExecutor both, Set<Defence> disabled) throws IOException {
        return new Durable(
                new FileDisk(dir.resolve("first")),
                new FileDisk(dir.resolve("second")),
                both,
                SEGMENT_BYTES,
                Drill.SECTOR_BYTES,
                0.4,
                20_000,
                List.of(NAMESPACE),
                7,
                FileStore::currentTime,
                Runnable::run,
                disabled);
    }

    /** The writing process. Arguments: directory, seed, names of disabled defences. Writes until it is killed. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Set<Defence> without = EnumSet.noneOf(Defence.class);
        for (int i = 2; i < args.length; i++) {
            without.add(Defence.valueOf(args[i]));
        }
        Durable d = open(Path.of(args[0]), new SideBySide(), without);
        Committer c = new Committer(d, 1 << 20, 0, 4 << 20);
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.US_ASCII);
        List<Thread> writers = new ArrayList<>();
        for (int w = 0; w < WRITERS; w++) {
            SplittableRandom chance = new SplittableRandom(Long.parseLong(args[1]) + w);
            int first = w * KEYS_PER_WRITER;
            writers.add(new Thread(() -> write(d, c, out, chance, first)));
        }
        writers.forEach(Thread::start);
        for (Thread w : writers) {
            w.join();
        }
    }

    private static void write(Durable d, Committer c, PrintStream out, SplittableRandom random, int first) {
        try {
            while (!out.checkError()) {
                Batch b = new Batch();
                StringBuilder acknowledgements = new StringBuilder();
                int key = first + random.nextInt(KEYS_PER_WRITER);
                for (int n = random.nextInt(1, 4); n > 0; n--) {
                    StoredRecord f = d.get(NAMESPACE.name(), key(key));
                    long version = f == null ? 1 : ByteBuffer.wrap(f.value()).getLong() + 1;
                    b.put(NAMESPACE.name(), key(key), value(key, version));
                    acknowledgements.append(key).append(' ').append(version).append(" .\n");
                    key = first + (key - first + 1) % KEYS_PER_WRITER;
                }
                c.write(b);
                out.print(acknowledgements);
                out.flush();
            }
        } catch (IOException e) {
            System.err.println("a writer ended: " + e);
        }
    }
}
