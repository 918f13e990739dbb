package tallyweir.results;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tallyweir.durable.StoredRecord;
import tallyweir.ids.JobId;

/** Results on the disk, compressed or not. */
class ResultCompressionTest {
    private static final IdempotencyKey KEY = DurableResultStore.idempotencyKey("reset", "m");

    private static byte[] encode(Known known, byte[] result) {
        return DurableResultStore.encodeOutcome(known, new JobId("job"), 42, 99, result);
    }

    private static ResultStore.StoredResult decode(byte[] value) {
        return DurableResultStore.decode(new StoredRecord(DurableResultStore.storeKey(KEY), value, 0, 99));
    }

    @Property(seed = "20261201", tries = 500)
    void decodedResultEqualsOriginal(@ForAll @Size(max = 3_000) byte[] result) {
        assertArrayEquals(result, decode(encode(Known.GOOD, result)).result());
    }

    @Test
    void repetitiveResultShrinksAndNoiseDoesNotGrow() {
        byte[] slots = "{\"slot\":7,\"bakery\":\"imbaba\",\"from\":\"06:00\"},"
                .repeat(30)
                .getBytes();
        assertTrue(encode(Known.GOOD, slots).length < slots.length / 4, "not compressed");
        assertArrayEquals(slots, decode(encode(Known.GOOD, slots)).result());
        byte[] noise = new byte[1_000];
        new SplittableRandom(1).nextBytes(noise);
        assertEquals(19 + 3 + noise.length, encode(Known.GOOD, noise).length);
        assertArrayEquals(noise, decode(encode(Known.GOOD, noise)).result());
        assertEquals(Known.BAD, decode(encode(Known.BAD, null)).known());
        assertNull(decode(encode(Known.BAD, null)).result());
    }

    @Test
    void damagedResultIsRejected() {
        byte[] v = encode(Known.GOOD, "abcdefgh".repeat(100).getBytes());
        assertNotNull(decode(v));
        for (int at = 22; at < v.length; at++) {
            byte[] bad = v.clone();
            bad[at] ^= 0x55;
            // Damage is detected by the store's checksums; here it must only not cause an exception.
            ResultStore.StoredResult k = decode(bad);
            assertTrue(k == null || k.known() == Known.GOOD);
        }
        assertNull(decode(Arrays.copyOf(v, v.length - 1)));
        assertNull(ResultCompression.decompress(new byte[] {1, 2, 3}, 10));
        assertNull(ResultCompression.decompress(new byte[0], -1));
        assertNull(ResultCompression.decompress(new byte[0], Integer.MAX_VALUE));
    }
}
