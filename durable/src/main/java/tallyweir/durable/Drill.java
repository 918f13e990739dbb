package tallyweir.durable;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Fault-injection tests of the store: power cuts, failing disks, damaged files, lost locks. Counts the violations. */
public final class Drill {
    static final int SECTOR_BYTES = 512;
    static final int SEGMENT_BYTES = 4_096;
    private static final double MAX_DEAD_SHARE = 0.4;

    /** Results of a part of the drill. Thread-safe, except the argument of {@link #add}, which must not change meanwhile. */
    public static final class Tally {
        private long openings;
        private long lost;
        private long torn;
        private long failed;
        private long cutInOpening;
        private final List<String> violations = new ArrayList<>();

        /** Number of openings of the store. */
        public synchronized long openings() {
            return openings;
        }

        /** Number of acknowledged records not found as written. */
        public synchronized long lost() {
            return lost;
        }

        /** Number of records returned that should not have been. */
        public synchronized long torn() {
            return torn;
        }

        /** Number of failed openings. */
        public synchronized long failed() {
            return failed;
        }

        /** Descriptions of the first 20 violations. */
        public synchronized List<String> violations() {
            return List.copyOf(violations);
        }

        public synchronized boolean passed() {
            return lost == 0 && torn == 0 && failed == 0;
        }

        public synchronized void add(Tally t) {
            openings += t.openings;
            lost += t.lost;
            torn += t.torn;
            failed += t.failed;
            cutInOpening += t.cutInOpening;
            t.violations.forEach(this::addViolation);
        }

        private synchronized void addViolation(String what) {
            if (violations.size() < 20) {
                violations.add(what);
            }
        }

        /** Number of openings during which the power was cut. */
        public synchronized long cutInOpening() {
            return cutInOpening;
        }

        private synchronized void countCutInOpening() {
            cutInOpening++;
        }

        synchronized void countOpening() {
            openings++;
        }

        synchronized void failed(String what) {
            failed++;
            addViolation(what);
        }

        synchronized void countViolations(List<String> deviations, String when) {
            for (String w : deviations) {
                if (w.startsWith("lost")) {
                    lost++;
                } else {
                    torn++;
                }
                addViolation(when + ": " + w);
            }
        }

        private synchronized void countViolations(History h, String when) {
            lost += h.lost();
            torn += h.torn();
            h.violations().forEach(w -> addViolation(when + ": " + w));
        }
    }

    private Drill() {}

    /** The two simulated disks of one machine and their power supply. */
    private static final class Machine {
        private SimDisk first;
        private SimDisk second;
        private SimDisk.Power power;

        Machine(long seed) {
            power = new SimDisk.Power(seed);
            first = new SimDisk(power, SECTOR_BYTES, "first");
            second = new SimDisk(power, SECTOR_BYTES, "second");
        }

        void cutPower(SplittableRandom chance) {
            power = new SimDisk.Power(chance.nextLong());
            first = first.afterCut(power, chance);
            second = second.afterCut(power, chance);
        }

        History history(long seed, Tally t, Set<Defence> without) {
            History[] h = new History[1];
            h[0] = new History(seed, () -> {
                t.countOpening();
                return open(first, second, h[0]::clock, seed, without);
            });
            return h[0];
        }
    }

    static Durable open(Disk first, Disk second, java.util.function.LongSupplier clock, long seed, Set<Defence> without)
            throws IOException {
        return new Durable(
                first,
                second,
                CopyExecutor.SEQUENTIAL,
                SEGMENT_BYTES,
                SECTOR_BYTES,
                MAX_DEAD_SHARE,
                10_000,
                History.NAMESPACES,
                seed,
                clock,
                Runnable::run,
                without);
    }

    /**
     * Plays a history until the power is cut during an operation, for each operation in turn; then opens the store and
     * compares it with the model. Except for the first fate, the power is cut again during the opening.
     *
     * @param steps length of the history
     * @param every step between the operations tried: 1 for all, 2 for every second one
     * @param fates number of times each cut is played, with different surviving sectors and names
     */
    public static Tally powerCuts(long seed, int steps, int every, int fates, Set<Defence> without) {
        Tally t = new Tally();
        for (long at = 1; ; at += every) {
            boolean through = false;
            for (int fate = 0; fate < fates; fate++) {
                through |= playCut(seed, steps, at, fate, t, without);
            }
            if (through || !t.passed() && t.violations().size() >= 20) {
                return t;
            }
        }
    }

    /** Returns true if the history ended before the cut. */
    private static boolean playCut(long seed, int steps, long at, int fate, Tally t, Set<Defence> without) {
        String when = "seed " + seed + ", cut " + at + ", fate " + fate;
        SplittableRandom chance = new SplittableRandom(seed * 1_000_003 + at * 31 + fate);
        Machine m = new Machine(chance.nextLong());
        m.power.allowShortIo(fate % 2 == 1);
        History h = m.history(seed, t, without);
        boolean through = false;
        try {
            m.power.cutAtOperation(at);
            try {
                h.open();
                h.play(steps);
                through = true;
            } catch (SimDisk.PowerCut cut) {
                through = false;
            }
            m.cutPower(chance);
            if (fate > 0) {
                m.power.cutAtOperation(chance.nextLong(1, 12));
                try {
                    h.open();
                    h.store().upkeep(SEGMENT_BYTES);
                    h.store().close();
                } catch (SimDisk.PowerCut cut) {
                    t.countCutInOpening();
                }
                m.cutPower(chance);
            }
            h.open();
            h.check();
            h.play(6);
            h.store().close();
            h.open();
            h.check();
        } catch (IOException | RuntimeException e) {
            t.failed(when + ": " + e);
        }
        t.countViolations(h, when);
        return through;
    }

    /**
     * Plays histories on disks with temporary faults: failing forces, a full disk, a read-only disk. Each history ends
     * with a power cut.
     */
    public static Tally diskFaults(long seed, int rounds, Set<Defence> without) {
        Tally t = new Tally();
        SplittableRandom chance = new SplittableRandom(seed);
        for (int round = 0; round < rounds && t.violations().size() < 20; round++) {
            String when = "seed " + seed + ", round " + round;
            Machine m = new Machine(chance.nextLong());
            History h = m.history(chance.nextLong(), t, without);
            try {
                h.open();
                for (int i = 0; i < 6; i++) {
                    h.play(3);
                    playFault(m, h, chance);
                }
                m.cutPower(chance);
                h.open();
                h.check();
                h.play(4);
                h.store().close();
                h.open();
                h.check();
            } catch (IOException | RuntimeException e) {
                t.failed(when + ": " + e);
            }
            t.countViolations(h, when);
        }
        return t;
    }

    private static void playFault(Machine m, History h, SplittableRandom chance) {
        switch (chance.nextInt(3)) {
            case 0 -> m.power.failForceOfBoth(chance.nextInt(1, 4));
            case 1 -> m.power.setRemainingBytes(chance.nextInt(0, 3_000));
            default -> m.power.setReadOnly(true);
        }
        for (int n = chance.nextInt(1, 4); n > 0; n--) {
            h.write();
        }
        m.power.setRemainingBytes(Long.MAX_VALUE);
        m.power.setReadOnly(false);
        if (chance.nextBoolean()) {
            h.write();
        }
    }

    /**
     * Opens a store a second time while the first holder still runs, as after a lost lock. Everything that any holder
     * acknowledged must be found after a power cut, the later write over the earlier, in whatever order they wrote.
     */
    public static Tally takeovers(long seed, int rounds, Set<Defence> without) {
        Tally t = new Tally();
        SplittableRandom chance = new SplittableRandom(seed);
        for (int round = 0; round < rounds && t.violations().size() < 20; round++) {
            String when = "seed " + seed + ", round " + round;
            try {
                playTakeover(chance, t, without, when);
            } catch (IOException | RuntimeException e) {
                t.failed(when + ": " + e);
            }
        }
        return t;
    }

    private static void playTakeover(SplittableRandom chance, Tally t, Set<Defence> without, String when)
            throws IOException {
        Machine m = new Machine(chance.nextLong());
        long seed = chance.nextLong();
        List<Durable> holders = new ArrayList<>();
        Map<String, Byte> acknowledged = new TreeMap<>();
        Map<String, List<Byte>> unacknowledged = new TreeMap<>();
        byte version = 0;
        for (int step = 0; step < 30; step++) {
            if (holders.isEmpty() || holders.size() < 3 && chance.nextInt(10) == 0) {
                m.first.breakLock();
                m.second.breakLock();
                holders.add(open(m.first, m.second, () -> 17_000_000_000_000L, seed, without));
                t.countOpening();
            }
            Durable d = holders.get(chance.nextInt(holders.size()));
            int kind = chance.nextInt(10);
            if (kind == 0) {
                d.snapshot();
            } else if (kind == 1) {
                upkeepIgnoringFailures(d, chance.nextBoolean());
            } else {
                String key = "k" + chance.nextInt(6);
                byte[] value = new byte[chance.nextInt(1, 400)];
                value[0] = ++version;
                if (d.commit(List.of(new Batch().put("plain", key.getBytes(), value)))
                                .get(0)
                        == null) {
                    acknowledged.put(key, version);
                    unacknowledged.remove(key);
                } else {
                    unacknowledged.computeIfAbsent(key, k -> new ArrayList<>()).add(version);
                }
            }
        }
        holders.forEach(Durable::abandon);
        m.cutPower(chance);
        Durable d = open(m.first, m.second, () -> 17_000_000_000_000L, seed, without);
        t.countOpening();
        acknowledged.forEach((key, is) -> {
            try {
                StoredRecord f = d.get("plain", key.getBytes());
                if (f == null
                        || f.value()[0] != is
                                && !unacknowledged.getOrDefault(key, List.of()).contains(f.value()[0])) {
                    t.countViolations(List.of("lost: " + key + " as " + is), when);
                }
            } catch (IOException e) {
                t.countViolations(List.of("lost: " + key + ": " + e.getMessage()), when);
            }
        });
        d.abandon();
    }

    private static void upkeepIgnoringFailures(Durable d, boolean all) {
        try {
            if (all) {
                d.compactAll();
            } else {
                d.upkeep(SEGMENT_BYTES);
            }
        } catch (IOException hindered) {
            return; // a holder that has been fenced off
        }
    }

    /**
     * Writes a key without expiry, then deletes it or overwrites it with an expiring value in another segment, and
     * compacts that segment while the one with the first version stays. The first version must not reappear at any
     * later opening, with or without an index snapshot.
     */
    public static Tally staleVersions(long seed, int rounds, Set<Defence> without) {
        Tally t = new Tally();
        SplittableRandom chance = new SplittableRandom(seed);
        for (int round = 0; round < rounds && t.violations().size() < 20; round++) {
            try {
                playStaleVersion(chance, t, without, "seed " + seed + ", round " + round);
            } catch (IOException | RuntimeException e) {
                t.failed("seed " + seed + ", round " + round + ": " + e);
            }
        }
        return t;
    }

    private static void playStaleVersion(SplittableRandom chance, Tally t, Set<Defence> without, String when)
            throws IOException {
        Machine m = new Machine(chance.nextLong());
        long[] clock = {17_000_000_000_000L};
        byte[] key = {(byte) chance.nextInt(256)};
        byte[] filler = new byte[chance.nextInt(300, 700)];
        long seed = chance.nextLong();
        Durable d = open(m.first, m.second, () -> clock[0], seed, without);
        t.countOpening();
        d.commit(new Batch().put("plain", key, new byte[] {1}));
        fill(d, "stays", filler, chance.nextInt(8, 24));
        if (chance.nextBoolean()) {
            d.commit(new Batch().delete("plain", key));
        } else {
            d.commit(new Batch().put("plain", key, new byte[] {2}, clock[0] + 1_000));
        }
        int goes = chance.nextInt(8, 24);
        fill(d, "goes", filler, goes);
        for (int i = 0; i < goes; i++) {
            d.commit(new Batch().delete("plain", ("goes" + i).getBytes()));
        }
        clock[0] += 2_000;
        for (int i = 0; i < 200 && d.upkeep(SEGMENT_BYTES); i++) {
            if (chance.nextInt(20) == 0) {
                clock[0] += 601_000;
            }
        }
        for (int opening = 0; opening < 3; opening++) {
            if (d.get("plain", key) != null) {
                t.countViolations(List.of("returned: an old version of a key"), when + ", opening " + opening);
            }
            if (opening < 2) {
                if (chance.nextBoolean()) {
                    d.abandon();
                    m.first.fileNames().stream()
                            .filter(n -> n.endsWith(".idx"))
                            .toList()
                            .forEach(m.first::removeDurable);
                } else {
                    d.close();
                }
                d = open(m.first, m.second, () -> clock[0], seed, without);
                t.countOpening();
                for (int i = chance.nextInt(20); i > 0; i--) {
                    d.upkeep(SEGMENT_BYTES);
                }
            }
        }
        d.abandon();
    }

    private static void fill(Durable d, String name, byte[] value, int many) throws IOException {
        for (int i = 0; i < many; i++) {
            d.commit(new Batch().put("plain", (name + i).getBytes(), value));
        }
    }

    /**
     * Plays a history and closes the store, then damages one file at a time: removes it, truncates it at each offset or
     * changes the byte at each offset. Each time the store is opened and compared with the history.
     *
     * @param dir directory for copies of the store, one per thread; null for disks in memory
     * @param steps length of the history
     * @param every step between the offsets tried: 1 for all
     */
    public static Tally fileDamage(Path dir, long seed, int steps, int every, int threads, Set<Defence> without)
            throws IOException {
        Tally t = new Tally();
        Machine m = new Machine(seed);
        History h = m.history(seed, t, without);
        h.open();
        h.play(steps);
        h.store().close();
        h.open();
        h.write();
        h.store().snapshot();
        h.write();
        h.store().abandon();
        List<Damage> cases = new ArrayList<>();
        for (int copy = 0; copy < 2; copy++) {
            SimDisk disk = copy == 0 ? m.first : m.second;
            for (String name : disk.fileNames()) {
                int size = disk.content(name).length;
                cases.add(new Damage(copy, name, -1, 0));
                for (int at = 0; at < size; at += every) {
                    cases.add(new Damage(copy, name, at, 0));
                    cases.add(new Damage(copy, name, at, 1 + (at * 37 + (int) seed & 0x7f)));
                }
            }
        }
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> parts = new ArrayList<>();
            for (int n = 0; n < threads; n++) {
                int part = n;
                parts.add(pool.submit(() -> {
                    DamagedCopies rig = new DamagedCopies(m, dir == null ? null : dir.resolve("part-" + part));
                    for (int i = part; i < cases.size() && t.violations().size() < 20; i += threads) {
                        playDamage(rig, cases.get(i), h, t, without);
                    }
                    return null;
                }));
            }
            for (Future<?> part : parts) {
                part.get();
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            pool.shutdownNow();
        }
        return t;
    }

    /** One damage: a file removed (at is -1), truncated at an offset (flip is 0), or a byte changed there. */
    private record Damage(int copy, String name, int offset, int flip) {
        byte[] applyTo(byte[] whole) {
            if (flip == 0) {
                return Arrays.copyOf(whole, offset);
            }
            byte[] b = whole.clone();
            b[offset] ^= (byte) flip;
            return b;
        }

        @Override
        public String toString() {
            return (copy == 0 ? "first/" : "second/")
                    + name
                    + (offset < 0 ? " gone" : flip == 0 ? " cut off at " + offset : " changed at " + offset);
        }
    }

    private static void playDamage(DamagedCopies rig, Damage c, History h, Tally t, Set<Defence> without)
            throws IOException {
        Disk[] disks = rig.disksWith(c);
        try {
            t.countOpening();
            Durable d = open(disks[0], disks[1], h::clock, 1, without);
            try {
                t.countViolations(h.compare(d), c.toString());
            } finally {
                d.abandon();
            }
        } catch (IOException | RuntimeException e) {
            t.failed(c + ": " + e);
        }
    }

    /** A copy of a store's files, of which one at a time is damaged. */
    private static final class DamagedCopies {
        private final List<Map<String, byte[]>> files = new ArrayList<>();
        private final Path dir;

        DamagedCopies(Machine m, Path dir) throws IOException {
            this.dir = dir;
            for (SimDisk disk : List.of(m.first, m.second)) {
                Map<String, byte[]> of = new TreeMap<>();
                disk.fileNames().forEach(name -> of.put(name, disk.content(name)));
                files.add(of);
            }
        }

        Disk[] disksWith(Damage c) throws IOException {
            Disk[] disks = new Disk[2];
            for (int copy = 0; copy < 2; copy++) {
                disks[copy] = dir == null ? memory(copy, c) : directory(copy, c);
            }
            return disks;
        }

        private Disk memory(int copy, Damage c) {
            SimDisk disk = new SimDisk(new SimDisk.Power(1), SECTOR_BYTES, "memory");
            files.get(copy).forEach((name, bytes) -> {
                if (copy != c.copy || !name.equals(c.name)) {
                    disk.addDurable(name, bytes);
                } else if (c.offset >= 0) {
                    disk.addDurable(name, c.applyTo(bytes));
                }
            });
            return disk;
        }

        /** Writes only files whose content differs from the wanted one. */
        private Disk directory(int copy, Damage c) throws IOException {
            Path to = dir.resolve(copy == 0 ? "first" : "second");
            FileDisk disk = new FileDisk(to);
            for (String there : disk.fileNames()) {
                if (!files.get(copy).containsKey(there) && !there.equals("lock")) {
                    Files.delete(to.resolve(there));
                }
            }
            for (Map.Entry<String, byte[]> f : files.get(copy).entrySet()) {
                Path file = to.resolve(f.getKey());
                boolean damaged = copy == c.copy && f.getKey().equals(c.name);
                if (damaged && c.offset < 0) {
                    Files.deleteIfExists(file);
                    continue;
                }
                byte[] wanted = damaged ? c.applyTo(f.getValue()) : f.getValue();
                if (!Files.exists(file) || !Arrays.equals(Files.readAllBytes(file), wanted)) {
                    Files.write(file, wanted);
                }
            }
            return disk;
        }
    }
}
