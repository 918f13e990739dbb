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
    record Entry(byte[] key, long stamp, int segment, int offset, int length, long expiresAt) {
        int namespace() {
            return (key[0] & 0xff) << 8 | key[1] & 0xff;
        }
    }

    static final Index EMPTY = new Index(null, 0);
    private static final int ENTRY_HEADER_BYTES = 26;
    private static final int MAX_LEAF_BYTES = 4_096;
    private static final int MIN_LEAF_BYTES = MAX_LEAF_BYTES / 4;
    private static final int MAX_CHILDREN = 64;
    private static final int MIN_CHILDREN = MAX_CHILDREN / 4;

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
    static byte[] indexKey(int namespace, byte[] key) {
        byte[] k = new byte[key.length + 2];
        k[0] = (byte) (namespace >> 8);
        k[1] = (byte) namespace;
        System.arraycopy(key, 0, k, 2, key.length);
        return k;
    }

    /** The entry of a key, null if there is none. */
    Entry get(byte[] key) {
        Object node = root;
        while (node instanceof Object[] children) {
            node = children[childIndex(children, key)];
        }
        int i = node == null ? -1 : search((byte[]) node, key);
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
            int i = search(leaf, key);
            i = i < 0 ? -i - 1 : i;
            return i < count(leaf) ? entry(leaf, i) : null;
        }
        Object[] children = (Object[]) node;
        for (int i = childIndex(children, key); i < children.length; i++) {
            Entry e = atOrAfter(children[i], key);
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
        while (node instanceof Object[] children && children.length == 1) {
            node = children[0];
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
        } else if (node instanceof Object[] children) {
            for (Object child : children) {
                leaves(child, into);
            }
        }
    }

    /** Builds an index from the result of {@link #leaves}. */
    static Index fromLeaves(List<byte[]> leaves) {
        long size = 0;
        List<Object> level = new ArrayList<>(leaves);
        for (byte[] leaf : leaves) {
            size += count(leaf);
        }
        while (level.size() > 1) {
            List<Object> above = new ArrayList<>();
            int groups = (level.size() + MAX_CHILDREN * 3 / 4 - 1) / (MAX_CHILDREN * 3 / 4);
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
    static Index fromSortedEntries(List<Entry> entries) {
        List<byte[]> leaves = new ArrayList<>();
        List<byte[]> leaf = new ArrayList<>();
        int size = 2;
        for (Entry e : entries) {
            byte[] b = bytes(e);
            if (size + b.length + 2 > MAX_LEAF_BYTES && !leaf.isEmpty()) {
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
        return fromLeaves(leaves);
    }

    /** Receives the fields of each entry other than its key and offset; see {@link #forEach}. */
    interface EntryVisitor {
        void visit(int namespace, long stamp, int segment, int length, long expiresAt);
    }

    /** Visits every entry in key order without copying it. */
    void forEach(EntryVisitor visitor) {
        for (byte[] leaf : leaves()) {
            ByteBuffer in = ByteBuffer.wrap(leaf);
            for (int i = 0; i < count(leaf); i++) {
                int from = entryStart(leaf, i);
                visitor.visit(
                        uint16(leaf, from + ENTRY_HEADER_BYTES),
                        in.getLong(from),
                        in.getInt(from + 8),
                        in.getInt(from + 16),
                        (long) uint16(leaf, from + 20) << 32 | in.getInt(from + 22) & 0xffff_ffffL);
            }
        }
    }

    // ---- leaves: the number of entries, the end index of each entry (all two bytes each), then the entries

    private static int uint16(byte[] b, int at) {
        return (b[at] & 0xff) << 8 | b[at + 1] & 0xff;
    }

    private static void uint16(byte[] b, int at, int value) {
        b[at] = (byte) (value >> 8);
        b[at + 1] = (byte) value;
    }

    private static int count(byte[] leaf) {
        return uint16(leaf, 0);
    }

    private static int entryStart(byte[] leaf, int i) {
        return i == 0 ? 2 + 2 * count(leaf) : uint16(leaf, 2 * i);
    }

    private static int entryEnd(byte[] leaf, int i) {
        return uint16(leaf, 2 + 2 * i);
    }

    private static Entry entry(byte[] leaf, int i) {
        int from = entryStart(leaf, i);
        ByteBuffer in = ByteBuffer.wrap(leaf);
        long expiresAt = (long) uint16(leaf, from + 20) << 32 | in.getInt(from + 22) & 0xffff_ffffL;
        return new Entry(
                Arrays.copyOfRange(leaf, from + ENTRY_HEADER_BYTES, entryEnd(leaf, i)),
                in.getLong(from),
                in.getInt(from + 8),
                in.getInt(from + 12),
                in.getInt(from + 16),
                expiresAt);
    }

    private static byte[] bytes(Entry e) {
        byte[] b = new byte[ENTRY_HEADER_BYTES + e.key.length];
        ByteBuffer.wrap(b)
                .putLong(e.stamp)
                .putInt(e.segment)
                .putInt(e.offset)
                .putInt(e.length)
                .putShort((short) (e.expiresAt >> 32))
                .putInt((int) e.expiresAt)
                .put(e.key);
        return b;
    }

    private static int compare(byte[] leaf, int i, byte[] key) {
        return Arrays.compareUnsigned(
                leaf, entryStart(leaf, i) + ENTRY_HEADER_BYTES, entryEnd(leaf, i), key, 0, key.length);
    }

    /** The position of a key's entry, or -1 minus the position at which it would be inserted. */
    private static int search(byte[] leaf, byte[] key) {
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
        uint16(leaf, 0, entries.size());
        int at = 2 + 2 * entries.size();
        for (int i = 0; i < entries.size(); i++) {
            System.arraycopy(entries.get(i), 0, leaf, at, entries.get(i).length);
            at += entries.get(i).length;
            uint16(leaf, 2 + 2 * i, at);
        }
        return leaf;
    }

    /** A copy of the leaf with the entries [from, to) replaced by one entry, or removed if that is null. */
    private static byte[] replaceEntries(byte[] leaf, int from, int to, byte[] replacement) {
        int oldCount = count(leaf);
        int left = from == 0 ? entryStart(leaf, 0) : entryEnd(leaf, from - 1);
        int right = to == 0 ? entryStart(leaf, 0) : entryEnd(leaf, to - 1);
        int added = replacement == null ? 0 : 1;
        int newCount = oldCount - (to - from) + added;
        int shift = 2 * (newCount - oldCount);
        byte[] out = new byte[leaf.length - (right - left) + (replacement == null ? 0 : replacement.length) + shift];
        uint16(out, 0, newCount);
        int base = 2 + 2 * oldCount;
        int start = 2 + 2 * newCount;
        System.arraycopy(leaf, base, out, start, left - base);
        int at = start + left - base;
        for (int i = 0; i < from; i++) {
            uint16(out, 2 + 2 * i, entryEnd(leaf, i) + shift);
        }
        if (replacement != null) {
            System.arraycopy(replacement, 0, out, at, replacement.length);
            at += replacement.length;
            uint16(out, 2 + 2 * from, at);
        }
        System.arraycopy(leaf, right, out, at, leaf.length - right);
        for (int i = to; i < oldCount; i++) {
            uint16(out, 2 + 2 * (i - to + from + added), entryEnd(leaf, i) - right + at);
        }
        return out;
    }

    private static byte[] subLeaf(byte[] leaf, int from, int to) {
        List<byte[]> part = new ArrayList<>(to - from);
        for (int i = from; i < to; i++) {
            part.add(Arrays.copyOfRange(leaf, entryStart(leaf, i), entryEnd(leaf, i)));
        }
        return leaf(part);
    }

    private static byte[] joinLeaves(byte[] left, byte[] right) {
        List<byte[]> all = new ArrayList<>();
        for (byte[] leaf : List.of(left, right)) {
            for (int i = 0; i < count(leaf); i++) {
                all.add(Arrays.copyOfRange(leaf, entryStart(leaf, i), entryEnd(leaf, i)));
            }
        }
        return leaf(all);
    }

    // ---- nodes

    private record Split(Object left, Object right) {}

    private static byte[] firstLeaf(Object node) {
        while (node instanceof Object[] children) {
            node = children[0];
        }
        return (byte[]) node;
    }

    /** The index of the last child whose first key is not greater than the key; 0 if there is none. */
    private static int childIndex(Object[] children, byte[] key) {
        int low = 1;
        int high = children.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            if (compare(firstLeaf(children[middle]), 0, key) <= 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return low - 1;
    }

    private static Object put(Object node, byte[] key, byte[] entry, boolean[] replaced) {
        if (node instanceof byte[] leaf) {
            int i = search(leaf, key);
            replaced[0] = i >= 0;
            int at = i < 0 ? -i - 1 : i;
            byte[] updated = replaceEntries(leaf, at, i < 0 ? at : at + 1, entry);
            int n = count(updated);
            if (updated.length <= MAX_LEAF_BYTES || n < 2) {
                return updated;
            }
            int cut = 1; // insertion in ascending order leaves full leaves: only the new last entry is split off
            if (at == n - 1) {
                cut = n - 1;
            } else {
                while (cut < n - 1 && entryEnd(updated, cut) < updated.length / 2) {
                    cut++;
                }
            }
            return new Split(subLeaf(updated, 0, cut), subLeaf(updated, cut, n));
        }
        Object[] children = (Object[]) node;
        int c = childIndex(children, key);
        Object changed = put(children[c], key, entry, replaced);
        if (!(changed instanceof Split s)) {
            Object[] copy = children.clone();
            copy[c] = changed;
            return copy;
        }
        Object[] more = new Object[children.length + 1];
        System.arraycopy(children, 0, more, 0, c);
        more[c] = s.left;
        more[c + 1] = s.right;
        System.arraycopy(children, c + 1, more, c + 2, children.length - c - 1);
        if (more.length <= MAX_CHILDREN) {
            return more;
        }
        int cut = c + 1 == more.length - 1 ? more.length - 2 : more.length / 2;
        return new Split(Arrays.copyOfRange(more, 0, cut), Arrays.copyOfRange(more, cut, more.length));
    }

    private static Object remove(Object node, byte[] key) {
        if (node instanceof byte[] leaf) {
            int i = search(leaf, key);
            return i < 0 ? leaf : count(leaf) == 1 ? null : replaceEntries(leaf, i, i + 1, null);
        }
        Object[] children = (Object[]) node;
        int c = childIndex(children, key);
        Object changed = remove(children[c], key);
        if (changed == children[c]) {
            return node;
        }
        if (changed == null) {
            return children.length == 1 ? null : withoutChild(children, c);
        }
        Object[] copy = children.clone();
        copy[c] = changed;
        for (int left = Math.max(0, c - 1); left <= c && left + 1 < copy.length; left++) {
            Object merged = isUnderfull(changed) ? mergeIfFits(copy[left], copy[left + 1]) : null;
            if (merged != null) {
                Object[] remaining = withoutChild(copy, left);
                remaining[left] = merged;
                return remaining;
            }
        }
        return copy;
    }

    private static Object[] withoutChild(Object[] children, int c) {
        Object[] remaining = new Object[children.length - 1];
        System.arraycopy(children, 0, remaining, 0, c);
        System.arraycopy(children, c + 1, remaining, c, remaining.length - c);
        return remaining;
    }

    private static boolean isUnderfull(Object node) {
        return node instanceof byte[] leaf ? leaf.length < MIN_LEAF_BYTES : ((Object[]) node).length < MIN_CHILDREN;
    }

    /** Merges two adjacent nodes; null if the result would exceed 3/4 of the maximum size. */
    private static Object mergeIfFits(Object left, Object right) {
        if (left instanceof byte[] l && right instanceof byte[] r) {
            return l.length + r.length <= MAX_LEAF_BYTES * 3 / 4 ? joinLeaves(l, r) : null;
        }
        Object[] l = (Object[]) left;
        Object[] r = (Object[]) right;
        if (l.length + r.length > MAX_CHILDREN * 3 / 4) {
            return null;
        }
        Object[] all = Arrays.copyOf(l, l.length + r.length);
        System.arraycopy(r, 0, all, l.length, r.length);
        return all;
    }
}
