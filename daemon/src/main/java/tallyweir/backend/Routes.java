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
 * Where queries call, under one revision: an index of its stores by the workloads of this server. It is immutable and is
 * built beside the deciding thread; a query keeps the store that it was given at read until its end.
 */
final class Routes {
    private final Table table;
    private final Set<WorkloadId> own;
    private final int size; // stores in all
    private final StoreGroup ofAll; // those for all workloads
    private final Map<WorkloadId, StoreGroup> ofSome; // those for some, by the workloads of this server
    private final Map<WorkloadId, Integer> unknown; // how many stores name workloads that are not of this server

    /** For {@link RoutesBuilder}. */
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

    /** Under no revision: each server calls where it was configured to. */
    static Routes none(Set<WorkloadId> own) {
        return new Routes(Table.EMPTY, Set.copyOf(own), 0, StoreGroup.EMPTY, Map.of(), Map.of());
    }

    /** Those of a whole table, for a server with these workloads; this walks the table. */
    static Routes of(Table table, Set<WorkloadId> own) {
        RoutesBuilder builder = new RoutesBuilder(none(own));
        table.forEach(entry -> builder.add(entry.key(), entry.value()));
        return builder.build(table);
    }

    /** Those of the next table; of what is not in the difference nothing is looked at, and groups that are equal are shared. */
    Routes with(Table next, Collection<Change> difference) {
        RoutesBuilder builder = new RoutesBuilder(this);
        difference.forEach(builder::change);
        return builder.build(next);
    }

    /** The table that they are of. */
    Table table() {
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

    /** The store of a query, drawn by weight; null where no revision names any. */
    InetSocketAddress store(WorkloadId workload, SplittableRandom chance) {
        StoreGroup some = ofSome.getOrDefault(workload, StoreGroup.EMPTY);
        int weight = ofAll.weight() + some.weight();
        if (weight == 0) {
            return null;
        }
        int place = chance.nextInt(weight);
        return place < ofAll.weight() ? ofAll.at(place) : some.at(place - ofAll.weight());
    }

    /** Why this server could not act on them, empty if it could. */
    String cannot() {
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

    /** All stores that a workload may be sent to. */
    List<WeightedStore> stores(WorkloadId workload) {
        List<WeightedStore> all = ofAll.stores();
        all.addAll(ofSome.getOrDefault(workload, StoreGroup.EMPTY).stores());
        return all;
    }
}
