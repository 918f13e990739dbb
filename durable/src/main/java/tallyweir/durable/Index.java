package tallyweir.durable;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The location of the current record of each key, in key order: a B+ tree (Bayer and McCreight 1972) with immutable nodes, so
 * that an older root keeps its contents (path copying; Driscoll and others 1989). A leaf is a byte array of at most about
 * 4 KiB, an inner node an array of its children; there are no other objects, so a key costs 28 bytes besides its own.
 * Immutable and thread-safe; each change returns a new index.
 */
final class Index {
    /** The location of a key's record. {@code key} is the namespace in two bytes followed by the key. */
    record Entry(byte[] key, long stamp, int segment, int offset, int length, long expires) {
        int namespace() {
            return (key[0] & 0xff) << 8 | key[1] & 0xff;
        }
    }

    static final Index EMPTY = new Index(null, 0);
    private static final int META = 26;
    private static final int LEAF_MOST = 4_096;
    private static final int LEAF_FEW = LEAF_MOST / 4;
    private static final int KIDS_MOST = 64;
    private static final int KIDS_FEW = KIDS_MOST / 4;

    private final Object root; // a leaf (byte[]), an inner node (Object[]) or null
    private final long size;

    private Index(Object root, long size) {
        this.root = root;
        this.size = size;
    }

    /** The number of keys. */
    long size() {
        return size;
    }

    /** The key of the index for a key of a namespace: the namespace in two bytes followed by the key. */
    static byte[] key(int namespace, byte[] key) {
        byte[] k = new byte[key.length + 2];
        k[0] = (byte) (namespace >> 8);
        k[1] = (byte) namespace;
        System.arraycopy(key, 0, k, 2, key.length);
        return k;
    }

    /** The entry of a key, null if there is none. */
    Entry get(byte[] key) {
        Object node = root;
        while (node instanceof Object[] kids) {
            node = kids[child(kids, key)];
        }
        int i = node == null ? -1 : find((byte[]) node, key);
        return i < 0 ? null : entry((byte[]) node, i);
    }

    /** The first entry whose key is equal or greater, null if there is none. */
    Entry atOrAfter(byte[] key) {
        return atOrAfter(root, key);
    }

    /** The first entry whose key is greater, null if there is none. */
    Entry after(byte[] key) {
        return atOrAfter(Arrays.copyOf(key, key.length + 1));
    }

    private static Entry atOrAfter(Object node, byte[] key) {
        if (node == null) {
            return null;
        }
        if (node instanceof byte[] leaf) {
            int i = find(leaf, key);
            i = i < 0 ? -i - 1 : i;
            return i < count(leaf) ? entry(leaf, i) : null;
        }
        Object[] kids = (Object[]) node;
        for (int i = child(kids, key); i < kids.length; i++) {
            Entry e = atOrAfter(kids[i], key);
            if (e != null) {
                return e;
            }
        }
        return null;
    }

    /** Adds an entry, replacing the one with the same key if there is one. */
    Index put(Entry e) {
        boolean[] replaced = new boolean[1];
        Object node = root == null ? leaf(List.of(bytes(e))) : put(root, e.key, bytes(e), replaced);
        if (node instanceof Split s) {
            node = new Object[] {s.left, s.right};
        }
        return new Index(node, size + (replaced[0] ? 0 : 1));
    }

    /** Removes a key; returns the same index if it is not there. */
    Index remove(byte[] key) {
        Object node = root == null ? null : remove(root, key);
        if (node == root) {
            return this;
        }
        while (node instanceof Object[] kids && kids.length == 1) {
            node = kids[0];
        }
        return new Index(node, size - 1);
    }

    /** All leaves in key order, not copied; used to write a snapshot. */
    List<byte[]> leaves() {
        List<byte[]> all = new ArrayList<>();
        leaves(root, all);
        return all;
    }

    private static void leaves(Object node, List<byte[]> into) {
        if (node instanceof byte[] leaf) {
            into.add(leaf);
        } else if (node instanceof Object[] kids) {
            for (Object kid : kids) {
                leaves(kid, into);
            }
        }
    }

    /** Builds an index from the result of {@link #leaves}. */
    static Index of(List<byte[]> leaves) {
        long size = 0;
        List<Object> level = new ArrayList<>(leaves);
        for (byte[] leaf : leaves) {
            size += count(leaf);
        }
        while (level.size() > 1) {
            List<Object> above = new ArrayList<>();
            int groups = (level.size() + KIDS_MOST * 3 / 4 - 1) / (KIDS_MOST * 3 / 4);
            for (int g = 0; g < groups; g++) {
                above.add(level.subList((int) ((long) level.size() * g / groups), (int)
                                ((long) level.size() * (g + 1) / groups))
                        .toArray());
            }
            level = above;
        }
        return new Index(level.isEmpty() ? null : level.get(0), size);
    }

    /** Builds an index from entries in ascending key order without duplicates. */
    static Index ofSorted(List<Entry> entries) {
        List<byte[]> leaves = new ArrayList<>();
        List<byte[]> leaf = new ArrayList<>();
        int size = 2;
        for (Entry e : entries) {
            byte[] b = bytes(e);
            if (size + b.length + 2 > LEAF_MOST && !leaf.isEmpty()) {
                leaves.add(leaf(leaf));
                leaf.clear();
                size = 2;
            }
            leaf.add(b);
            size += b.length + 2;
        }
        if (!leaf.isEmpty()) {
            leaves.add(leaf(leaf));
        }
        return of(leaves);
    }

    /** Receives the fields of each entry other than its key and offset; see {@link #each}. */
    interface Each {
        void entry(int namespace, long stamp, int segment, int length, long expires);
    }

    /** Visits every entry in key order without copying it. */
    void each(Each to) {
        for (byte[] leaf : leaves()) {
            ByteBuffer in = ByteBuffer.wrap(leaf);
            for (int i = 0; i < count(leaf); i++) {
                int from = from(leaf, i);
                to.entry(
                        u16(leaf, from + META),
                        in.getLong(from),
                        in.getInt(from + 8),
                        in.getInt(from + 16),
                        (long) u16(leaf, from + 20) << 32 | in.getInt(from + 22) & 0xffff_ffffL);
            }
        }
    }

    // ---- leaves: the number of entries, the end index of each entry (all two bytes each), then the entries

    private static int u16(byte[] b, int at) {
        return (b[at] & 0xff) << 8 | b[at + 1] & 0xff;
    }

    private static void u16(byte[] b, int at, int value) {
        b[at] = (byte) (value >> 8);
        b[at + 1] = (byte) value;
    }

    private static int count(byte[] leaf) {
        return u16(leaf, 0);
    }

    private static int from(byte[] leaf, int i) {
        return i == 0 ? 2 + 2 * count(leaf) : u16(leaf, 2 * i);
    }

    private static int to(byte[] leaf, int i) {
        return u16(leaf, 2 + 2 * i);
    }

    private static Entry entry(byte[] leaf, int i) {
        int from = from(leaf, i);
        ByteBuffer in = ByteBuffer.wrap(leaf);
        long expires = (long) u16(leaf, from + 20) << 32 | in.getInt(from + 22) & 0xffff_ffffL;
        return new Entry(
                Arrays.copyOfRange(leaf, from + META, to(leaf, i)),
                in.getLong(from),
                in.getInt(from + 8),
                in.getInt(from + 12),
                in.getInt(from + 16),
                expires);
    }

    private static byte[] bytes(Entry e) {
        byte[] b = new byte[META + e.key.length];
        ByteBuffer.wrap(b)
                .putLong(e.stamp)
                .putInt(e.segment)
                .putInt(e.offset)
                .putInt(e.length)
                .putShort((short) (e.expires >> 32))
                .putInt((int) e.expires)
                .put(e.key);
        return b;
    }

    private static int compare(byte[] leaf, int i, byte[] key) {
        return Arrays.compareUnsigned(leaf, from(leaf, i) + META, to(leaf, i), key, 0, key.length);
    }

    /** The position of a key's entry, or -1 minus the position at which it would be inserted. */
    private static int find(byte[] leaf, byte[] key) {
        int low = 0;
        int high = count(leaf) - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int c = compare(leaf, middle, key);
            if (c == 0) {
                return middle;
            }
            if (c < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -low - 1;
    }

    private static byte[] leaf(List<byte[]> entries) {
        int size = 2 + 2 * entries.size();
        for (byte[] e : entries) {
            size += e.length;
        }
        byte[] leaf = new byte[size];
        u16(leaf, 0, entries.size());
        int at = 2 + 2 * entries.size();
        for (int i = 0; i < entries.size(); i++) {
            System.arraycopy(entries.get(i), 0, leaf, at, entries.get(i).length);
            at += entries.get(i).length;
            u16(leaf, 2 + 2 * i, at);
        }
        return leaf;
    }

    /** A copy of the leaf with the entries [from, to) replaced by one entry, or removed if that is null. */
    private static byte[] spliced(byte[] leaf, int from, int to, byte[] by) {
        int n = count(leaf);
        int left = from == 0 ? from(leaf, 0) : to(leaf, from - 1);
        int right = to == 0 ? from(leaf, 0) : to(leaf, to - 1);
        int more = by == null ? 0 : 1;
        int many = n - (to - from) + more;
        int shift = 2 * (many - n);
        byte[] out = new byte[leaf.length - (right - left) + (by == null ? 0 : by.length) + shift];
        u16(out, 0, many);
        int base = 2 + 2 * n;
        int start = 2 + 2 * many;
        System.arraycopy(leaf, base, out, start, left - base);
        int at = start + left - base;
        for (int i = 0; i < from; i++) {
            u16(out, 2 + 2 * i, to(leaf, i) + shift);
        }
        if (by != null) {
            System.arraycopy(by, 0, out, at, by.length);
            at += by.length;
            u16(out, 2 + 2 * from, at);
        }
        System.arraycopy(leaf, right, out, at, leaf.length - right);
        for (int i = to; i < n; i++) {
            u16(out, 2 + 2 * (i - to + from + more), to(leaf, i) - right + at);
        }
        return out;
    }

    private static byte[] part(byte[] leaf, int from, int to) {
        List<byte[]> part = new ArrayList<>(to - from);
        for (int i = from; i < to; i++) {
            part.add(Arrays.copyOfRange(leaf, from(leaf, i), to(leaf, i)));
        }
        return leaf(part);
    }

    private static byte[] joined(byte[] left, byte[] right) {
        List<byte[]> all = new ArrayList<>();
        for (byte[] leaf : List.of(left, right)) {
            for (int i = 0; i < count(leaf); i++) {
                all.add(Arrays.copyOfRange(leaf, from(leaf, i), to(leaf, i)));
            }
        }
        return leaf(all);
    }

    // ---- nodes

    private record Split(Object left, Object right) {}

    private static byte[] firstLeaf(Object node) {
        while (node instanceof Object[] kids) {
            node = kids[0];
        }
        return (byte[]) node;
    }

    /** The index of the last child whose first key is not greater than the key; 0 if there is none. */
    private static int child(Object[] kids, byte[] key) {
        int low = 1;
        int high = kids.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            if (compare(firstLeaf(kids[middle]), 0, key) <= 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return low - 1;
    }

    private static Object put(Object node, byte[] key, byte[] entry, boolean[] replaced) {
        if (node instanceof byte[] leaf) {
            int i = find(leaf, key);
            replaced[0] = i >= 0;
            int at = i < 0 ? -i - 1 : i;
            byte[] fuller = spliced(leaf, at, i < 0 ? at : at + 1, entry);
            int n = count(fuller);
            if (fuller.length <= LEAF_MOST || n < 2) {
                return fuller;
            }
            int cut = 1; // insertion in ascending order leaves full leaves: only the new last entry is split off
            if (at == n - 1) {
                cut = n - 1;
            } else {
                while (cut < n - 1 && to(fuller, cut) < fuller.length / 2) {
                    cut++;
                }
            }
            return new Split(part(fuller, 0, cut), part(fuller, cut, n));
        }
        Object[] kids = (Object[]) node;
        int c = child(kids, key);
        Object changed = put(kids[c], key, entry, replaced);
        if (!(changed instanceof Split s)) {
            Object[] copy = kids.clone();
            copy[c] = changed;
            return copy;
        }
        Object[] more = new Object[kids.length + 1];
        System.arraycopy(kids, 0, more, 0, c);
        more[c] = s.left;
        more[c + 1] = s.right;
        System.arraycopy(kids, c + 1, more, c + 2, kids.length - c - 1);
        if (more.length <= KIDS_MOST) {
            return more;
        }
        int cut = c + 1 == more.length - 1 ? more.length - 2 : more.length / 2;
        return new Split(Arrays.copyOfRange(more, 0, cut), Arrays.copyOfRange(more, cut, more.length));
    }

    private static Object remove(Object node, byte[] key) {
        if (node instanceof byte[] leaf) {
            int i = find(leaf, key);
            return i < 0 ? leaf : count(leaf) == 1 ? null : spliced(leaf, i, i + 1, null);
        }
        Object[] kids = (Object[]) node;
        int c = child(kids, key);
        Object changed = remove(kids[c], key);
        if (changed == kids[c]) {
            return node;
        }
        if (changed == null) {
            return kids.length == 1 ? null : without(kids, c);
        }
        Object[] copy = kids.clone();
        copy[c] = changed;
        for (int left = Math.max(0, c - 1); left <= c && left + 1 < copy.length; left++) {
            Object both = small(changed) ? together(copy[left], copy[left + 1]) : null;
            if (both != null) {
                Object[] fewer = without(copy, left);
                fewer[left] = both;
                return fewer;
            }
        }
        return copy;
    }

    private static Object[] without(Object[] kids, int c) {
        Object[] fewer = new Object[kids.length - 1];
        System.arraycopy(kids, 0, fewer, 0, c);
        System.arraycopy(kids, c + 1, fewer, c, fewer.length - c);
        return fewer;
    }

    private static boolean small(Object node) {
        return node instanceof byte[] leaf ? leaf.length < LEAF_FEW : ((Object[]) node).length < KIDS_FEW;
    }

    /** Merges two adjacent nodes; null if the result would exceed 3/4 of the maximum size. */
    private static Object together(Object left, Object right) {
        if (left instanceof byte[] l && right instanceof byte[] r) {
            return l.length + r.length <= LEAF_MOST * 3 / 4 ? joined(l, r) : null;
        }
        Object[] l = (Object[]) left;
        Object[] r = (Object[]) right;
        if (l.length + r.length > KIDS_MOST * 3 / 4) {
            return null;
        }
        Object[] all = Arrays.copyOf(l, l.length + r.length);
        System.arraycopy(r, 0, all, l.length, r.length);
        return all;
    }
}
