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
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_CAP = 1 << 24;

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
    void readSections(SettingsObject tree) {
        faults.collectUnknownKeys(tree, STORES, ANNOUNCE, KERNELS, CAPS, STAND_BACK);
        faults.collect(STORES, () -> readStores(tree.children(STORES)));
        faults.collect(ANNOUNCE, () -> readAnnounce(tree));
        faults.collect(KERNELS, () -> readKernels(tree.child(KERNELS)));
        faults.collect(CAPS, () -> readCaps(tree.child(CAPS)));
        faults.collect(STAND_BACK, () -> readStandBack(tree.strings(STAND_BACK)));
    }

    private void readStores(List<SettingsObject> stores) {
        for (int i = 0; i < stores.size(); i++) {
            String key = STORES + "[" + i + "]";
            SettingsObject store = stores.get(i);
            faults.collectUnknownKeys(store, ADDRESS, WEIGHT, WORKLOADS);
            faults.collect(key, () -> store.address(ADDRESS));
            faults.collect(key, () -> readWeight(store));
            faults.collect(key, () -> readWorkloads(key, store));
            faults.collect(key, () -> readStore(key, store));
        }
    }

    private void readStore(String key, SettingsObject store) {
        Value weight = readWeight(store);
        for (StoreName name : StoreName.of(store.address(ADDRESS), readWorkloads(key, store))) {
            put(key, name.key(), weight);
        }
    }

    private static Value readWeight(SettingsObject store) {
        return new Value.Weight(store.integer(WEIGHT, 1, MAX_WEIGHT, 1));
    }

    private static List<String> readWorkloads(String key, SettingsObject store) {
        List<String> workloads = store.strings(WORKLOADS);
        workloads.forEach(workload -> StoreName.checkWorkload(key + "." + WORKLOADS, workload));
        return workloads;
    }

    private void readAnnounce(SettingsObject tree) {
        if (tree.has(ANNOUNCE)) {
            put(ANNOUNCE, new Key(Kind.ANNOUNCE, ""), address(tree.address(ANNOUNCE)));
        }
    }

    private void readKernels(SettingsObject kernels) {
        for (String server : kernels.fieldNames()) {
            String key = KERNELS + "." + server;
            faults.collect(key, () -> put(key, new Key(Kind.KERNEL, server), address(kernels.address(server))));
        }
    }

    private void readCaps(SettingsObject caps) {
        for (String tenant : caps.fieldNames()) {
            String key = CAPS + "." + tenant;
            faults.collect(
                    key, () -> put(key, new Key(Kind.CAP, tenant), new Value.Cap(caps.integer(tenant, 0, MAX_CAP))));
        }
    }

    private void readStandBack(List<String> servers) {
        for (String server : servers) {
            String key = STAND_BACK + "." + server;
            faults.collect(key, () -> put(key, new Key(Kind.STAND_BACK, server), new Value.Present()));
        }
    }

    private void put(String key, Key entry, Value value) {
        if (entries.put(entry, value) != null) {
            throw new InvalidSettingException(
                    key + " is a duplicate: the entry " + entry.name() + " is already defined");
        }
    }

    private static Value address(InetSocketAddress address) {
        return new Value.Address(StoreName.hostText(address.getAddress()), address.getPort());
    }
}
