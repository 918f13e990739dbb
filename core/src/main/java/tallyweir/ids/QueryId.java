package tallyweir.ids;

/** The number of a query in this server, never used again. */
public record QueryId(long value) {}
