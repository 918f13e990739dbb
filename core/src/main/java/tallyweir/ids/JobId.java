package tallyweir.ids;

/** The name under which the kernel and the store know a query. */
public record JobId(String value) {}
