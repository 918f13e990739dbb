package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Value;
import tallyweir.ids.TenantId;

/** The entries of a fleet's first revision, and changes of single caps. */
final class RevisionEntries {
    private static final int STORE_PORT = 7_000;
    private static final int LEAST_HOT_CAP = 4;
    private static final int SERVERS_A_HOT_CONNECTION = 10;
    private static final int LEAST_CAP = 100;
    private static final int CAPS = 900;
    private static final int WEIGHTS = 10;
    private static final int OCTET = 256;

    private RevisionEntries() {}

    /** The name of a tenant. */
    static String tenantName(int number) {
        return String.format("tenant-%06d", number);
    }

    /** A tenant. */
    static TenantId tenant(int number) {
        return new TenantId(tenantName(number));
    }

    /**
     * The cap of a tenant in the first revision; those of whom many servers have connections want more than theirs.
     */
    static int cap(FleetSize size, int tenant) {
        return tenant < DrawnLoad.HOT_TENANTS
                ? Math.max(LEAST_HOT_CAP, size.servers() / SERVERS_A_HOT_CONNECTION)
                : LEAST_CAP + tenant % CAPS;
    }

    /** All entries of the first revision, as changes of an empty table. */
    static List<Change> first(FleetSize size) {
        List<Change> all = new ArrayList<>();
        for (int route = 0; route < size.routes(); route++) {
            all.add(new Change(
                    new Key(Kind.STORE, address(route)),
                    Optional.empty(),
                    Optional.of(new Value.Weight(1 + route % WEIGHTS))));
        }
        for (int tenant = 0; tenant < size.tenants(); tenant++) {
            all.add(new Change(key(tenant), Optional.empty(), Optional.of(new Value.Cap(cap(size, tenant)))));
        }
        return all;
    }

    /** The change of one tenant's cap. */
    static Change capChange(int tenant, int before, int after) {
        return new Change(key(tenant), Optional.of(new Value.Cap(before)), Optional.of(new Value.Cap(after)));
    }

    private static Key key(int tenant) {
        return new Key(Kind.CAP, tenantName(tenant));
    }

    private static String address(int route) {
        return "10." + route / OCTET / OCTET % OCTET + "." + route / OCTET % OCTET + "." + route % OCTET + ":"
                + STORE_PORT;
    }
}
