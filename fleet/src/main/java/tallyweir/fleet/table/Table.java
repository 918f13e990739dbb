package tallyweir.fleet.table;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import tallyweir.fleet.Digest;

/** An immutable set of entries, one a key. */
public final class Table {
    public static final Table EMPTY = new Table(new TreeMap<>());

    private final TreeMap<Key, Value> entries;

    private Table(TreeMap<Key, Value> entries) {
        this.entries = entries;
    }

    /** How many entries it has. */
    public int size() {
        return entries.size();
    }

    /** Names the whole: equal for equal entries, whatever way they came in. */
    public Digest root() {
        return Digest.of(entries.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** What the entry of a key says. */
    public Optional<Value> get(Key key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** The table with each of these changes made; what they say of before is not looked at. */
    public Table apply(Collection<Change> changes) {
        TreeMap<Key, Value> next = new TreeMap<>(entries);
        for (Change change : changes) {
            if (change.after().isPresent()) {
                next.put(change.key(), change.after().get());
            } else {
                next.remove(change.key());
            }
        }
        return new Table(next);
    }

    /** Every entry, in an order that is the same for equal tables. */
    public void forEach(Consumer<Entry> to) {
        entries.forEach((key, value) -> to.accept(new Entry(key, value)));
    }

    /** The entries that differ, from this table to another; costs as many steps as there are of them. */
    public List<Change> differenceTo(Table other) {
        TreeSet<Key> keys = new TreeSet<>(entries.keySet());
        keys.addAll(other.entries.keySet());
        List<Change> all = new ArrayList<>();
        for (Key key : keys) {
            if (!get(key).equals(other.get(key))) {
                all.add(new Change(key, get(key), other.get(key)));
            }
        }
        return all;
    }
}
