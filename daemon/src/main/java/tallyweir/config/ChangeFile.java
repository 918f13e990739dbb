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
 * A file that describes the difference to the current revision: the entries to put, in the same sections as in a
 * {@link RevisionFile}, and the names of the entries to remove.
 *
 * @param newValues the new value of each entry, empty for an entry that is removed
 */
public record ChangeFile(Map<Key, Optional<Value>> newValues) {
    private static final String PUT = "put";
    private static final String REMOVE = "remove";

    /**
     * Parses a change file.
     *
     * @throws tallyweir.fleet.FleetException with {@link Fault.EntryFaulty}, which names all invalid keys, or with
     *     {@link Fault.BodyFaulty} if the file is not a JSON object
     */
    public static ChangeFile parse(byte[] json) {
        SettingsObject tree = RevisionFile.parseObject(json);
        FaultList faults = new FaultList();
        faults.collectUnknownKeys(tree, PUT, REMOVE);
        EntryReader entriesToPut = new EntryReader(faults);
        faults.collect(PUT, () -> entriesToPut.readSections(tree.child(PUT)));
        Set<Key> removed = new TreeSet<>();
        faults.collect(REMOVE, () -> readRemovals(faults, tree.child(REMOVE), removed));

        Map<Key, Optional<Value>> newValues = new TreeMap<>();
        entriesToPut.entries().forEach((key, value) -> newValues.put(key, Optional.of(value)));
        for (Key key : removed) {
            if (newValues.put(key, Optional.empty()) != null) {
                faults.add(describe(key), describe(key) + " is in both put and remove");
            }
        }
        if (faults.isEmpty() && newValues.isEmpty()) {
            faults.add(PUT, "the file has nothing to put or remove");
        }
        if (!faults.isEmpty()) {
            throw new Fault.EntryFaulty(faults.keys(), faults.reasons()).toException();
        }
        return new ChangeFile(newValues);
    }

    private static void readRemovals(FaultList faults, SettingsObject tree, Set<Key> removed) {
        faults.collectUnknownKeys(
                tree,
                EntryReader.STORES,
                EntryReader.ANNOUNCE,
                EntryReader.KERNELS,
                EntryReader.CAPS,
                EntryReader.STAND_BACK);
        faults.collect(EntryReader.STORES, () -> readStoreRemovals(faults, tree.strings(EntryReader.STORES), removed));
        faults.collect(EntryReader.ANNOUNCE, () -> {
            if (tree.isTrue(EntryReader.ANNOUNCE)) {
                removed.add(new Key(Kind.ANNOUNCE, ""));
            }
        });
        readNameRemovals(faults, tree, EntryReader.KERNELS, Kind.KERNEL, removed);
        readNameRemovals(faults, tree, EntryReader.CAPS, Kind.CAP, removed);
        readNameRemovals(faults, tree, EntryReader.STAND_BACK, Kind.STAND_BACK, removed);
    }

    private static void readStoreRemovals(FaultList faults, List<String> names, Set<Key> removed) {
        for (int i = 0; i < names.size(); i++) {
            String key = REMOVE + "." + EntryReader.STORES + "[" + i + "]";
            String name = names.get(i);
            faults.collect(key, () -> StoreName.parse(key, name).forEach(store -> removed.add(store.key())));
        }
    }

    private static void readNameRemovals(
            FaultList faults, SettingsObject tree, String section, Kind kind, Set<Key> removed) {
        faults.collect(section, () -> {
            for (String name : tree.strings(section)) {
                faults.collect(REMOVE + "." + section + "." + name, () -> removed.add(new Key(kind, name)));
            }
        });
    }

    private static String describe(Key key) {
        return key.kind().name().toLowerCase(Locale.ROOT) + " " + key.name();
    }

    /** The keys of all entries that are put or removed. */
    public List<Key> keys() {
        return List.copyOf(newValues.keySet());
    }

    /**
     * One change per entry, each on the condition that the entry still has its current value.
     *
     * @param current the current values; an absent key means that the entry does not exist
     */
    public List<Change> changes(Map<Key, Value> current) {
        List<Change> changes = new ArrayList<>();
        newValues.forEach((key, value) -> changes.add(new Change(key, Optional.ofNullable(current.get(key)), value)));
        return changes;
    }
}
