package tallyweir.fleet.table;

/** One entry of a table. */
public record Entry(Key key, Value value) {
    /** Throws {@link tallyweir.fleet.Fault.EntryFaulty} if the value is not one for this kind of key. */
    public Entry {
        Limits.valueFits(key, value);
    }
}
