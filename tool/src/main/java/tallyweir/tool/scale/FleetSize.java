package tallyweir.tool.scale;

/**
 * How large a fleet is.
 *
 * @param servers that are members of it
 * @param tenants with a cap
 * @param routes entries of the revision's stores
 */
record FleetSize(int servers, int tenants, int routes) {
    /** The size with the shares of servers and tenants given, routes in step with the tenants. */
    FleetSize part(int serversBy, int tenantsBy) {
        return new FleetSize(
                Math.max(1, servers / serversBy), Math.max(1, tenants / tenantsBy), Math.max(0, routes / tenantsBy));
    }
}
