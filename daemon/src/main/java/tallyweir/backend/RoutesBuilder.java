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

        StoreGroup appliedTo(StoreGroup group) {
            return group.with(removed, added);
        }
    }

    private final Routes before;
    private final Set<WorkloadId> own;
    private final GroupDifference ofAll = new GroupDifference();
    private final Map<WorkloadId, GroupDifference> ofSome = new HashMap<>();
    private final Map<WorkloadId, Integer> unknown = new HashMap<>();
    private int size;

    /** @param before the routes to start from, for the same server */
    RoutesBuilder(Routes before) {
        this.before = before;
        own = before.own();
        size = before.size();
    }

    /** Adds an entry that the table did not have; ignores one that is not a store. */
    void add(Key key, Value value) {
        if (key.kind() == Kind.STORE) {
            put(StoreName.of(key), value, 1);
        }
    }

    /** Applies the change of an entry; ignores one that is not a store. */
    void change(Change change) {
        if (change.key().kind() == Kind.STORE) {
            StoreName store = StoreName.of(change.key());
            change.before().ifPresent(value -> put(store, value, -1));
            change.after().ifPresent(value -> put(store, value, 1));
        }
    }

    /** @param count 1 for a store that is added, -1 for one that is removed */
    private void put(StoreName name, Value value, int count) {
        WeightedStore store = new WeightedStore(name.address(), ((Value.Weight) value).weight());
        size += count;
        if (name.workloads().isEmpty()) {
            note(ofAll, store, count);
        }
        for (WorkloadId workload : name.workloads()) {
            if (own.contains(workload)) {
                note(ofSome.computeIfAbsent(workload, w -> new GroupDifference()), store, count);
            } else {
                unknown.merge(workload, count, Integer::sum);
            }
        }
    }

    private static void note(GroupDifference group, WeightedStore store, int count) {
        (count > 0 ? group.added : group.removed).add(store);
    }

    /** Builds the routes of the table that all the changes lead to. */
    Routes build(Table next) {
        boolean same = ofAll.added.isEmpty() && ofAll.removed.isEmpty();
        StoreGroup all = same ? before.ofAll() : ofAll.appliedTo(before.ofAll());
        return new Routes(next, own, size, all, nextOfSome(), nextUnknown());
    }

    private Map<WorkloadId, StoreGroup> nextOfSome() {
        if (ofSome.isEmpty()) {
            return before.ofSome();
        }
        Map<WorkloadId, StoreGroup> groups = new HashMap<>(before.ofSome());
        ofSome.forEach((workload, difference) -> {
            StoreGroup group = difference.appliedTo(groups.getOrDefault(workload, StoreGroup.EMPTY));
            if (group.size() == 0) {
                groups.remove(workload);
            } else {
                groups.put(workload, group);
            }
        });
        return groups;
    }

    private Map<WorkloadId, Integer> nextUnknown() {
        if (unknown.isEmpty()) {
            return before.unknown();
        }
        Map<WorkloadId, Integer> counts = new HashMap<>(before.unknown());
        unknown.forEach((workload, count) -> counts.merge(workload, count, Integer::sum));
        counts.values().removeIf(count -> count == 0);
        return counts;
    }
}
