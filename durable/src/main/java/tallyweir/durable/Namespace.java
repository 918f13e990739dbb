package tallyweir.durable;

/**
 * A separate key space within the store.
 *
 * @param name 1 to 64 printable ASCII characters without spaces
 * @param maxBytes the maximum size of live records (29 bytes, key and value each), at least 1
 * @param dropOldest whether the oldest records are removed at the bound; otherwise writes beyond it are refused
 */
public record Namespace(String name, long maxBytes, boolean dropOldest) {
    /** The maximum number of namespaces of a store. */
    public static final int MAX_NAMESPACES = 1_000;

    public Namespace {
        if (name == null || !name.matches("[!-~]{1,64}")) {
            throw new IllegalArgumentException("namespace '" + name + "': 1 to 64 letters without spaces are needed");
        }
        if (maxBytes < 1) {
            throw new IllegalArgumentException("namespace " + name + ": a bound of " + maxBytes + " bytes");
        }
    }
}
