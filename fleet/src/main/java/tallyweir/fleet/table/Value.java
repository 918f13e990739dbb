package tallyweir.fleet.table;

/** The value of an entry. Every constructor throws {@link tallyweir.fleet.Fault.EntryFaulty} for a value out of range. */
public sealed interface Value {
    /** The relative weight by which calls are distributed over the stores: 1 to 1,000. */
    record Weight(int weight) implements Value {
        public Weight {
            Limits.checkRange("weight", weight, Limits.MIN_WEIGHT, Limits.MAX_WEIGHT);
        }
    }

    /** A network address: a numeric host and a port. */
    record Address(String host, int port) implements Value {
        public Address {
            Limits.checkText("host", host, Limits.MAX_HOST_BYTES);
            Limits.checkRange("port", port, Limits.MIN_PORT, Limits.MAX_PORT);
        }
    }

    /** The maximum number of simultaneous connections: 0 to 2^24. */
    record Cap(int connections) implements Value {
        public Cap {
            Limits.checkRange("cap", connections, 0, Limits.MAX_CONNECTIONS);
        }
    }

    /** The empty value of a kind for which only the presence of the entry matters. */
    record Present() implements Value {}
}
