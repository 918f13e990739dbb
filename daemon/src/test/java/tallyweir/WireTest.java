package tallyweir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import tallyweir.wirehost.WireHost;

class WireTest {
    private static final String PARAMS = "{\"Classes\":[{\"Name\":\"c\",\"Effect\":\"safe\",\"TargetUs\":1800000,"
            + "\"DeadlineUs\":4600000,\"Worth\":1.0}],\"FamilyInfo\":{\"Cpus\":2,\"MemLimitKb\":9000,\"New\":[{}]},"
            + "\"Rules\":{\"FallMultiple\":8,\"Odd\":null}}";
    private static final String START =
            batch(0, "{\"Nonce64\":9223372036854775807,\"Params\":" + PARAMS + ",\"t\":\"Configure\"}");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private static String batch(long wallUs, String events) {
        return "{\"WallUs\":" + wallUs + ",\"groups\":[{\"Backend\":3,\"news\":[" + events + "]}]}\n";
    }

    private int serve(String lines) {
        return WireHost.serve(
                new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private String[] replies() {
        return out.toString(StandardCharsets.UTF_8).split("\n");
    }

    private void assertRefused(String line, String field) {
        out.reset();
        err.reset();
        assertEquals(1, serve(START + line));
        assertEquals(1, replies().length, "no partial reply");
        assertTrue(err.toString(StandardCharsets.UTF_8).contains(field), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void answersEachBatchAndExitsAtEndOfInput() {
        String read = "{\"t\":\"Incoming\",\"Id\":77,\"Grade\":\"c\",\"SizeKb\":20,\"Earlier\":null,\"New\":[1,{}]}";
        assertEquals(0, serve("{\"WallUs\":5,\"groups\":[]}\n" + START + batch(9000, read)));
        assertEquals("{\"groups\":[]}", replies()[0]);
        assertEquals(
                "{\"groups\":[{\"Backend\":3,\"actions\":[{\"t\":\"SetHealth\",\"On\":true,\"FromState\":true},"
                        + "{\"t\":\"WakeAt\",\"DueAtUs\":100000,\"Ctx\":1}]}]}",
                replies()[1]);
        assertTrue(replies()[2].contains("{\"t\":\"Execute\",\"Id\":77}"), replies()[2]);
    }

    @Test
    void unknownInstancesAndEventsAreIgnored() {
        String events = "{\"t\":\"Settled\",\"Id\":5,\"How\":\"completed\"},{\"t\":\"Later\",\"X\":{\"Y\":[]}},"
                + "{\"t\":\"Lapsed\",\"Id\":6},{\"t\":\"NeedsDep\",\"Id\":7},{\"t\":\"DepReply\",\"Id\":8,\"How\":\"errored\"}";
        assertEquals(0, serve(batch(1, events) + START + batch(2, events)));
        assertEquals("{\"groups\":[]}", replies()[0]);
        assertEquals("{\"groups\":[]}", replies()[2]);
    }

    @Test
    void reportsTheInvalidFieldAndExits() {
        assertRefused("{\"groups\":[]}\n", "WallUs");
        assertRefused("{\"WallUs\":1}\n", "groups");
        assertRefused("[]\n", "object");
        assertRefused("{\"WallUs\":1,\"groups\":[{\"news\":[]}]}\n", "Backend");
        assertRefused("{\"WallUs\":1,\"groups\":[{\"Backend\":3}]}\n", "news");
        assertRefused(batch(1, "{\"Id\":5}"), "t");
        assertRefused(batch(1, "{\"t\":\"Incoming\",\"Grade\":\"c\",\"SizeKb\":20}"), "Id");
        assertRefused(batch(1, "{\"t\":\"Incoming\",\"Id\":5,\"Grade\":\"c\",\"SizeKb\":null}"), "SizeKb");
        assertRefused(batch(1, "{\"t\":\"Incoming\",\"Id\":\"x\",\"Grade\":\"c\",\"SizeKb\":1}"), "Id");
        assertRefused(batch(1, "{\"t\":\"Settled\",\"Id\":5}"), "How");
        assertRefused("{\"WallUs\":1,\"groups\":[\n", "batch");
    }

    @Test
    void failureOfTheDecisionsIsReportedAsFault() {
        String read = "{\"t\":\"Incoming\",\"Id\":77,\"Grade\":\"nobody\",\"SizeKb\":20}";
        assertEquals(0, serve(START + batch(9000, read)));
        assertTrue(replies()[1].contains("\"t\":\"Fault\""), replies()[1]);
    }
}
