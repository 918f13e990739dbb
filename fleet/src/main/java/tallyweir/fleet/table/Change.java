package tallyweir.fleet.table;

import java.util.Optional;

/**
 * A change of one entry: an addition, a replacement or a removal.
 *
 * @param before the old value, empty if the entry did not exist
 * @param after the new value, empty to remove the entry
 */
public record Change(Key key, Optional<Value> before, Optional<Value> after) {
    /** Throws {@link tallyweir.fleet.Fault.EntryFaulty} if the type of a value does not match the kind of the key. */
    public Change {
        if (before.isPresent()) {
            Limits.checkValueType(key, before.get());
        }
        if (after.isPresent()) {
            Limits.checkValueType(key, after.get());
        }
    }

    /** The change that reverts this one. */
    public Change inverse() {
        return new Change(key, after, before);
    }
}
