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
 * Who a server talks to under a revision.
 *
 * @param table of the revision
 * @param kernel of this server, null for the one that it was configured with
 * @param announce the announce service, null for the one that it was configured with
 */
record Peers(Table table, InetSocketAddress kernel, InetSocketAddress announce) {
    /** Those of the server of this name. */
    static Peers of(Table table, String server) {
        return new Peers(
                table, address(table, new Key(Kind.KERNEL, server)), address(table, new Key(Kind.ANNOUNCE, "")));
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

    /** Whether both are reached where the others are. */
    boolean sameAddresses(Peers other) {
        return Objects.equals(kernel, other.kernel) && Objects.equals(announce, other.announce);
    }
}
