package tallyweir.ids;

/** The name of a kind of query. */
public record WorkloadId(String value) {}
