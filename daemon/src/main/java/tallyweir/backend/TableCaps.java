package tallyweir.backend;

import java.nio.charset.StandardCharsets;
import tallyweir.fleet.Caps;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;

/** The caps that a revision's table has, found by their keys. */
record TableCaps(Table table) implements Caps {
    private static final int UNCAPPED = -1;

    @Override
    public int of(TenantId tenant) {
        if (tenant.value().getBytes(StandardCharsets.UTF_8).length > Key.NAME_BYTES_MOST) {
            return UNCAPPED; // callers choose the name, and no entry has one as long
        }
        return table.get(new Key(Kind.CAP, tenant.value()))
                .map(value -> ((Value.Cap) value).connections())
                .orElse(UNCAPPED);
    }
}
