package tallyweir.ids;

/** The account whose quota a query counts against. */
public record TenantId(String value) {}
