package tallyweir.ids;

/** The name by which kernel and store know a query. */
public record JobId(String value) {}
