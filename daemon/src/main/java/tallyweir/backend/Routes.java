package tallyweir.backend;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Table;
import tallyweir.ids.WorkloadId;

/**
 * The stores that queries call under one revision, indexed by the workloads of this server. Immutable, and built outside the
 * deciding thread. A query keeps the store that it was assigned when it was read until its end.
 */
public final class Routes {
    private final Table table;
    private final Set<WorkloadId> ownWorkloads;
    private final int storeCount; // number of stores, also of those for workloads of other servers
    private final StoreGroup forAllWorkloads; // stores without a list of workloads, which serve all of them
    private final Map<WorkloadId, StoreGroup> byWorkload; // stores with a list of workloads, by those of this server
    private final Map<WorkloadId, Integer>
            unknownWorkloads; // number of stores by workload that this server does not have

    /** Called by {@link RoutesBuilder}. */
    Routes(
            Table table,
            Set<WorkloadId> ownWorkloads,
            int storeCount,
            StoreGroup forAllWorkloads,
            Map<WorkloadId, StoreGroup> byWorkload,
            Map<WorkloadId, Integer> unknownWorkloads) {
        this.table = table;
        this.ownWorkloads = ownWorkloads;
        this.storeCount = storeCount;
        this.forAllWorkloads = forAllWorkloads;
        this.byWorkload = byWorkload;
        this.unknownWorkloads = unknownWorkloads;
    }

    /** Routes without any revision: queries call the store of the configuration. */
    public static Routes empty(Set<WorkloadId> ownWorkloads) {
        return new Routes(Table.EMPTY, Set.copyOf(ownWorkloads), 0, StoreGroup.EMPTY, Map.of(), Map.of());
    }

    /** Builds the routes of a table for a server with the given workloads; walks the whole table. */
    public static Routes of(Table table, Set<WorkloadId> ownWorkloads) {
        RoutesBuilder builder = new RoutesBuilder(empty(ownWorkloads));
        table.forEach(entry -> builder.add(entry.key(), entry.value()));
        return builder.build(table);
    }

    /**
     * Builds the routes of another table from these. Only the entries in the difference are visited, and unchanged groups are
     * shared.
     *
     * @param difference from the table of these routes to {@code next}
     */
    public Routes with(Table next, Collection<Change> difference) {
        RoutesBuilder builder = new RoutesBuilder(this);
        difference.forEach(builder::change);
        return builder.build(next);
    }

    /** The table that these routes were built from. */
    public Table table() {
        return table;
    }

    Set<WorkloadId> ownWorkloads() {
        return ownWorkloads;
    }

    int storeCount() {
        return storeCount;
    }

    StoreGroup forAllWorkloads() {
        return forAllWorkloads;
    }

    Map<WorkloadId, StoreGroup> byWorkload() {
        return byWorkload;
    }

    Map<WorkloadId, Integer> unknownWorkloads() {
        return unknownWorkloads;
    }

    /**
     * Picks a store for a query at random by weight. Returns null if the revision lists none for the workload; its queries then
     * call the store of the configuration.
     */
    InetSocketAddress pickStore(WorkloadId workload, SplittableRandom random) {
        StoreGroup some = byWorkload.getOrDefault(workload, StoreGroup.EMPTY);
        int weight = forAllWorkloads.totalWeight() + some.totalWeight();
        if (weight == 0) {
            return null;
        }
        int position = random.nextInt(weight);
        return position < forAllWorkloads.totalWeight()
                ? forAllWorkloads.storeAt(position)
                : some.storeAt(position - forAllWorkloads.totalWeight());
    }

    /** The reason why this server cannot use these routes; empty if it can. */
    public String unusableReason() {
        if (!unknownWorkloads.isEmpty()) {
            String first = unknownWorkloads.keySet().stream()
                    .map(WorkloadId::value)
                    .sorted()
                    .findFirst()
                    .orElseThrow();
            return "stores: the workload " + first + " is unknown at this server";
        }
        if (storeCount == 0 || forAllWorkloads.size() > 0) {
            return "";
        }
        for (WorkloadId workload : ownWorkloads) {
            if (!byWorkload.containsKey(workload)) {
                return "stores: no store serves the workload " + workload.value();
            }
        }
        return "";
    }

    /** All stores that queries of a workload may call. */
    List<WeightedStore> storesFor(WorkloadId workload) {
        List<WeightedStore> all = forAllWorkloads.stores();
        all.addAll(byWorkload.getOrDefault(workload, StoreGroup.EMPTY).stores());
        return all;
    }
}
