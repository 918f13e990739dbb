package tallyweir.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;

class RevisionFileTest {
    private static Table parse(String json) {
        return RevisionFile.parse(json.getBytes(UTF_8));
    }

    private static Map<Key, Value> entries(Table table) {
        Map<Key, Value> all = new TreeMap<>();
        table.forEach(entry -> all.put(entry.key(), entry.value()));
        return all;
    }

    @Test
    void exampleHasAllItsEntries() throws IOException {
        Table table = RevisionFile.parse(Files.readAllBytes(Path.of("../deploy/example-revision.json")));
        assertEquals(
                Map.of(
                        new Key(Kind.STORE, "10.1.0.2:7700"), new Value.Weight(3),
                        new Key(Kind.STORE, "10.1.0.3:7700 order-status"), new Value.Weight(1),
                        new Key(Kind.ANNOUNCE, ""), new Value.Address("10.2.0.1", 8761),
                        new Key(Kind.KERNEL, "n3"), new Value.Address("10.1.0.9", 4400),
                        new Key(Kind.CAP, "acme"), new Value.Cap(400),
                        new Key(Kind.CAP, "globex"), new Value.Cap(40),
                        new Key(Kind.STAND_BACK, "n7"), new Value.Present()),
                entries(table));
    }

    @Test
    void rootDependsOnEntriesButNotOnTheirOrder() {
        String one =
                "{\"stores\":[{\"address\":\"1.2.3.4:5\"},{\"address\":\"1.2.3.5:5\",\"workloads\":[\"b\",\"a\"]}]}";
        String other =
                "{\"stores\":[{\"address\":\"1.2.3.5:5\",\"workloads\":[\"a\",\"b\"]},{\"address\":\"1.2.3.4:5\"}]}";
        assertEquals(parse(one).root(), parse(other).root());
        assertNotEquals(parse(one).root(), parse(one.replace("\"b\",", "")).root());
        assertNotEquals(parse("{}").root(), parse("{\"caps\":{\"t\":0}}").root());
    }

    @Test
    void reportsAllInvalidKeysAtOnce() {
        FleetException e = assertThrows(
                FleetException.class,
                () -> parse("{\"stores\":[{\"address\":\"here:80\",\"weight\":0},{\"address\":\"1.2.3.4:5\","
                        + "\"weight\":0},{\"address\":\"1.2.3.4:5\",\"workloads\":[\"a,b\"],\"shape\":1}],"
                        + "\"announce\":7,\"kernels\":{\"n1\":\"x\"},\"caps\":{\"t\":-1},\"colour\":1,\"size\":2}"));
        assertInstanceOf(Fault.BodyFaulty.class, e.fault());
        for (String key : new String[] {
            "stores[0].address",
            "stores[0].weight",
            "stores[1].weight",
            "stores[2].workloads",
            "stores[2].shape",
            "announce",
            "kernels.n1",
            "caps.t",
            "colour",
            "size"
        }) {
            assertTrue(e.getMessage().contains(key), key + " in " + e.getMessage());
        }
    }

    @Test
    void refusesNonObjectsAndDuplicates() {
        for (String json : new String[] {
            "",
            "{",
            "[]",
            "7",
            "{\"stores\":[{\"address\":\"1.2.3.4:5\"},{\"address\":\"1.2.3.4:5\",\"weight\":2}]}",
            "{\"stand_back\":[\"n1\",\"n1\"]}"
        }) {
            FleetException e = assertThrows(FleetException.class, () -> parse(json), json);
            assertInstanceOf(Fault.BodyFaulty.class, e.fault());
        }
    }

    @Test
    void splitsAStoreOfManyWorkloadsOverSeveralEntries() {
        List<String> workloads = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            workloads.add("\"workload-" + (100 + i) + "\"");
        }
        Table table = parse("{\"stores\":[{\"address\":\"1.2.3.4:5\",\"weight\":7,\"workloads\":["
                + String.join(",", workloads) + "]}]}");
        List<String> found = new ArrayList<>();
        table.forEach(entry -> {
            assertEquals(Optional.of(new Value.Weight(7)), table.get(entry.key()));
            assertTrue(entry.key().name().getBytes(UTF_8).length <= Key.MAX_NAME_BYTES);
            StoreName.of(entry.key()).workloads().forEach(workload -> found.add("\"" + workload.value() + "\""));
        });
        assertTrue(table.size() > 1);
        assertEquals(workloads, found.stream().sorted().toList());
    }

    @Test
    void storeNamesRoundTrip() {
        for (String name : new String[] {"1.2.3.4:5", "1.2.3.4:5 a", "1.2.3.4:5 a,b", "[0:0:0:0:0:0:0:1]:80 a"}) {
            assertEquals(name, StoreName.parse("stores", name).get(0).key().name());
        }
        assertEquals(
                "1.2.3.4:5 a,b",
                StoreName.parse("stores", "1.2.3.4:5 b,a,b").get(0).key().name());
        for (String name : new String[] {"", "here:80", "1.2.3.4", "1.2.3.4:5 ", "1.2.3.4:5 a,,b", "1.2.3.4:5 a b"}) {
            assertThrows(InvalidSettingException.class, () -> StoreName.parse("stores", name), name);
        }
    }
}
