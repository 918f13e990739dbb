package tallyweir.fleet;

/** The name of a server, the same after a restart. */
public record ServerId(String value) implements Comparable<ServerId> {
    @Override
    public int compareTo(ServerId o) {
        return value.compareTo(o.value);
    }
}
