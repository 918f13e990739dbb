package tallyweir.fleet.table;

/** What an entry says, by its kind. */
public sealed interface Value {
    /** The share of calls that a store gets beside others. */
    record Weight(int weight) implements Value {}

    /** Where something is reached: a numeric host and a port. */
    record Address(String host, int port) implements Value {}

    /** The most connections at once. */
    record Cap(int connections) implements Value {}

    /** That the entry is there says it all. */
    record Present() implements Value {}
}
