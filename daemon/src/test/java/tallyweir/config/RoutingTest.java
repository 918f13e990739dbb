package tallyweir.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tallyweir.fleet.Digest;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

class RoutingTest {
    private static Routing parse(String json) {
        return Routing.parse(json.getBytes(UTF_8));
    }

    @Test
    void theExampleIsGoodAndEachNamedServerHasADigestOfItsOwn() throws IOException {
        Routing r = Routing.parse(Files.readAllBytes(Path.of("../deploy/example-revision.json")));
        assertEquals(Map.of(new TenantId("acme"), 400, new TenantId("globex"), 40), r.caps);
        Map<String, Digest> all = r.digests();
        assertEquals(Set.of("", "n3", "n7"), all.keySet());
        assertEquals(3, Set.copyOf(all.values()).size());
        assertEquals(
                all.get(""),
                Routing.inForce(r.stores, r.announce, null, r.caps, false),
                "as worked out where it is in force");
        assertEquals(all.get("n3"), Routing.inForce(r.stores, r.announce, r.kernels.get("n3"), r.caps, false));
        assertNotEquals(all.get(""), Routing.inForce(r.stores, r.announce, null, Map.of(), false), "caps not in use");
    }

    @Test
    void ofAFaultyOneAllKeysAreNamedAtOnce() {
        BadSetting e = assertThrows(
                BadSetting.class,
                () -> parse(
                        "{\"stores\":[{\"address\":\"here:80\"},{\"address\":\"1.2.3.4:5\","
                                + "\"weight\":0}],\"announce\":7,\"kernels\":{\"n1\":\"x\"},\"caps\":{\"t\":-1},\"colour\":1}"));
        for (String key :
                new String[] {"stores[0].address", "stores[1].weight", "announce", "kernels.n1", "caps.t", "colour"}) {
            assertTrue(e.getMessage().contains(key), key + " in " + e.getMessage());
        }
    }

    @Test
    void aServerSaysWhyItCannotActOnOne() {
        Set<WorkloadId> here = Set.of(new WorkloadId("a"), new WorkloadId("b"));
        assertEquals("", parse("{}").cannot(here));
        assertEquals("", parse("{\"stores\":[{\"address\":\"1.2.3.4:5\"}]}").cannot(here));
        assertTrue(parse("{\"stores\":[{\"address\":\"1.2.3.4:5\",\"workloads\":[\"a\",\"z\"]}]}")
                .cannot(here)
                .contains("z is unknown"));
        assertTrue(parse("{\"stores\":[{\"address\":\"1.2.3.4:5\",\"workloads\":[\"a\"]}]}")
                .cannot(here)
                .contains("no store serves"));
    }
}
