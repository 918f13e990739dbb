package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A subtree of few entries, stored as their concatenated encodings in the order of {@link HashedEntry}. */
final class Leaf extends Node {
    /** The maximum number of entries, except for keys with equal hashes: those share a leaf at the greatest depth. */
    static final int MAX_ENTRIES = 32;

    /** The domain separation byte of a leaf's digest: the first byte that is hashed. */
    static final byte DOMAIN = 0;

    static final Leaf EMPTY = new Leaf(new byte[0], 0);

    private final byte[] bytes;

    private Leaf(byte[] bytes, int count) {
        super(count, Sha256.of(DOMAIN, bytes));
        this.bytes = bytes;
    }

    /** Creates a leaf of sorted entries. */
    static Leaf of(List<HashedEntry> sorted) {
        if (sorted.isEmpty()) {
            return EMPTY;
        }
        int length = 0;
        for (HashedEntry entry : sorted) {
            length += entry.length();
        }
        byte[] bytes = new byte[length];
        int position = 0;
        for (HashedEntry entry : sorted) {
            System.arraycopy(entry.bytes(), entry.from(), bytes, position, entry.length());
            position += entry.length();
        }
        return new Leaf(bytes, sorted.size());
    }

    /** Concatenates leaves that are adjacent and in order. */
    static Leaf concatenate(List<Leaf> leaves) {
        int length = 0;
        int count = 0;
        for (Leaf leaf : leaves) {
            length += leaf.bytes.length;
            count += leaf.count();
        }
        byte[] bytes = new byte[length];
        int position = 0;
        for (Leaf leaf : leaves) {
            System.arraycopy(leaf.bytes, 0, bytes, position, leaf.bytes.length);
            position += leaf.bytes.length;
        }
        return count == 0 ? EMPTY : new Leaf(bytes, count);
    }

    /** The encoded entries; the leaf's own array, which callers must not modify. */
    byte[] bytes() {
        return bytes;
    }

    /** The entries with the hashes of their keys; the hashes are not stored and are computed on every call. */
    List<HashedEntry> entries(KeyHashing hashing) {
        List<HashedEntry> entries = new ArrayList<>(count());
        EntryReader reader = new EntryReader(bytes);
        while (!reader.atEnd()) {
            int from = reader.position();
            Kind kind = reader.skipKey();
            int keyEnd = reader.position();
            reader.skipValue(kind);
            entries.add(new HashedEntry(hashing.hash(bytes, from, keyEnd), bytes, from, keyEnd, reader.position()));
        }
        return entries;
    }

    /** Returns the value of an encoded key, or empty if the leaf has no such entry. */
    Optional<Value> get(byte[] key) {
        EntryReader reader = new EntryReader(bytes);
        while (!reader.atEnd()) {
            int from = reader.position();
            Kind kind = reader.skipKey();
            if (Arrays.equals(bytes, from, reader.position(), key, 0, key.length)) {
                return Optional.of(reader.value(kind));
            }
            reader.skipValue(kind);
        }
        return Optional.empty();
    }

    /** Decodes every entry, in order. */
    void forEachEntry(Consumer<Entry> consumer) {
        EntryReader reader = new EntryReader(bytes);
        while (!reader.atEnd()) {
            consumer.accept(reader.entry());
        }
    }

    @Override
    Leaf child(int digit, int depth, KeyHashing hashing) {
        List<HashedEntry> selected = new ArrayList<>();
        for (HashedEntry entry : entries(hashing)) {
            if (entry.hash().digit(depth) == digit) {
                selected.add(entry);
            }
        }
        return of(selected);
    }

    @Override
    void forEachLeaf(Consumer<Leaf> consumer) {
        consumer.accept(this);
    }
}
