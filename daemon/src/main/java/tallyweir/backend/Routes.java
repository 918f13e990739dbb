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
    private final Set<WorkloadId> own;
    private final int size; // number of stores, also of those for workloads of other servers
    private final StoreGroup ofAll; // stores without a list of workloads, which serve all of them
    private final Map<WorkloadId, StoreGroup> ofSome; // stores with a list of workloads, by those of this server
    private final Map<WorkloadId, Integer> unknown; // number of stores by workload that this server does not have

    /** Called by {@link RoutesBuilder}. */
    Routes(
            Table table,
            Set<WorkloadId> own,
            int size,
            StoreGroup ofAll,
            Map<WorkloadId, StoreGroup> ofSome,
            Map<WorkloadId, Integer> unknown) {
        this.table = table;
        this.own = own;
        this.size = size;
        this.ofAll = ofAll;
        this.ofSome = ofSome;
        this.unknown = unknown;
    }

    /** Routes without any revision: queries call the store of the configuration. */
    public static Routes none(Set<WorkloadId> own) {
        return new Routes(Table.EMPTY, Set.copyOf(own), 0, StoreGroup.EMPTY, Map.of(), Map.of());
    }

    /** Builds the routes of a table for a server with the given workloads; walks the whole table. */
    public static Routes of(Table table, Set<WorkloadId> own) {
        RoutesBuilder builder = new RoutesBuilder(none(own));
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

    Set<WorkloadId> own() {
        return own;
    }

    int size() {
        return size;
    }

    StoreGroup ofAll() {
        return ofAll;
    }

    Map<WorkloadId, StoreGroup> ofSome() {
        return ofSome;
    }

    Map<WorkloadId, Integer> unknown() {
        return unknown;
    }

    /**
     * Picks a store for a query at random by weight. Returns null if the revision lists none for the workload; its queries then
     * call the store of the configuration.
     */
    InetSocketAddress store(WorkloadId workload, SplittableRandom random) {
        StoreGroup some = ofSome.getOrDefault(workload, StoreGroup.EMPTY);
        int weight = ofAll.weight() + some.weight();
        if (weight == 0) {
            return null;
        }
        int position = random.nextInt(weight);
        return position < ofAll.weight() ? ofAll.at(position) : some.at(position - ofAll.weight());
    }

    /** The reason why this server cannot use these routes; empty if it can. */
    public String cannot() {
        if (!unknown.isEmpty()) {
            String first = unknown.keySet().stream()
                    .map(WorkloadId::value)
                    .sorted()
                    .findFirst()
                    .orElseThrow();
            return "stores: the workload " + first + " is unknown at this server";
        }
        if (size == 0 || ofAll.size() > 0) {
            return "";
        }
        for (WorkloadId workload : own) {
            if (!ofSome.containsKey(workload)) {
                return "stores: no store serves the workload " + workload.value();
            }
        }
        return "";
    }

    /** All stores that queries of a workload may call. */
    List<WeightedStore> stores(WorkloadId workload) {
        List<WeightedStore> all = ofAll.stores();
        all.addAll(ofSome.getOrDefault(workload, StoreGroup.EMPTY).stores());
        return all;
    }
}
