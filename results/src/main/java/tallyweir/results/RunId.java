package tallyweir.results;

/** One copy of a query that was read, as long as this process lives. */
public record RunId(long value) {}
