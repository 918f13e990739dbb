package tallyweir.durable;

/**
 * One part of the store with keys of its own.
 *
 * @param name 1 to 64 printable letters
 * @param boundBytes the most that live records (29 bytes, key and value each) may take, 1 or more
 * @param dropOldest at the bound the oldest records go; else what would pass it is refused
 */
public record Namespace(String name, long boundBytes, boolean dropOldest) {
    /** The most namespaces of a store. */
    public static final int MOST = 1_000;

    public Namespace {
        if (name == null || !name.matches("[!-~]{1,64}")) {
            throw new IllegalArgumentException("namespace '" + name + "': 1 to 64 letters without spaces are needed");
        }
        if (boundBytes < 1) {
            throw new IllegalArgumentException("namespace " + name + ": a bound of " + boundBytes + " bytes");
        }
    }
}
