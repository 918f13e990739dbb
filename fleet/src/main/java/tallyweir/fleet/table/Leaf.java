package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A few entries, encoded one after the other in the order of {@link HashedEntry}. */
final class Leaf extends Node {
    /** More entries make a branch, unless the key hashes have no further digit. */
    static final int ENTRIES_MOST = 32;

    /** The first byte of what is hashed for its digest. */
    static final byte DOMAIN = 0;

    static final Leaf EMPTY = new Leaf(new byte[0], 0);

    private final byte[] bytes;

    private Leaf(byte[] bytes, int count) {
        super(count, Sha256.of(DOMAIN, bytes));
        this.bytes = bytes;
    }

    /** A leaf of entries that are in order. */
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

    /** One leaf of the entries of leaves that follow each other. */
    static Leaf joined(List<Leaf> leaves) {
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

    /** Its encoded entries; not a copy. */
    byte[] bytes() {
        return bytes;
    }

    /** Its entries with their key hashes, which are computed anew. */
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

    /** The value of the entry that has this encoded key. */
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

    /** Decodes every entry. */
    void decode(Consumer<Entry> to) {
        EntryReader reader = new EntryReader(bytes);
        while (!reader.atEnd()) {
            to.accept(reader.entry());
        }
    }

    @Override
    Leaf child(int digit, int depth, KeyHashing hashing) {
        List<HashedEntry> below = new ArrayList<>();
        for (HashedEntry entry : entries(hashing)) {
            if (entry.hash().digit(depth) == digit) {
                below.add(entry);
            }
        }
        return of(below);
    }

    @Override
    void forEachLeaf(Consumer<Leaf> to) {
        to.accept(this);
    }
}
