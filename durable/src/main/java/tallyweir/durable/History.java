package tallyweir.durable;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import tallyweir.durable.StoreRefusedException.Cause;

/**
 * A pseudo-random history of writes generated from a seed, checked against a simple model: one map per namespace, plus
 * the possible outcomes of writes that were not acknowledged. Does not depend on the store's internals.
 */
final class History {
    /** Opens the store under test. */
    interface Opener {
        Durable open() throws IOException;
    }

    static final List<Namespace> NAMESPACES = List.of(
            new Namespace("plain", 1L << 40, false),
            new Namespace("ring", 900, true),
            new Namespace("full", 1_200, false));

    private record Value(byte[] bytes, long expires) {
        boolean matches(StoredRecord f) {
            return Arrays.equals(bytes, f.value()) && expires == f.expiresAt();
        }
    }

    /** Expected content: keys in the order of their last write. */
    private static final class Model {
        private final Map<String, LinkedHashMap<String, Value>> namespaces = new HashMap<>();

        Model() {
            NAMESPACES.forEach(n -> namespaces.put(n.name(), new LinkedHashMap<>()));
        }

        Model(Model m) {
            m.namespaces.forEach((name, keys) -> namespaces.put(name, new LinkedHashMap<>(keys)));
        }

        private long usedBytes(String space) {
            return namespaces.get(space).entrySet().stream()
                    .mapToLong(e -> 29L + e.getKey().length() + e.getValue().bytes.length)
                    .sum();
        }

        /** Returns the model after a batch, or null if the batch must be refused. */
        Model afterBatch(Batch b) {
            Model m = new Model(this);
            Map<String, Set<String>> own = new HashMap<>();
            for (Batch.Write w : b.writes) {
                String key = text(w.key());
                m.namespaces.get(w.namespace()).remove(key);
                if (!w.isDelete()) {
                    m.namespaces.get(w.namespace()).put(key, new Value(w.value(), w.expiresAt()));
                    own.computeIfAbsent(w.namespace(), n -> new HashSet<>()).add(key);
                }
            }
            for (Namespace n : NAMESPACES) {
                Iterator<String> oldest = m.namespaces.get(n.name()).keySet().iterator();
                while (m.usedBytes(n.name()) > n.maxBytes() && m.usedBytes(n.name()) > usedBytes(n.name())) {
                    String key = n.dropOldest() ? oldest.next() : null;
                    if (key == null || own.getOrDefault(n.name(), Set.of()).contains(key)) {
                        return null;
                    }
                    oldest.remove();
                }
            }
            return m;
        }
    }

    private final SplittableRandom random;
    private final Opener opener;
    private Durable store;
    private Model acknowledged = new Model();
    private final List<Model> possibleOutcomes = new ArrayList<>();
    private long clock = 17_000_000_000_000L;
    private long lost;
    private long torn;
    private final List<String> violations = new ArrayList<>();
    private final Set<Integer> writtenValueHashes = new HashSet<>();

    History(long seed, Opener opener) {
        random = new SplittableRandom(seed);
        this.opener = opener;
    }

    /** The simulated time in tenths of a millisecond since 1970. */
    long clock() {
        return clock;
    }

    Durable store() {
        return store;
    }

    /** Number of acknowledged records not found, or found with an older content. */
    long lost() {
        return lost;
    }

    /** Number of records found that were never written like that or should not exist. */
    long torn() {
        return torn;
    }

    /** Descriptions of the deviations. */
    List<String> violations() {
        return violations;
    }

    private static String text(byte[] key) {
        return new String(key, StandardCharsets.ISO_8859_1);
    }

    void open() throws IOException {
        store = opener.open();
    }

    /** Plays the given number of steps. Throws if the power is cut or an opening fails. */
    void play(int steps) throws IOException {
        for (int i = 0; i < steps; i++) {
            int kind = random.nextInt(20);
            if (kind < 12) {
                write();
            } else if (kind < 14) {
                clock += random.nextInt(0, 3_000);
            } else if (kind < 15) {
                clock -= random.nextInt(0, 2_000);
            } else if (kind < 17) {
                ignoringFailures(() -> {
                    for (int n = random.nextInt(1, 6); n > 0; n--) {
                        store.upkeep(1_024);
                    }
                });
            } else if (kind < 18) {
                store.snapshot();
            } else if (kind < 19) {
                ignoringFailures(store::compactAll);
            } else {
                store.close();
                open();
                check();
            }
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    /** Runs upkeep, ignoring faults of the disk: they must not harm written records. */
    private static void ignoringFailures(Work work) {
        try {
            work.run();
        } catch (IOException hindered) {
            return;
        }
    }

    /** Writes one group of batches. */
    void write() {
        List<Batch> group = new ArrayList<>();
        for (int n = random.nextInt(1, 4); n > 0; n--) {
            group.add(batch());
        }
        Model after = acknowledged;
        List<Boolean> expected = new ArrayList<>();
        for (Batch b : group) {
            Model next = after.afterBatch(b);
            expected.add(next != null);
            after = next == null ? after : next;
        }
        possibleOutcomes.add(after); // from here on the group may be on the disk
        List<StoreRefusedException> refusals = store.commit(group);
        for (int i = 0; i < refusals.size(); i++) {
            StoreRefusedException r = refusals.get(i);
            if (r != null && r.reason() != Cause.AT_BOUND) {
                if (r.reason() != Cause.UNKNOWN) {
                    possibleOutcomes.remove(possibleOutcomes.size() - 1);
                }
                return;
            }
            if ((r == null) != expected.get(i)) {
                violations.add("batch " + i + " was " + (r == null ? "accepted" : "refused") + " at the bound");
                torn++;
            }
        }
        acknowledged = after;
        possibleOutcomes.clear();
    }

    private Batch batch() {
        Batch b = new Batch();
        for (int n = random.nextInt(1, 5); n > 0; n--) {
            String space = NAMESPACES.get(random.nextInt(3)).name();
            byte[] key = key(space);
            if (random.nextInt(5) == 0) {
                b.delete(space, key);
            } else {
                b.put(
                        space,
                        key,
                        value(),
                        space.equals("plain") && random.nextInt(3) == 0 ? clock + random.nextInt(1, 6_000) : 0);
            }
        }
        return b;
    }

    private byte[] key(String space) {
        int n = random.nextInt(space.equals("plain") ? 14 : 9);
        return n == 0 ? new byte[0] : ("key" + n).getBytes(StandardCharsets.ISO_8859_1);
    }

    private byte[] value() {
        byte[] v = new byte
                [random.nextInt(8) == 0 ? 0 : random.nextInt(12) == 0 ? random.nextInt(900) : random.nextInt(90)];
        for (int i = 0; i < v.length; i++) {
            v[i] = (byte) random.nextInt(256);
        }
        writtenValueHashes.add(Arrays.hashCode(v));
        return v;
    }

    /**
     * Compares the store with the acknowledged model and the models of unacknowledged outcomes, and adopts the best match.
     * Returns true if it is exact.
     */
    boolean check() {
        long violationsBefore = violations.size();
        List<String> fewest = null;
        Model found = null;
        List<Model> all = new ArrayList<>(possibleOutcomes);
        all.add(0, acknowledged);
        for (Model m : all) {
            List<String> deviations = compare(m, store);
            if (fewest == null || deviations.size() < fewest.size()) {
                fewest = deviations;
                found = m;
            }
        }
        for (String w : fewest) {
            violations.add(w);
            if (w.startsWith("lost")) {
                lost++;
            } else {
                torn++;
            }
        }
        acknowledged = found;
        possibleOutcomes.clear();
        return violations.size() == violationsBefore;
    }

    /** Describes how a store deviates from the acknowledged model, without changing this history. */
    List<String> compare(Durable with) {
        return compare(acknowledged, with);
    }

    private List<String> compare(Model m, Durable with) {
        List<String> deviations = new ArrayList<>();
        long now = with.now();
        try (View view = with.view()) {
            for (Namespace n : NAMESPACES) {
                Map<String, Value> missing = new HashMap<>(m.namespaces.get(n.name()));
                missing.values().removeIf(v -> v.expires != 0 && v.expires <= now);
                Iterator<StoredRecord> in = view.range(n.name(), new byte[0], null);
                while (in.hasNext()) {
                    StoredRecord f;
                    try {
                        f = in.next();
                    } catch (RuntimeException e) {
                        deviations.add("lost: " + e.getMessage());
                        continue;
                    }
                    String key = text(f.key());
                    Value v = missing.remove(key);
                    if (v == null) {
                        deviations.add("returned: " + n.name() + "/" + key + " must not exist");
                    } else if (!v.matches(f)) {
                        deviations.add(
                                (writtenValueHashes.contains(Arrays.hashCode(f.value())) ? "lost: " : "returned: ")
                                        + n.name() + "/" + key + " is not as last written");
                    }
                }
                missing.keySet().forEach(key -> deviations.add("lost: " + n.name() + "/" + key));
            }
        }
        return deviations;
    }
}
