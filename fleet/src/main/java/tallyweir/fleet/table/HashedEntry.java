package tallyweir.fleet.table;

import java.util.Arrays;

/**
 * An encoded entry, or only an encoded key, with the hash of the key. Ordered by that hash, then by the encoded key.
 *
 * @param bytes contains the entry from {@code from} up to, but not including, {@code to}; its key ends at {@code keyEnd}
 */
record HashedEntry(Hash256 hash, byte[] bytes, int from, int keyEnd, int to) implements Comparable<HashedEntry> {
    /** Encodes and hashes an entry. */
    static HashedEntry of(Key key, Value value, KeyHashing hashing) {
        EntryWriter writer = new EntryWriter().key(key);
        int keyEnd = writer.length();
        byte[] bytes = writer.value(value).toByteArray();
        return new HashedEntry(hashing.hash(bytes, 0, keyEnd), bytes, 0, keyEnd, bytes.length);
    }

    /** Encodes and hashes a key without a value. */
    static HashedEntry of(Key key, KeyHashing hashing) {
        byte[] bytes = new EntryWriter().key(key).toByteArray();
        return new HashedEntry(hashing.hash(bytes, 0, bytes.length), bytes, 0, bytes.length, bytes.length);
    }

    int length() {
        return to - from;
    }

    boolean hasSameKeyAs(HashedEntry other) {
        return Arrays.equals(bytes, from, keyEnd, other.bytes, other.from, other.keyEnd);
    }

    @Override
    public int compareTo(HashedEntry other) {
        int order = hash.compareTo(other.hash);
        if (order != 0) {
            return order;
        }
        return Arrays.compareUnsigned(bytes, from, keyEnd, other.bytes, other.from, other.keyEnd);
    }
}
