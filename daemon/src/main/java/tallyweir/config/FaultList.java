package tallyweir.config;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import tallyweir.fleet.FleetException;

/** Collects the faults of a file, so that all of them are reported together. */
final class FaultList {
    // Descriptions by the key they concern, in the order of their discovery.
    private final Map<String, Set<String>> reasonsByKey = new LinkedHashMap<>();

    /** Reads a part of the file and records a fault in it, so that the rest can still be read. */
    void collect(String key, Runnable read) {
        try {
            read.run();
        } catch (InvalidSettingException | FleetException fault) {
            add(key, fault.getMessage());
        }
    }

    void add(String key, String reason) {
        reasonsByKey.computeIfAbsent(key, k -> new LinkedHashSet<>()).add(reason);
    }

    /** Records a fault for each key of an object that is not known. */
    void collectUnknownKeys(SettingsObject tree, String... knownKeys) {
        for (String name : tree.fieldNames()) {
            collect(name, () -> tree.rejectUnknownKey(name, knownKeys));
        }
    }

    boolean isEmpty() {
        return reasonsByKey.isEmpty();
    }

    /** The keys with faults, separated by commas. */
    String keys() {
        return String.join(", ", reasonsByKey.keySet());
    }

    /** The descriptions of all faults, each once, separated by semicolons. */
    String reasons() {
        return reasonsByKey.values().stream().flatMap(Set::stream).distinct().collect(Collectors.joining("; "));
    }
}
