package tallyweir.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tallyweir.fleet.Fault;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Value;

/**
 * A file with a difference alone: the entries that are to be put, in the sections of a {@link RevisionFile}, and the names of
 * those that are to be removed.
 *
 * @param wanted what each entry is to say, empty where there is to be none
 */
public record ChangeFile(Map<Key, Optional<Value>> wanted) {
    private static final String PUT = "put";
    private static final String REMOVE = "remove";

    /**
     * Reads a change.
     *
     * @throws tallyweir.fleet.FleetException with {@link Fault.EntryFaulty}, which names all keys that are faulty, or
     *     {@link Fault.BodyFaulty} where the file is no JSON object
     */
    public static ChangeFile parse(byte[] json) {
        Tree tree = RevisionFile.tree(json);
        FaultList faults = new FaultList();
        faults.unknownKeys(tree, PUT, REMOVE);
        EntryReader put = new EntryReader(faults);
        faults.check(PUT, () -> put.sections(tree.in(PUT)));
        Set<Key> removed = new TreeSet<>();
        faults.check(REMOVE, () -> removed(faults, tree.in(REMOVE), removed));

        Map<Key, Optional<Value>> wanted = new TreeMap<>();
        put.entries().forEach((key, value) -> wanted.put(key, Optional.of(value)));
        for (Key key : removed) {
            if (wanted.put(key, Optional.empty()) != null) {
                faults.add(describe(key), describe(key) + " is to be put and to be removed");
            }
        }
        if (faults.isEmpty() && wanted.isEmpty()) {
            faults.add(PUT, "nothing is to be put or removed");
        }
        if (!faults.isEmpty()) {
            throw new Fault.EntryFaulty(faults.keys(), faults.reasons()).thrown();
        }
        return new ChangeFile(wanted);
    }

    private static void removed(FaultList faults, Tree tree, Set<Key> removed) {
        faults.unknownKeys(
                tree,
                EntryReader.STORES,
                EntryReader.ANNOUNCE,
                EntryReader.KERNELS,
                EntryReader.CAPS,
                EntryReader.STAND_BACK);
        faults.check(EntryReader.STORES, () -> removedStores(faults, tree.texts(EntryReader.STORES), removed));
        faults.check(EntryReader.ANNOUNCE, () -> {
            if (tree.yes(EntryReader.ANNOUNCE)) {
                removed.add(new Key(Kind.ANNOUNCE, ""));
            }
        });
        removedNames(faults, tree, EntryReader.KERNELS, Kind.KERNEL, removed);
        removedNames(faults, tree, EntryReader.CAPS, Kind.CAP, removed);
        removedNames(faults, tree, EntryReader.STAND_BACK, Kind.STAND_BACK, removed);
    }

    private static void removedStores(FaultList faults, List<String> names, Set<Key> removed) {
        for (int i = 0; i < names.size(); i++) {
            String key = REMOVE + "." + EntryReader.STORES + "[" + i + "]";
            String name = names.get(i);
            faults.check(key, () -> StoreName.parse(key, name).forEach(store -> removed.add(store.key())));
        }
    }

    private static void removedNames(FaultList faults, Tree tree, String section, Kind kind, Set<Key> removed) {
        faults.check(section, () -> {
            for (String name : tree.texts(section)) {
                faults.check(REMOVE + "." + section + "." + name, () -> removed.add(new Key(kind, name)));
            }
        });
    }

    private static String describe(Key key) {
        return key.kind().name().toLowerCase(Locale.ROOT) + " " + key.name();
    }

    /** The keys that it touches. */
    public List<Key> keys() {
        return List.copyOf(wanted.keySet());
    }

    /** The change of each entry, on the condition that it says what it says now. */
    public List<Change> changes(Map<Key, Value> now) {
        List<Change> all = new ArrayList<>();
        wanted.forEach((key, value) -> all.add(new Change(key, Optional.ofNullable(now.get(key)), value)));
        return all;
    }
}
