package tallyweir.fleet.ratis;

import java.util.Map;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Value;

/**
 * Values of entries.
 *
 * @param revision the revision in force, which the values are read from
 * @param values the values by key; keys without an entry are absent
 */
public record EntryValues(RevisionRoot revision, Map<Key, Value> values) {}
