package tallyweir.fleet.table;

/** One key with its value in a {@link Table}. */
public record Entry(Key key, Value value) {
    /** Throws {@link tallyweir.fleet.Fault.EntryFaulty} if the value's type does not match the kind of the key. */
    public Entry {
        Limits.checkValueType(key, value);
    }
}
