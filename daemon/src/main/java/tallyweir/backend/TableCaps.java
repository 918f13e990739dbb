package tallyweir.backend;

import tallyweir.fleet.Caps;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;

/** The connection caps of tenants in a revision's table, looked up by key. */
public record TableCaps(Table table) implements Caps {
    private static final int UNCAPPED = -1;

    @Override
    public int of(TenantId tenant) {
        Key key;
        try {
            key = new Key(Kind.CAP, tenant.value());
        } catch (FleetException e) {
            return UNCAPPED; // callers choose the tenant name, and no entry can have one that is not a valid key
        }
        return table.get(key).map(value -> ((Value.Cap) value).connections()).orElse(UNCAPPED);
    }
}
