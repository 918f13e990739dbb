package tallyweir.backend;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Table;
import tallyweir.fleet.table.Value;

/**
 * What a revision says about one server, beside its routes and caps.
 *
 * @param table of the revision
 * @param kernel of the server, null for the one that it was configured with
 * @param announce the announce service, null for the one that it was configured with
 * @param standsBack whether the server is to turn new queries away and be announced no more
 */
record ServerEntries(Table table, InetSocketAddress kernel, InetSocketAddress announce, boolean standsBack) {
    /** Under no revision. */
    static final ServerEntries NONE = new ServerEntries(Table.EMPTY, null, null, false);

    /** Those of the server of this name; found by their keys, however large the table is. */
    static ServerEntries of(Table table, String server) {
        return new ServerEntries(
                table,
                address(table, new Key(Kind.KERNEL, server)),
                address(table, new Key(Kind.ANNOUNCE, "")),
                table.get(new Key(Kind.STAND_BACK, server)).isPresent());
    }

    private static InetSocketAddress address(Table table, Key key) {
        return table.get(key).map(value -> address((Value.Address) value)).orElse(null);
    }

    private static InetSocketAddress address(Value.Address address) {
        try {
            return new InetSocketAddress(InetAddress.getByName(address.host()), address.port());
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address of numbers: " + address.host(), e);
        }
    }

    /** Whether kernel and announce service are reached where the others say. */
    boolean sameAddresses(ServerEntries other) {
        return Objects.equals(kernel, other.kernel) && Objects.equals(announce, other.announce);
    }
}
