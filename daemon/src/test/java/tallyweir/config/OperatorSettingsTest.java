package tallyweir.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tallyweir.durable.Batch;
import tallyweir.durable.FileStore;
import tallyweir.durable.Namespace;

class OperatorSettingsTest {
    private static OperatorSettings parse(String json) {
        return OperatorSettings.parse(json.getBytes(UTF_8));
    }

    @Test
    void everythingIsOffWithoutAFile() {
        assertFalse(OperatorSettings.read(Map.of()).hasDurableStore());
        assertFalse(parse("{}").hasDurableStore());
    }

    @Test
    void exampleIsValid() {
        OperatorSettings o = OperatorSettings.read(Path.of("../deploy/operators.example.json"));
        assertTrue(o.hasDurableStore());
        assertEquals(
                List.of(
                        new Namespace("traces", 1024L << 20, true),
                        new Namespace("results", 512L << 20, false),
                        new Namespace("intents", Long.MAX_VALUE, false),
                        new Namespace("audit", Long.MAX_VALUE, false)),
                o.namespaces());
        assertTrue(o.retainsResults());
        assertEquals(Path.of("/mnt/disk2/tallyweir/durable-second"), o.secondCopyDir());
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', textBlock = """
            {"durabel":{}};                                                durabel is unknown
            {"durable":{}};                                                durable.dir is missing
            {"durable":{"dir":7}};                                         durable.dir is not a string
            {"durable":{"dir":"d","segment_mb":0}};                        durable.segment_mb is 0
            {"durable":{"dir":"d","sector_bytes":1000}};                   durable.sector_bytes is 1000
            {"durable":{"dir":"d","dead_share":1.5}};                      durable.dead_share is 1.5
            {"durable":{"dir":"d","force_every_ms":-1}};                   durable.force_every_ms is -1
            {"durable":{"dir":"d","second_dir":"d/first"}};                durable.second_dir is where the first copy is
            {"durable":{"dir":"d","segments_mb":4}};                       durable.segments_mb is unknown
            {"durable":{"dir":"d","namespaces":[{"name":"a"}]}};           durable.namespaces[0].bound_mb is missing
            {"durable":{"dir":"d","namespaces":[{"name":"a b","bound_mb":1}]}}; durable.namespaces[0].name
            {"durable":{"dir":"d","namespaces":[{"name":"a","bound_mb":1,"at_bound":"x"}]}}; durable.namespaces[0].at_bound is 'x'
            {"durable":{"dir":"d","namespaces":[{"name":"a","bound_mb":1},{"name":"a","bound_mb":1}]}}; durable.namespaces[1].name is 'a'
            {"fleet":{}};                                                 fleet.name is missing
            {"fleet":{"name":"f","voters":{"a":"h:1","b":"h:2"}}};         fleet.voters has 2 entries
            {"fleet":{"name":"f","voters":{"a":"h"}}};                   fleet.voters.a is 'h'
            {"fleet":{"name":"f","voters":{"a":"h:1"},"drift":0.5}};     fleet.drift is 0.5
            {"fleet":{"name":"f","voters":{"a":"h:1"},"lease_ms":1}};    fleet.lease_ms is 1
            {"fleet":{"name":"f","voters":{"a":"h:1"},"when_out":"x"}};  fleet.when_out is 'x'
            {"results":{"bound_mb":1}};                                    results needs a durable part
            {"durable":{"dir":"d"},"results":{}};                          results.bound_mb is missing
            {"durable":{"dir":"d"},"results":{"bound":1,"bound_mb":1}};    results.bound is unknown
            {"durable":{"dir":"d","namespaces":[{"name":"results","bound_mb":1}]},"results":{"bound_mb":1}}; durable.namespaces[0].name is 'results'
            {;                                                             not valid JSON
            """)
    void reportsTheInvalidKey(String json, String expected) {
        String message =
                assertThrows(InvalidSettingException.class, () -> parse(json)).getMessage();
        assertTrue(message.contains(expected), message);
    }

    @Test
    void openedStoreKeepsWrittenRecords(@TempDir Path dir) throws IOException {
        OperatorSettings o = parse("{\"durable\":{\"dir\":\"" + dir + "\",\"segment_mb\":1,"
                + "\"namespaces\":[{\"name\":\"a\",\"bound_mb\":1}]}}");
        try (FileStore s = o.openDurableStore()) {
            s.committer().write(new Batch().put("a", new byte[] {1}, new byte[] {2}));
        }
        try (FileStore s = o.openDurableStore()) {
            assertEquals(2, s.store().get("a", new byte[] {1}).value()[0]);
        }
        assertTrue(Files.isDirectory(dir.resolve("second")));
    }
}
