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
    private static byte[] key(SplittableRandom random, int alphabet) {
        int length = random.nextInt(20) == 0 ? random.nextInt(Format.MAX_KEY_BYTES + 1) : random.nextInt(6);
        byte[] k = new byte[2 + length];
        for (int i = 1; i < k.length; i++) {
            k[i] = (byte) (random.nextInt(alphabet) * 37);
        }
        return k;
    }

    private static Index.Entry entry(SplittableRandom random, byte[] key) {
        return new Index.Entry(
                key,
                random.nextLong(Long.MAX_VALUE),
                random.nextInt(1 << 20),
                random.nextInt(1 << 30),
                random.nextInt(1 << 24),
                random.nextLong(1L << 47));
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
                        + e.expiresAt();
    }

    @Property(tries = 300, seed = "15", shrinking = ShrinkingMode.OFF)
    void matchesSortedMapUnderRandomChanges(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 7) int alphabet,
            @ForAll @IntRange(min = 1, max = 1_500) int steps,
            @ForAll @IntRange(min = 10, max = 90) int puts) {
        SplittableRandom random = new SplittableRandom(seed);
        TreeMap<byte[], Index.Entry> expected = new TreeMap<>(Arrays::compareUnsigned);
        Index index = Index.EMPTY;
        Index snapshot = index;
        List<String> snapshotEntries = all(snapshot);
        for (int i = 0; i < steps; i++) {
            byte[] key = key(random, alphabet);
            if (random.nextInt(100) < puts) {
                Index.Entry e = entry(random, key);
                expected.put(key, e);
                index = index.put(e);
            } else {
                expected.remove(key);
                index = index.remove(key);
            }
            byte[] probe = key(random, alphabet);
            assertEquals(text(expected.get(probe)), text(index.get(probe)));
            Map.Entry<byte[], Index.Entry> next = expected.ceilingEntry(probe);
            assertEquals(text(next == null ? null : next.getValue()), text(index.atOrAfter(probe)));
            if (i == steps / 2) {
                snapshot = index;
                snapshotEntries = all(snapshot);
            }
        }
        List<String> expectedEntries =
                expected.values().stream().map(IndexTest::text).toList();
        assertEquals(expectedEntries, all(index));
        assertEquals(expected.size(), index.size());
        assertEquals(snapshotEntries, all(snapshot), "an older index has changed");
        assertEquals(expectedEntries, all(Index.fromLeaves(index.leaves())));
        assertEquals(expectedEntries, all(Index.fromSortedEntries(new ArrayList<>(expected.values()))));
        long[] seen = new long[1];
        index.forEach((namespace, stamp, segment, length, expires) -> seen[0] += stamp + segment + length + expires);
        assertEquals(
                expected.values().stream()
                        .mapToLong(e -> e.stamp() + e.segment() + e.length() + e.expiresAt())
                        .sum(),
                seen[0]);
    }

    @Test
    void indexIsEmptyAfterRemovingAllKeys() {
        Index index = Index.EMPTY;
        SplittableRandom random = new SplittableRandom(1);
        List<byte[]> keys = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            keys.add(Index.indexKey(1, Integer.toString(i).getBytes()));
            index = index.put(entry(random, keys.get(i)));
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
