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
    private static final int KEYS = 40;
    private static final int SEGMENT = 1 << 16;
    private static final Namespace SPACE = new Namespace("kills", 1L << 30, false);

    private Kills() {}

    /** Kills a writer {@code kills} times over the same store and checks the store after each kill. */
    public static Drill.Tally play(Path dir, long seed, int kills, Set<Defence> without)
            throws IOException, InterruptedException {
        clear(dir);
        Drill.Tally t = new Drill.Tally();
        SplittableRandom chance = new SplittableRandom(seed);
        Map<Integer, Long> told = new HashMap<>();
        for (int i = 0; i < kills && t.wrong().size() < 20; i++) {
            writer(dir, chance, without, told);
            look(dir, without, told, t, "kill " + i);
        }
        return t;
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

    private static void writer(Path dir, SplittableRandom chance, Set<Defence> without, Map<Integer, Long> told)
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
                Long.toString(chance.nextLong())));
        without.forEach(d -> command.add(d.name()));
        Process writer = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        int lines = chance.nextInt(1, 4_000);
        long pause = chance.nextInt(3);
        try (BufferedReader in = writer.inputReader(StandardCharsets.US_ASCII)) {
            String line = "";
            for (int i = 0; i < lines && line != null; i++) {
                line = in.readLine();
                tell(line, told);
            }
            TimeUnit.MILLISECONDS.sleep(pause);
            writer.toHandle().destroyForcibly(); // unlike Process.destroyForcibly, keeps the output readable
            for (line = in.readLine(); line != null; line = in.readLine()) {
                tell(line, told);
            }
        } finally {
            writer.destroyForcibly().waitFor();
        }
    }

    private static void tell(String line, Map<Integer, Long> told) {
        String[] parts = line == null ? new String[0] : line.split(" ");
        if (parts.length == 3 && parts[2].equals(".")) { // complete lines only
            told.merge(Integer.parseInt(parts[0]), Long.parseLong(parts[1]), Math::max);
        }
    }

    private static void look(Path dir, Set<Defence> without, Map<Integer, Long> told, Drill.Tally t, String when) {
        try (SideBySide both = new SideBySide();
                Durable d = open(dir, both, without)) {
            t.opened();
            for (int key = 0; key < WRITERS * KEYS; key++) {
                Found f = d.get(SPACE.name(), key(key));
                long version = f == null ? 0 : ByteBuffer.wrap(f.value()).getLong();
                if (version < told.getOrDefault(key, 0L)) {
                    t.take(
                            List.of("lost: key " + key + " is at " + version + ", acknowledged was " + told.get(key)),
                            when);
                }
                if (f != null && !Arrays.equals(f.value(), value(key, version))) {
                    t.take(List.of("returned: key " + key + " is not what was written as version " + version), when);
                }
            }
        } catch (IOException | RuntimeException e) {
            t.failed(when + ": " + e);
        }
    }

    private static byte[] key(int n) {
        return ByteBuffer.allocate(4).putInt(n).array();
    }

    private static byte[] value(int key, long version) {
        SplittableRandom chance = new SplittableRandom(key * 1_000_003L + version);
        byte[] v = new byte[8 + chance.nextInt(200)];
        ByteBuffer out = ByteBuffer.wrap(v).putLong(version);
        while (out.hasRemaining()) {
            out.put((byte) chance.nextInt());
        }
        return v;
    }

    private static Durable open(Path dir, Both both, Set<Defence> without) throws IOException {
        return new Durable(
                new FileDisk(dir.resolve("first")),
                new FileDisk(dir.resolve("second")),
                both,
                SEGMENT,
                Drill.SECTOR,
                0.4,
                20_000,
                List.of(SPACE),
                7,
                FileStore::clock,
                Runnable::run,
                without);
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
            int first = w * KEYS;
            writers.add(new Thread(() -> write(d, c, out, chance, first)));
        }
        writers.forEach(Thread::start);
        for (Thread w : writers) {
            w.join();
        }
    }

    private static void write(Durable d, Committer c, PrintStream out, SplittableRandom chance, int first) {
        try {
            while (!out.checkError()) {
                Batch b = new Batch();
                StringBuilder said = new StringBuilder();
                int key = first + chance.nextInt(KEYS);
                for (int n = chance.nextInt(1, 4); n > 0; n--) {
                    Found f = d.get(SPACE.name(), key(key));
                    long version = f == null ? 1 : ByteBuffer.wrap(f.value()).getLong() + 1;
                    b.put(SPACE.name(), key(key), value(key, version));
                    said.append(key).append(' ').append(version).append(" .\n");
                    key = first + (key - first + 1) % KEYS;
                }
                c.write(b);
                out.print(said);
                out.flush();
            }
        } catch (IOException e) {
            System.err.println("a writer ended: " + e);
        }
    }
}
