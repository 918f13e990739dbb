package tallyweir.fleet.table;

/**
 * An addition, replacement or removal of an entry in a tree.
 *
 * @param entry the new entry, or only its key for a removal
 * @param isPut whether the entry is added or replaced, not removed
 */
record HashedChange(HashedEntry entry, boolean isPut) implements Comparable<HashedChange> {
    static HashedChange of(Change change, KeyHashing hashing) {
        return change.after()
                .map(value -> new HashedChange(HashedEntry.of(change.key(), value, hashing), true))
                .orElseGet(() -> new HashedChange(HashedEntry.of(change.key(), hashing), false));
    }

    @Override
    public int compareTo(HashedChange other) {
        return entry.compareTo(other.entry);
    }
}
