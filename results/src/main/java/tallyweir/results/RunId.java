package tallyweir.results;

/** One copy of a query that was read, and the run it may lead to; unique within this process. */
public record RunId(long value) {}
