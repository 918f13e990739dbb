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
import tallyweir.durable.Refused.Cause;

/**
 * A pseudo-random history of writes generated from a seed, checked against a simple model: one map per namespace, plus
 * the possible outcomes of writes that were not acknowledged. Does not depend on the store's internals.
 */
final class History {
    /** Opens the store under test. */
    interface Opener {
        Durable open() throws IOException;
    }

    static final List<Namespace> SPACES = List.of(
            new Namespace("plain", 1L << 40, false),
            new Namespace("ring", 900, true),
            new Namespace("full", 1_200, false));

    private record Value(byte[] bytes, long expires) {
        boolean is(Found f) {
            return Arrays.equals(bytes, f.value()) && expires == f.expires();
        }
    }

    /** Expected content: keys in the order of their last write. */
    private static final class Model {
        private final Map<String, LinkedHashMap<String, Value>> spaces = new HashMap<>();

        Model() {
            SPACES.forEach(n -> spaces.put(n.name(), new LinkedHashMap<>()));
        }

        Model(Model m) {
            m.spaces.forEach((name, keys) -> spaces.put(name, new LinkedHashMap<>(keys)));
        }

        private long used(String space) {
            return spaces.get(space).entrySet().stream()
                    .mapToLong(e -> 29L + e.getKey().length() + e.getValue().bytes.length)
                    .sum();
        }

        /** Returns the model after a batch, or null if the batch must be refused. */
        Model with(Batch b) {
            Model m = new Model(this);
            Map<String, Set<String>> own = new HashMap<>();
            for (Batch.Write w : b.writes) {
                String key = text(w.key());
                m.spaces.get(w.namespace()).remove(key);
                if (!w.isDelete()) {
                    m.spaces.get(w.namespace()).put(key, new Value(w.value(), w.expires()));
                    own.computeIfAbsent(w.namespace(), n -> new HashSet<>()).add(key);
                }
            }
            for (Namespace n : SPACES) {
                Iterator<String> oldest = m.spaces.get(n.name()).keySet().iterator();
                while (m.used(n.name()) > n.boundBytes() && m.used(n.name()) > used(n.name())) {
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

    private final SplittableRandom chance;
    private final Opener opener;
    private Durable store;
    private Model acknowledged = new Model();
    private final List<Model> possible = new ArrayList<>();
    private long clock = 17_000_000_000_000L;
    private long lost;
    private long torn;
    private final List<String> wrong = new ArrayList<>();
    private final Set<Integer> written = new HashSet<>();

    History(long seed, Opener opener) {
        chance = new SplittableRandom(seed);
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
    List<String> wrong() {
        return wrong;
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
            int kind = chance.nextInt(20);
            if (kind < 12) {
                write();
            } else if (kind < 14) {
                clock += chance.nextInt(0, 3_000);
            } else if (kind < 15) {
                clock -= chance.nextInt(0, 2_000);
            } else if (kind < 17) {
                quietly(() -> {
                    for (int n = chance.nextInt(1, 6); n > 0; n--) {
                        store.upkeep(1_024);
                    }
                });
            } else if (kind < 18) {
                store.snapshot();
            } else if (kind < 19) {
                quietly(store::compactAll);
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
    private static void quietly(Work work) {
        try {
            work.run();
        } catch (IOException hindered) {
            return;
        }
    }

    /** Writes one group of batches. */
    void write() {
        List<Batch> group = new ArrayList<>();
        for (int n = chance.nextInt(1, 4); n > 0; n--) {
            group.add(batch());
        }
        Model maybe = acknowledged;
        List<Boolean> expected = new ArrayList<>();
        for (Batch b : group) {
            Model next = maybe.with(b);
            expected.add(next != null);
            maybe = next == null ? maybe : next;
        }
        possible.add(maybe); // from here on the group may be on the disk
        List<Refused> answers = store.commit(group);
        for (int i = 0; i < answers.size(); i++) {
            Refused r = answers.get(i);
            if (r != null && r.why() != Cause.AT_BOUND) {
                if (r.why() != Cause.UNKNOWN) {
                    possible.remove(possible.size() - 1);
                }
                return;
            }
            if ((r == null) != expected.get(i)) {
                wrong.add("batch " + i + " was " + (r == null ? "accepted" : "refused") + " at the bound");
                torn++;
            }
        }
        acknowledged = maybe;
        possible.clear();
    }

    private Batch batch() {
        Batch b = new Batch();
        for (int n = chance.nextInt(1, 5); n > 0; n--) {
            String space = SPACES.get(chance.nextInt(3)).name();
            byte[] key = key(space);
            if (chance.nextInt(5) == 0) {
                b.delete(space, key);
            } else {
                b.put(
                        space,
                        key,
                        value(),
                        space.equals("plain") && chance.nextInt(3) == 0 ? clock + chance.nextInt(1, 6_000) : 0);
            }
        }
        return b;
    }

    private byte[] key(String space) {
        int n = chance.nextInt(space.equals("plain") ? 14 : 9);
        return n == 0 ? new byte[0] : ("key" + n).getBytes(StandardCharsets.ISO_8859_1);
    }

    private byte[] value() {
        byte[] v = new byte
                [chance.nextInt(8) == 0 ? 0 : chance.nextInt(12) == 0 ? chance.nextInt(900) : chance.nextInt(90)];
        for (int i = 0; i < v.length; i++) {
            v[i] = (byte) chance.nextInt(256);
        }
        written.add(Arrays.hashCode(v));
        return v;
    }

    /**
     * Compares the store with the acknowledged model and the models of unacknowledged outcomes, and adopts the best match.
     * Returns true if it is exact.
     */
    boolean check() {
        long before = wrong.size();
        List<String> best = null;
        Model found = null;
        List<Model> all = new ArrayList<>(possible);
        all.add(0, acknowledged);
        for (Model m : all) {
            List<String> off = compare(m, store);
            if (best == null || off.size() < best.size()) {
                best = off;
                found = m;
            }
        }
        for (String w : best) {
            wrong.add(w);
            if (w.startsWith("lost")) {
                lost++;
            } else {
                torn++;
            }
        }
        acknowledged = found;
        possible.clear();
        return wrong.size() == before;
    }

    /** Describes how a store deviates from the acknowledged model, without changing this history. */
    List<String> compare(Durable with) {
        return compare(acknowledged, with);
    }

    private List<String> compare(Model m, Durable with) {
        List<String> off = new ArrayList<>();
        long now = with.now();
        try (View view = with.view()) {
            for (Namespace n : SPACES) {
                Map<String, Value> left = new HashMap<>(m.spaces.get(n.name()));
                left.values().removeIf(v -> v.expires != 0 && v.expires <= now);
                Iterator<Found> in = view.range(n.name(), new byte[0], null);
                while (in.hasNext()) {
                    Found f;
                    try {
                        f = in.next();
                    } catch (RuntimeException e) {
                        off.add("lost: " + e.getMessage());
                        continue;
                    }
                    String key = text(f.key());
                    Value v = left.remove(key);
                    if (v == null) {
                        off.add("returned: " + n.name() + "/" + key + " must not exist");
                    } else if (!v.is(f)) {
                        off.add((written.contains(Arrays.hashCode(f.value())) ? "lost: " : "returned: ") + n.name()
                                + "/" + key + " is not as last written");
                    }
                }
                left.keySet().forEach(key -> off.add("lost: " + n.name() + "/" + key));
            }
        }
        return off;
    }
}
