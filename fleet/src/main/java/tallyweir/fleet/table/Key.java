package tallyweir.fleet.table;

import java.util.Comparator;

/** Names one entry of a table. */
public record Key(Kind kind, String name) implements Comparable<Key> {
    /** Bytes of a name at the most, in UTF-8. */
    public static final int NAME_BYTES_MOST = 255;

    private static final Comparator<Key> ORDER = Comparator.comparing(Key::kind).thenComparing(Key::name);

    @Override
    public int compareTo(Key other) {
        return ORDER.compare(this, other);
    }
}
