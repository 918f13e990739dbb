package tallyweir.fleet.table;

/** What an entry says, by its kind. Each throws {@link tallyweir.fleet.Fault.EntryFaulty} if it is out of range. */
public sealed interface Value {
    /** The share of calls that a store gets beside others: 1 to 1,000. */
    record Weight(int weight) implements Value {
        public Weight {
            Limits.range("weight", weight, Limits.WEIGHT_LEAST, Limits.WEIGHT_MOST);
        }
    }

    /** Where something is reached: a numeric host and a port. */
    record Address(String host, int port) implements Value {
        public Address {
            Limits.text("host", host, Limits.HOST_BYTES_MOST);
            Limits.range("port", port, Limits.PORT_LEAST, Limits.PORT_MOST);
        }
    }

    /** The most connections at once: 0 to 2^24. */
    record Cap(int connections) implements Value {
        public Cap {
            Limits.range("cap", connections, 0, Limits.CONNECTIONS_MOST);
        }
    }

    /** That the entry is there says it all. */
    record Present() implements Value {}
}
