package tallyweir.backend;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tallyweir.config.RevisionFile;
import tallyweir.config.StoreName;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.WorkloadId;

/** Routes: which store a query calls, and how routes follow the changes of a table. */
class RoutesTest {
    private static final WorkloadId A = new WorkloadId("a");
    private static final WorkloadId B = new WorkloadId("b");
    private static final WorkloadId Z = new WorkloadId("z");
    private static final Set<WorkloadId> OWN = Set.of(A, B);

    private static Routes routes(String json) {
        return Routes.of(RevisionFile.parse(json.getBytes(UTF_8)), OWN);
    }

    private static Change put(Table table, String store, int weight) {
        Key key = new Key(Kind.STORE, store);
        return new Change(key, table.get(key), Optional.of(new Value.Weight(weight)));
    }

    private static Change remove(Table table, String store) {
        Key key = new Key(Kind.STORE, store);
        return new Change(key, table.get(key), Optional.empty());
    }

    @Test
    void unusableRoutesHaveAReason() {
        assertEquals("", routes("{}").unusableReason());
        assertEquals("", routes("{\"stores\":[{\"address\":\"1.2.3.4:5\"}]}").unusableReason());
        assertTrue(routes("{\"stores\":[{\"address\":\"1.2.3.4:5\",\"workloads\":[\"a\",\"z\"]}]}")
                .unusableReason()
                .contains("z is unknown"));
        assertTrue(routes("{\"stores\":[{\"address\":\"1.2.3.4:5\",\"workloads\":[\"a\"]}]}")
                .unusableReason()
                .contains("no store serves the workload b"));
    }

    @Test
    void storesArePickedByWeightAmongThoseThatServeTheWorkload() {
        Routes routes = routes("{\"stores\":[{\"address\":\"1.0.0.1:1\",\"weight\":3},"
                + "{\"address\":\"1.0.0.2:1\",\"workloads\":[\"a\"],\"weight\":5},"
                + "{\"address\":\"1.0.0.3:1\",\"workloads\":[\"a\",\"b\"],\"weight\":2},"
                + "{\"address\":\"1.0.0.4:1\",\"workloads\":[\"z\"],\"weight\":1000}]}");
        Map<String, Integer> picked = new HashMap<>();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 100_000; i++) {
            picked.merge(routes.pickStore(A, random).getAddress().getHostAddress(), 1, Integer::sum);
        }
        assertEquals(Set.of("1.0.0.1", "1.0.0.2", "1.0.0.3"), picked.keySet());
        assertEquals(0.3, picked.get("1.0.0.1") / 1e5, 0.01);
        assertEquals(0.5, picked.get("1.0.0.2") / 1e5, 0.01);
        assertEquals(0.2, picked.get("1.0.0.3") / 1e5, 0.01);
        assertEquals(2, routes.storesFor(B).size());
        assertNull(Routes.empty(OWN).pickStore(A, random));
        assertNull(routes("{\"stores\":[{\"address\":\"1.0.0.1:1\",\"workloads\":[\"a\"]}]}")
                .pickStore(B, random));
    }

    @Test
    void addressesOfBothFamiliesAreKept() {
        Routes routes = routes("{\"stores\":[{\"address\":\"250.1.2.3:65535\"},{\"address\":\"[fe80::1]:80\"}]}");
        assertEquals(
                Set.of(new InetSocketAddress("250.1.2.3", 65_535), new InetSocketAddress("fe80::1", 80)),
                Set.copyOf(
                        routes.storesFor(A).stream().map(WeightedStore::address).toList()));
    }

    @Test
    void unchangedGroupsAreShared() {
        Routes before =
                routes("{\"stores\":[{\"address\":\"1.0.0.1:1\"},{\"address\":\"1.0.0.2:1\",\"workloads\":[\"a\"]},"
                        + "{\"address\":\"1.0.0.3:1\",\"workloads\":[\"b\"]}],\"caps\":{\"t\":1}}");
        Table table = before.table();
        Change cap = new Change(new Key(Kind.CAP, "t"), Optional.of(new Value.Cap(1)), Optional.empty());
        Routes capped = before.with(table.apply(List.of(cap)), List.of(cap));
        assertSame(before.forAllWorkloads(), capped.forAllWorkloads());
        assertSame(before.byWorkload(), capped.byWorkload());
        assertEquals(table.apply(List.of(cap)).root(), capped.table().root());

        Change store = put(table, "1.0.0.2:1 a", 7);
        Routes next = before.with(table.apply(List.of(store)), List.of(store));
        assertSame(before.forAllWorkloads(), next.forAllWorkloads());
        assertSame(before.byWorkload().get(B), next.byWorkload().get(B));
        assertEquals(
                List.of(new WeightedStore(new InetSocketAddress("1.0.0.2", 1), 7)),
                next.byWorkload().get(A).stores());
    }

    @Test
    void incrementalChangesGiveTheSameRoutesAsTheWholeTable() {
        SplittableRandom random = new SplittableRandom(7);
        Table table = Table.EMPTY;
        Routes routes = Routes.of(table, OWN);
        String[] workloads = {"", " a", " b", " a,b", " a,z", " z"};
        for (int round = 0; round < 500; round++) {
            Map<Key, Change> changes = new HashMap<>();
            for (int i = random.nextInt(4); i >= 0; i--) {
                String name = "1.0.0." + random.nextInt(4) + ":1" + workloads[random.nextInt(workloads.length)];
                Change change = random.nextBoolean() ? put(table, name, 1 + random.nextInt(3)) : remove(table, name);
                changes.put(change.key(), change);
            }
            table = table.apply(changes.values());
            routes = routes.with(table, changes.values());
            Routes rebuilt = Routes.of(table, OWN);
            assertEquals(rebuilt.storeCount(), routes.storeCount());
            assertEquals(rebuilt.unknownWorkloads(), routes.unknownWorkloads());
            assertEquals(rebuilt.unusableReason(), routes.unusableReason());
            for (WorkloadId workload : List.of(A, B, Z)) {
                assertEquals(sorted(rebuilt.storesFor(workload)), sorted(routes.storesFor(workload)));
            }
        }
    }

    private static List<String> sorted(List<WeightedStore> stores) {
        return new ArrayList<>(stores)
                .stream().map(WeightedStore::toString).sorted().toList();
    }

    @Test
    void storeKeysListTheirWorkloads() {
        assertEquals(
                List.of(A, B),
                StoreName.of(new Key(Kind.STORE, "1.2.3.4:5 a,b")).workloads());
    }
}
