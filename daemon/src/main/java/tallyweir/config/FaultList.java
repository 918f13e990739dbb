package tallyweir.config;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import tallyweir.fleet.FleetException;

/** Collects all that is wrong with a file, so that it can be named at once. */
final class FaultList {
    private final Map<String, Set<String>> faults = new LinkedHashMap<>(); // what is wrong, by the key that it is about

    /** Reads a part of the file; a fault in it is kept, and the rest can still be read. */
    void check(String key, Runnable read) {
        try {
            read.run();
        } catch (BadSetting | FleetException fault) {
            add(key, fault.getMessage());
        }
    }

    void add(String key, String why) {
        faults.computeIfAbsent(key, k -> new LinkedHashSet<>()).add(why);
    }

    /** Names every key of an object that is not one of the known ones. */
    void unknownKeys(Tree tree, String... known) {
        for (String name : tree.names()) {
            check(name, () -> tree.onlyKnown(name, known));
        }
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    /** The keys that are faulty. */
    String keys() {
        return String.join(", ", faults.keySet());
    }

    /** What is wrong with each of them. */
    String reasons() {
        return faults.values().stream().flatMap(Set::stream).distinct().collect(Collectors.joining("; "));
    }
}
