package tallyweir.config;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.ids.WorkloadId;

/**
 * The name of a store's entry in a revision: its address and the workloads it serves. Its text form is {@code host:port}
 * for a store of all workloads and {@code host:port first,second} otherwise.
 *
 * @param workloads sorted and without duplicates, empty for all workloads
 */
public record StoreName(InetSocketAddress address, List<WorkloadId> workloads) {
    private static final String ADDRESS_SEPARATOR = " ";
    private static final String WORKLOAD_SEPARATOR = ",";

    /**
     * The entries of a store. There is one, unless the names of its workloads do not fit into one key: they are then split
     * over several entries, always in the same way for the same workloads.
     */
    public static List<StoreName> of(InetSocketAddress address, Collection<String> workloads) {
        String host = addressText(address);
        List<StoreName> names = new ArrayList<>();
        List<WorkloadId> group = new ArrayList<>();
        int bytes = host.length();
        for (String workload : new TreeSet<>(workloads)) {
            int addedBytes = WORKLOAD_SEPARATOR.length() + workload.getBytes(StandardCharsets.UTF_8).length;
            if (!group.isEmpty() && bytes + addedBytes > Key.MAX_NAME_BYTES) {
                names.add(new StoreName(address, List.copyOf(group)));
                group.clear();
                bytes = host.length();
            }
            group.add(new WorkloadId(workload));
            bytes += addedBytes;
        }
        names.add(new StoreName(address, List.copyOf(group)));
        return names;
    }

    /**
     * Parses the name of an entry.
     *
     * @param key the key of the file that holds the name, for error messages
     * @throws InvalidSettingException if the address or a workload is invalid
     */
    public static List<StoreName> parse(String key, String name) {
        int blank = name.indexOf(ADDRESS_SEPARATOR);
        if (blank < 0) {
            return of(Config.parseAddress(key, name), List.of());
        }
        List<String> workloads = List.of(name.substring(blank + 1).split(WORKLOAD_SEPARATOR, -1));
        workloads.forEach(workload -> checkWorkload(key, workload));
        return of(Config.parseAddress(key, name.substring(0, blank)), workloads);
    }

    /** Parses the name of an entry of a table, where each name fits into one key. */
    public static StoreName of(Key key) {
        return parse(key.name(), key.name()).get(0);
    }

    /** Refuses workload names that would be ambiguous within the name of an entry. */
    static void checkWorkload(String key, String workload) {
        if (workload.isEmpty() || !workload.matches("[^\\s\\p{Cntrl},]+")) {
            throw new InvalidSettingException(key + " names the workload '" + workload
                    + "': it must not be empty or contain blanks, commas or control characters");
        }
    }

    /** The key of this entry in the table. */
    public Key key() {
        StringBuilder name = new StringBuilder(addressText(address));
        String separator = ADDRESS_SEPARATOR;
        for (WorkloadId workload : workloads) {
            name.append(separator).append(workload.value());
            separator = WORKLOAD_SEPARATOR;
        }
        return new Key(Kind.STORE, name.toString());
    }

    private static String addressText(InetSocketAddress address) {
        return hostText(address.getAddress()) + ":" + address.getPort();
    }

    /** The numeric form of an address that entries use, an IPv6 address in brackets. */
    static String hostText(InetAddress address) {
        String numeric = address.getHostAddress();
        return address instanceof Inet6Address ? "[" + numeric + "]" : numeric;
    }
}
