package tallyweir.tool.scale;

import java.nio.charset.StandardCharsets;

/** Writes revisions as operators do, of any size, that differ in the cap of one tenant. */
final class RevisionText {
    private static final int STORE_PORT = 7_000;
    private static final int LEAST_HOT_CAP = 4;
    private static final int SERVERS_A_HOT_CONNECTION = 10;
    private static final int LEAST_CAP = 100;
    private static final int CAPS = 900;
    private static final int OCTET = 256;

    private RevisionText() {}

    /** The name of a tenant. */
    static String tenant(int number) {
        return String.format("tenant-%06d", number);
    }

    /**
     * The cap of a tenant in every revision that does not change it; those of whom many servers have connections want more than
     * theirs.
     */
    static int cap(FleetSize size, int tenant) {
        return tenant < DrawnLoad.HOT_TENANTS
                ? Math.max(LEAST_HOT_CAP, size.servers() / SERVERS_A_HOT_CONNECTION)
                : LEAST_CAP + tenant % CAPS;
    }

    /** A revision of this size in which one tenant's cap is higher by so much. */
    static byte[] write(FleetSize size, int changedTenant, int more) {
        StringBuilder text = new StringBuilder("{\"stores\":[");
        for (int route = 0; route < size.routes(); route++) {
            text.append(route == 0 ? "" : ",").append("{\"address\":\"").append(address(route));
            text.append("\",\"weight\":").append(1 + route % 10).append('}');
        }
        text.append("],\"caps\":{");
        for (int tenant = 0; tenant < size.tenants(); tenant++) {
            int cap = cap(size, tenant) + (tenant == changedTenant ? more : 0);
            text.append(tenant == 0 ? "" : ",").append('"').append(tenant(tenant));
            text.append("\":").append(cap);
        }
        return text.append("}}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String address(int route) {
        return "10." + route / OCTET / OCTET % OCTET + "." + route / OCTET % OCTET + "." + route % OCTET + ":"
                + STORE_PORT;
    }
}
