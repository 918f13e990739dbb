package tallyweir.ids;

public record TenantId(String value) {}
