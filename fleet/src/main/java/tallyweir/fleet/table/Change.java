package tallyweir.fleet.table;

import java.util.Optional;

/**
 * One entry that differs between two tables.
 *
 * @param before what it said, empty where there was none
 * @param after what it is to say, empty where there is to be none
 */
public record Change(Key key, Optional<Value> before, Optional<Value> after) {
    /** Throws {@link tallyweir.fleet.Fault.EntryFaulty} if a value is not one for this kind of key. */
    public Change {
        if (before.isPresent()) {
            Limits.valueFits(key, before.get());
        }
        if (after.isPresent()) {
            Limits.valueFits(key, after.get());
        }
    }

    /** The change that takes this one back. */
    public Change inverse() {
        return new Change(key, after, before);
    }
}
