package tallyweir.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Value;

/** Reads the entries of a revision from the sections of a JSON object and collects all faults. */
final class EntryReader {
    static final String STORES = "stores";
    static final String ANNOUNCE = "announce";
    static final String KERNELS = "kernels";
    static final String CAPS = "caps";
    static final String STAND_BACK = "stand_back";

    private static final String ADDRESS = "address";
    private static final String WEIGHT = "weight";
    private static final String WORKLOADS = "workloads";
    private static final int WEIGHT_MOST = 1_000;
    private static final int CAP_MOST = 1 << 24;

    private final FaultList faults;
    private final Map<Key, Value> entries = new TreeMap<>();

    EntryReader(FaultList faults) {
        this.faults = faults;
    }

    /** The valid entries read so far. */
    Map<Key, Value> entries() {
        return entries;
    }

    /** Reads all sections of an object; any other key is a fault. */
    void sections(Tree tree) {
        faults.unknownKeys(tree, STORES, ANNOUNCE, KERNELS, CAPS, STAND_BACK);
        faults.check(STORES, () -> stores(tree.each(STORES)));
        faults.check(ANNOUNCE, () -> announce(tree));
        faults.check(KERNELS, () -> kernels(tree.in(KERNELS)));
        faults.check(CAPS, () -> caps(tree.in(CAPS)));
        faults.check(STAND_BACK, () -> standBack(tree.texts(STAND_BACK)));
    }

    private void stores(List<Tree> stores) {
        for (int i = 0; i < stores.size(); i++) {
            String key = STORES + "[" + i + "]";
            Tree store = stores.get(i);
            faults.unknownKeys(store, ADDRESS, WEIGHT, WORKLOADS);
            faults.check(key, () -> store.address(ADDRESS));
            faults.check(key, () -> weight(store));
            faults.check(key, () -> workloads(key, store));
            faults.check(key, () -> store(key, store));
        }
    }

    private void store(String key, Tree store) {
        Value weight = weight(store);
        for (StoreName name : StoreName.of(store.address(ADDRESS), workloads(key, store))) {
            put(key, name.key(), weight);
        }
    }

    private static Value weight(Tree store) {
        return new Value.Weight(store.whole(WEIGHT, 1, WEIGHT_MOST, 1));
    }

    private static List<String> workloads(String key, Tree store) {
        List<String> workloads = store.texts(WORKLOADS);
        workloads.forEach(workload -> StoreName.checkWorkload(key + "." + WORKLOADS, workload));
        return workloads;
    }

    private void announce(Tree tree) {
        if (tree.has(ANNOUNCE)) {
            put(ANNOUNCE, new Key(Kind.ANNOUNCE, ""), address(tree.address(ANNOUNCE)));
        }
    }

    private void kernels(Tree kernels) {
        for (String server : kernels.names()) {
            String key = KERNELS + "." + server;
            faults.check(key, () -> put(key, new Key(Kind.KERNEL, server), address(kernels.address(server))));
        }
    }

    private void caps(Tree caps) {
        for (String tenant : caps.names()) {
            String key = CAPS + "." + tenant;
            faults.check(
                    key, () -> put(key, new Key(Kind.CAP, tenant), new Value.Cap(caps.whole(tenant, 0, CAP_MOST))));
        }
    }

    private void standBack(List<String> servers) {
        for (String server : servers) {
            String key = STAND_BACK + "." + server;
            faults.check(key, () -> put(key, new Key(Kind.STAND_BACK, server), new Value.Present()));
        }
    }

    private void put(String key, Key entry, Value value) {
        if (entries.put(entry, value) != null) {
            throw new BadSetting(key + " is a duplicate: the entry " + entry.name() + " is already defined");
        }
    }

    private static Value address(InetSocketAddress address) {
        return new Value.Address(StoreName.host(address.getAddress()), address.getPort());
    }
}
