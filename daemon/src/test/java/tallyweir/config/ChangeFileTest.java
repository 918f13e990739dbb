package tallyweir.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;

class ChangeFileTest {
    private static final Key ACME = new Key(Kind.CAP, "acme");
    private static final Key GLOBEX = new Key(Kind.CAP, "globex");

    private static ChangeFile parse(String json) {
        return ChangeFile.parse(json.getBytes(UTF_8));
    }

    @Test
    void exampleChangeAppliesToExampleRevision() throws IOException {
        Table table = RevisionFile.parse(Files.readAllBytes(Path.of("../deploy/example-revision.json")));
        ChangeFile file = ChangeFile.parse(Files.readAllBytes(Path.of("../deploy/example-change.json")));
        Map<Key, Value> now = new HashMap<>();
        file.keys().forEach(key -> table.get(key).ifPresent(value -> now.put(key, value)));
        Table next = table.apply(file.changes(now));
        assertEquals(Optional.of(new Value.Weight(5)), next.get(new Key(Kind.STORE, "10.1.0.2:7700")));
        assertEquals(Optional.of(new Value.Cap(450)), next.get(ACME));
        assertEquals(Optional.of(new Value.Cap(20)), next.get(new Key(Kind.CAP, "initech")));
        assertEquals(3, next.size(), "all other entries are removed");
    }

    @Test
    void eachChangeRequiresTheCurrentValue() {
        ChangeFile file = parse("{\"put\":{\"caps\":{\"acme\":5}},\"remove\":{\"caps\":[\"globex\"]}}");
        assertEquals(List.of(ACME, GLOBEX), file.keys());
        assertEquals(
                List.of(
                        new Change(ACME, Optional.empty(), Optional.of(new Value.Cap(5))),
                        new Change(GLOBEX, Optional.of(new Value.Cap(9)), Optional.empty())),
                file.changes(Map.of(GLOBEX, new Value.Cap(9))));
    }

    @Test
    void reportsAllInvalidKeysAtOnce() {
        FleetException e = assertThrows(
                FleetException.class,
                () -> parse(
                        "{\"put\":{\"stores\":[{\"address\":\"here:80\"}],\"caps\":{\"t\":16777217},\"colour\":1},"
                                + "\"remove\":{\"stores\":[\"there:80\"],\"announce\":7,\"kernels\":[1],\"shape\":1},\"patch\":{}}"));
        assertInstanceOf(Fault.EntryFaulty.class, e.fault());
        for (String key : new String[] {
            "put.stores[0].address",
            "put.caps.t",
            "put.colour",
            "remove.stores[0]",
            "remove.announce",
            "remove.kernels",
            "remove.shape",
            "patch"
        }) {
            assertTrue(e.getMessage().contains(key), key + " in " + e.getMessage());
        }
    }

    @Test
    void refusesContradictoryAndEmptyChanges() {
        for (String json : new String[] {
            "{\"put\":{\"caps\":{\"acme\":5}},\"remove\":{\"caps\":[\"acme\"]}}",
            "{\"put\":{\"announce\":\"1.2.3.4:5\"},\"remove\":{\"announce\":true}}",
            "{\"put\":{\"stores\":[{\"address\":\"1.2.3.4:5\",\"workloads\":[\"a\",\"b\"]}]},"
                    + "\"remove\":{\"stores\":[\"1.2.3.4:5 b,a\"]}}",
            "{}",
            "{\"put\":{},\"remove\":{\"announce\":false}}"
        }) {
            FleetException e = assertThrows(FleetException.class, () -> parse(json), json);
            assertInstanceOf(Fault.EntryFaulty.class, e.fault());
        }
        assertInstanceOf(
                Fault.BodyFaulty.class,
                assertThrows(FleetException.class, () -> parse("[]")).fault());
    }
}
