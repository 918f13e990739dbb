package tallyweir.fleet.table;

import java.util.Optional;

/**
 * One entry that differs between two tables.
 *
 * @param before what it said, empty where there was none
 * @param after what it is to say, empty where there is to be none
 */
public record Change(Key key, Optional<Value> before, Optional<Value> after) {
    /** The change that takes this one back. */
    public Change inverse() {
        return new Change(key, after, before);
    }
}
