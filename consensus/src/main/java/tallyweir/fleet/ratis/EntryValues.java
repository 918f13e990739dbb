package tallyweir.fleet.ratis;

import java.util.Map;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Value;

/**
 * What entries say.
 *
 * @param revision in which they say so, the one in force
 * @param values of the keys that there are
 */
public record EntryValues(RevisionRoot revision, Map<Key, Value> values) {}
