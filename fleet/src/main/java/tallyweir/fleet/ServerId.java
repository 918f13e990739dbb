package tallyweir.fleet;

/** The name of a server; it stays the same across restarts. */
public record ServerId(String value) implements Comparable<ServerId> {
    @Override
    public int compareTo(ServerId o) {
        return value.compareTo(o.value);
    }
}
