package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Creates keys, values, changes and hash functions for tests of tables. */
final class TestTables {
    private TestTables() {}

    static Key capKey(int tenant) {
        return new Key(Kind.CAP, String.format("tenant-%06d", tenant));
    }

    static Change put(Key key, Value value) {
        return new Change(key, Optional.empty(), Optional.of(value));
    }

    static Change remove(Key key) {
        return new Change(key, Optional.empty(), Optional.empty());
    }

    /** Changes that set the caps of the tenants numbered from one number up to, but not including, another. */
    static List<Change> capChanges(int from, int to, int connections) {
        List<Change> changes = new ArrayList<>();
        for (int tenant = from; tenant < to; tenant++) {
            changes.add(put(capKey(tenant), new Value.Cap(connections)));
        }
        return changes;
    }

    /** A key of a random kind with one of {@code names} names. */
    static Key randomKey(SplittableRandom random, int names) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        String name = "name-" + random.nextInt(names);
        return new Key(kind, kind == Kind.ANNOUNCE ? "" : name);
    }

    static Value randomValue(SplittableRandom random, Kind kind) {
        return switch (kind) {
            case STORE -> new Value.Weight(1 + random.nextInt(1000));
            case ANNOUNCE, KERNEL -> new Value.Address("10.0.0." + random.nextInt(250), 1 + random.nextInt(65_535));
            case CAP -> new Value.Cap(random.nextInt(300));
            case STAND_BACK -> new Value.Present();
        };
    }

    /** Additions and removals in random order; several may have the same key. */
    static List<Change> randomChanges(SplittableRandom random, int count, int names) {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Key key = randomKey(random, names);
            changes.add(random.nextInt(3) == 0 ? remove(key) : put(key, randomValue(random, key.kind())));
        }
        return changes;
    }

    /** Applies changes to the map that models a table. */
    static void applyToModel(Map<Key, Value> model, List<Change> changes) {
        for (Change change : changes) {
            change.after().ifPresentOrElse(value -> model.put(change.key(), value), () -> model.remove(change.key()));
        }
    }

    static Map<Key, Value> entriesOf(Table table) {
        Map<Key, Value> entries = new TreeMap<>();
        table.forEach(entry -> entries.put(entry.key(), entry.value()));
        return entries;
    }

    /** A hash function of which only the first digits depend on the key, so that hashes collide at greater depth. */
    static KeyHashing collidingAfter(int digits) {
        return (bytes, from, to) -> {
            long first = Sha256.of(bytes, from, to).word0();
            int shift = Long.SIZE - 4 * digits;
            return new Hash256(digits == 0 ? 0 : first >>> shift << shift, 0, 0, 0);
        };
    }

    /** A hash function of which only the last digit depends on the key. */
    static KeyHashing differingInLastDigit() {
        return (bytes, from, to) ->
                new Hash256(0, 0, 0, Sha256.of(bytes, from, to).word0() & 15);
    }
}
