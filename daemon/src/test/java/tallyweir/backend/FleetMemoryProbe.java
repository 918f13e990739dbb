package tallyweir.backend;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

/** Holds the parts of a large revision that a server keeps, in a separate process, and prints their heap use. */
final class FleetMemoryProbe {
    static final int ROUTES = 31_000;
    static final int CAPS = 400_000;

    private static final int WORKLOADS = 1_000;
    private static final int CHANGES_PER_BATCH = 10_000;
    private static final int DIFFERENCE = 1_000;
    private static final int COLLECTIONS = 5;

    private FleetMemoryProbe() {}

    /** Prints whether the parts are correct, their bytes, and the bytes with the prepared parts of the next revision. */
    public static void main(String[] args) {
        long before = usedBytes();
        Table table = table();
        Routes routes = Routes.of(table, workloads());
        TableCaps caps = new TableCaps(table);
        long inUse = usedBytes() - before;

        Table next = table.apply(difference());
        Routes nextRoutes = routes.with(next, table.differenceTo(next));
        long withNext = usedBytes() - before;

        boolean correct = routes.storeCount() == ROUTES
                && nextRoutes.table().size() == ROUTES + CAPS
                && caps.of(new TenantId(cap(7).name())) == 1;
        System.out.println(correct + " " + inUse + " " + withNext);
    }

    private static Table table() {
        Table table = Table.EMPTY;
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < ROUTES + CAPS; i++) {
            changes.add(
                    i < ROUTES
                            ? put(store(i), new Value.Weight(1 + i % 1_000))
                            : put(cap(i - ROUTES), new Value.Cap(1)));
            if (changes.size() == CHANGES_PER_BATCH) {
                table = table.apply(changes);
                changes.clear();
            }
        }
        return table.apply(changes);
    }

    private static List<Change> difference() {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < DIFFERENCE; i++) {
            changes.add(put(cap(i), new Value.Cap(i + 2)));
        }
        return changes;
    }

    private static Change put(Key key, Value value) {
        return new Change(key, Optional.empty(), Optional.of(value));
    }

    private static Key store(int i) {
        String address = "10." + (i >> 16) + "." + (i >> 8 & 0xff) + "." + (i & 0xff) + ":7700";
        return new Key(Kind.STORE, address + " " + workload(i % WORKLOADS).value());
    }

    private static Key cap(int i) {
        return new Key(Kind.CAP, "tenant-" + i);
    }

    private static WorkloadId workload(int i) {
        return new WorkloadId("workload-" + i);
    }

    private static Set<WorkloadId> workloads() {
        Set<WorkloadId> all = new HashSet<>();
        for (int i = 0; i < WORKLOADS; i++) {
            all.add(workload(i));
        }
        return all;
    }

    private static long usedBytes() {
        long min = Long.MAX_VALUE;
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            min = Math.min(
                    min,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return min;
    }
}
