package tallyweir.fleet.table;

import java.util.Comparator;

/** Names one entry of a table. */
public record Key(Kind kind, String name) implements Comparable<Key> {
    /** Bytes of a name at the most, in UTF-8. */
    public static final int NAME_BYTES_MOST = 255;

    private static final Comparator<Key> ORDER = Comparator.comparing(Key::kind).thenComparing(Key::name);

    /** Throws {@link tallyweir.fleet.Fault.EntryFaulty} if the name is too long or has no UTF-8 encoding. */
    public Key {
        Limits.text("name", name, NAME_BYTES_MOST);
    }

    @Override
    public int compareTo(Key other) {
        return ORDER.compare(this, other);
    }
}
