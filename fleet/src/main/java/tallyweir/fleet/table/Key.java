package tallyweir.fleet.table;

import java.util.Comparator;

/** The key of an entry: its kind and a name that is unique within the kind. */
public record Key(Kind kind, String name) implements Comparable<Key> {
    /** The maximum length of a name in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 255;

    private static final Comparator<Key> ORDER = Comparator.comparing(Key::kind).thenComparing(Key::name);

    /** Throws {@link tallyweir.fleet.Fault.EntryFaulty} if the name is too long or cannot be encoded in UTF-8. */
    public Key {
        Limits.checkText("name", name, MAX_NAME_BYTES);
    }

    @Override
    public int compareTo(Key other) {
        return ORDER.compare(this, other);
    }
}
