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
import tallyweir.durable.Found;
import tallyweir.ids.JobId;

/** Results on the disk, compressed or not. */
class ResultCompressionTest {
    private static final Mark MARK = DurableResultStore.mark("reset", "m");

    private static byte[] value(Known known, byte[] result) {
        return DurableResultStore.encoded(known, new JobId("job"), 42, 99, result);
    }

    private static ResultStore.Kept back(byte[] value) {
        return DurableResultStore.of(new Found(DurableResultStore.key(MARK), value, 0, 99));
    }

    @Property(seed = "20261201", tries = 500)
    void whatIsKeptComesBackAsItWas(@ForAll @Size(max = 3_000) byte[] result) {
        assertArrayEquals(result, back(value(Known.GOOD, result)).result());
    }

    @Test
    void whatRepeatsItselfTakesLessAndWhatDoesNotTakesNoMore() {
        byte[] slots = "{\"slot\":7,\"bakery\":\"imbaba\",\"from\":\"06:00\"},"
                .repeat(30)
                .getBytes();
        assertTrue(value(Known.GOOD, slots).length < slots.length / 4, "not compressed");
        assertArrayEquals(slots, back(value(Known.GOOD, slots)).result());
        byte[] noise = new byte[1_000];
        new SplittableRandom(1).nextBytes(noise);
        assertEquals(19 + 3 + noise.length, value(Known.GOOD, noise).length);
        assertArrayEquals(noise, back(value(Known.GOOD, noise)).result());
        assertEquals(Known.BAD, back(value(Known.BAD, null)).known());
        assertNull(back(value(Known.BAD, null)).result());
    }

    @Test
    void whatCannotBeReadIsNoResult() {
        byte[] v = value(Known.GOOD, "abcdefgh".repeat(100).getBytes());
        assertNotNull(back(v));
        for (int at = 22; at < v.length; at++) {
            byte[] bad = v.clone();
            bad[at] ^= 0x55;
            // Damage is detected by the store's checksums; here it must only not cause an exception.
            ResultStore.Kept k = back(bad);
            assertTrue(k == null || k.known() == Known.GOOD);
        }
        assertNull(back(Arrays.copyOf(v, v.length - 1)));
        assertNull(ResultCompression.decompress(new byte[] {1, 2, 3}, 10));
        assertNull(ResultCompression.decompress(new byte[0], -1));
        assertNull(ResultCompression.decompress(new byte[0], Integer.MAX_VALUE));
    }
}
