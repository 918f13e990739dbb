package tallyweir.fleet.table;

/**
 * An entry that is to be put into a tree, or taken out of it.
 *
 * @param entry only its key where it is taken out
 */
record HashedChange(HashedEntry entry, boolean puts) implements Comparable<HashedChange> {
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
