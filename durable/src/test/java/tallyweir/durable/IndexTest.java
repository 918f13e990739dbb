package tallyweir.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Compares the index with a sorted map under random changes. */
class IndexTest {
    private static byte[] key(SplittableRandom chance, int alphabet) {
        int length = chance.nextInt(20) == 0 ? chance.nextInt(Format.KEY_MOST + 1) : chance.nextInt(6);
        byte[] k = new byte[2 + length];
        for (int i = 1; i < k.length; i++) {
            k[i] = (byte) (chance.nextInt(alphabet) * 37);
        }
        return k;
    }

    private static Index.Entry entry(SplittableRandom chance, byte[] key) {
        return new Index.Entry(
                key,
                chance.nextLong(Long.MAX_VALUE),
                chance.nextInt(1 << 20),
                chance.nextInt(1 << 30),
                chance.nextInt(1 << 24),
                chance.nextLong(1L << 47));
    }

    private static List<String> all(Index index) {
        List<String> all = new ArrayList<>();
        for (Index.Entry e = index.atOrAfter(new byte[0]); e != null; e = index.after(e.key())) {
            all.add(text(e));
        }
        return all;
    }

    private static String text(Index.Entry e) {
        return e == null
                ? "none"
                : Arrays.toString(e.key()) + e.stamp() + "/" + e.segment() + "/" + e.offset() + "/" + e.length() + "/"
                        + e.expires();
    }

    @Property(tries = 300, seed = "15", shrinking = ShrinkingMode.OFF)
    void isLikeASortedMap(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 7) int alphabet,
            @ForAll @IntRange(min = 1, max = 1_500) int steps,
            @ForAll @IntRange(min = 10, max = 90) int puts) {
        SplittableRandom chance = new SplittableRandom(seed);
        TreeMap<byte[], Index.Entry> plain = new TreeMap<>(Arrays::compareUnsigned);
        Index index = Index.EMPTY;
        Index kept = index;
        List<String> keptShows = all(kept);
        for (int i = 0; i < steps; i++) {
            byte[] key = key(chance, alphabet);
            if (chance.nextInt(100) < puts) {
                Index.Entry e = entry(chance, key);
                plain.put(key, e);
                index = index.put(e);
            } else {
                plain.remove(key);
                index = index.remove(key);
            }
            byte[] asked = key(chance, alphabet);
            assertEquals(text(plain.get(asked)), text(index.get(asked)));
            Map.Entry<byte[], Index.Entry> next = plain.ceilingEntry(asked);
            assertEquals(text(next == null ? null : next.getValue()), text(index.atOrAfter(asked)));
            if (i == steps / 2) {
                kept = index;
                keptShows = all(kept);
            }
        }
        List<String> wanted = plain.values().stream().map(IndexTest::text).toList();
        assertEquals(wanted, all(index));
        assertEquals(plain.size(), index.size());
        assertEquals(keptShows, all(kept), "an older index has changed");
        assertEquals(wanted, all(Index.of(index.leaves())));
        assertEquals(wanted, all(Index.ofSorted(new ArrayList<>(plain.values()))));
        long[] seen = new long[1];
        index.each((namespace, stamp, segment, length, expires) -> seen[0] += stamp + segment + length + expires);
        assertEquals(
                plain.values().stream()
                        .mapToLong(e -> e.stamp() + e.segment() + e.length() + e.expires())
                        .sum(),
                seen[0]);
    }

    @Test
    void emptiedItIsEmpty() {
        Index index = Index.EMPTY;
        SplittableRandom chance = new SplittableRandom(1);
        List<byte[]> keys = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            keys.add(Index.key(1, Integer.toString(i).getBytes()));
            index = index.put(entry(chance, keys.get(i)));
        }
        assertEquals(20_000, index.size());
        for (byte[] key : keys) {
            index = index.remove(key);
        }
        assertEquals(0, index.size());
        assertNull(index.atOrAfter(new byte[0]));
        assertEquals(List.of(), index.leaves());
    }
}
