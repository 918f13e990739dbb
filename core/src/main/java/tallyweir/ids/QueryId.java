package tallyweir.ids;

/** The number of a query in this server; never reused. */
public record QueryId(long value) {}
