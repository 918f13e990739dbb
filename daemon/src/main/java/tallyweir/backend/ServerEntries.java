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
 * The entries of a revision that concern one server, apart from its routes and caps.
 *
 * @param table the table of the revision
 * @param kernel address of the server's kernel, null for the one in its configuration
 * @param announce address of the announce service, null for the one in its configuration
 * @param withdrawn whether the server is withdrawn: it defers new queries and is no longer announced
 */
record ServerEntries(Table table, InetSocketAddress kernel, InetSocketAddress announce, boolean withdrawn) {
    /** The entries without any revision. */
    static final ServerEntries NONE = new ServerEntries(Table.EMPTY, null, null, false);

    /** Looks up the entries of the named server by key, which does not grow with the size of the table. */
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

    /** Whether the addresses of the kernel and of the announce service are the same as in other entries. */
    boolean sameAddresses(ServerEntries other) {
        return Objects.equals(kernel, other.kernel) && Objects.equals(announce, other.announce);
    }
}
