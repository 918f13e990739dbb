package tallyweir.ids;

/** The account that a query is counted for. */
public record TenantId(String value) {}
