package tallyweir.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tallyweir.config.StoreName;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.WorkloadId;

/** Builds routes from previous ones and a difference between tables. Only groups that differ are rebuilt; not thread-safe. */
final class RoutesBuilder {
    /** The stores removed from and added to a group. */
    private static final class GroupDifference {
        final List<WeightedStore> removed = new ArrayList<>();
        final List<WeightedStore> added = new ArrayList<>();

        StoreGroup applyTo(StoreGroup group) {
            return group.with(removed, added);
        }
    }

    private final Routes previous;
    private final Set<WorkloadId> ownWorkloads;
    private final GroupDifference forAllWorkloads = new GroupDifference();
    private final Map<WorkloadId, GroupDifference> byWorkload = new HashMap<>();
    private final Map<WorkloadId, Integer> unknownCounts = new HashMap<>();
    private int storeCount;

    /** @param previous the routes to start from, for the same server */
    RoutesBuilder(Routes previous) {
        this.previous = previous;
        ownWorkloads = previous.ownWorkloads();
        storeCount = previous.storeCount();
    }

    /** Adds an entry that the table did not have; ignores one that is not a store. */
    void add(Key key, Value value) {
        if (key.kind() == Kind.STORE) {
            applyStore(StoreName.of(key), value, 1);
        }
    }

    /** Applies the change of an entry; ignores one that is not a store. */
    void change(Change change) {
        if (change.key().kind() == Kind.STORE) {
            StoreName store = StoreName.of(change.key());
            change.before().ifPresent(value -> applyStore(store, value, -1));
            change.after().ifPresent(value -> applyStore(store, value, 1));
        }
    }

    /** @param count 1 for a store that is added, -1 for one that is removed */
    private void applyStore(StoreName name, Value value, int count) {
        WeightedStore store = new WeightedStore(name.address(), ((Value.Weight) value).weight());
        storeCount += count;
        if (name.workloads().isEmpty()) {
            recordStore(forAllWorkloads, store, count);
        }
        for (WorkloadId workload : name.workloads()) {
            if (ownWorkloads.contains(workload)) {
                recordStore(byWorkload.computeIfAbsent(workload, w -> new GroupDifference()), store, count);
            } else {
                unknownCounts.merge(workload, count, Integer::sum);
            }
        }
    }

    private static void recordStore(GroupDifference group, WeightedStore store, int count) {
        (count > 0 ? group.added : group.removed).add(store);
    }

    /** Builds the routes of the table that all the changes lead to. */
    Routes build(Table next) {
        boolean same = forAllWorkloads.added.isEmpty() && forAllWorkloads.removed.isEmpty();
        StoreGroup all = same ? previous.forAllWorkloads() : forAllWorkloads.applyTo(previous.forAllWorkloads());
        return new Routes(next, ownWorkloads, storeCount, all, nextByWorkload(), nextUnknownWorkloads());
    }

    private Map<WorkloadId, StoreGroup> nextByWorkload() {
        if (byWorkload.isEmpty()) {
            return previous.byWorkload();
        }
        Map<WorkloadId, StoreGroup> groups = new HashMap<>(previous.byWorkload());
        byWorkload.forEach((workload, difference) -> {
            StoreGroup group = difference.applyTo(groups.getOrDefault(workload, StoreGroup.EMPTY));
            if (group.size() == 0) {
                groups.remove(workload);
            } else {
                groups.put(workload, group);
            }
        });
        return groups;
    }

    private Map<WorkloadId, Integer> nextUnknownWorkloads() {
        if (unknownCounts.isEmpty()) {
            return previous.unknownWorkloads();
        }
        Map<WorkloadId, Integer> counts = new HashMap<>(previous.unknownWorkloads());
        unknownCounts.forEach((workload, count) -> counts.merge(workload, count, Integer::sum));
        counts.values().removeIf(count -> count == 0);
        return counts;
    }
}
