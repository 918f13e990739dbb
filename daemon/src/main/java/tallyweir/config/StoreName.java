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
 * The name of a store's entry in a revision: its address and the workloads that it serves. As text it is {@code host:port}
 * for a store of all workloads, {@code host:port first,second} otherwise.
 *
 * @param workloads sorted and each once, empty for all
 */
public record StoreName(InetSocketAddress address, List<WorkloadId> workloads) {
    private static final String BEFORE_WORKLOADS = " ";
    private static final String BETWEEN_WORKLOADS = ",";

    /**
     * The entries of a store. There is one, but for a store of so many workloads that their names do not fit into one key:
     * they are spread over several entries then, always in the same way.
     */
    public static List<StoreName> of(InetSocketAddress address, Collection<String> workloads) {
        String host = text(address);
        List<StoreName> names = new ArrayList<>();
        List<WorkloadId> group = new ArrayList<>();
        int bytes = host.length();
        for (String workload : new TreeSet<>(workloads)) {
            int more = BETWEEN_WORKLOADS.length() + workload.getBytes(StandardCharsets.UTF_8).length;
            if (!group.isEmpty() && bytes + more > Key.NAME_BYTES_MOST) {
                names.add(new StoreName(address, List.copyOf(group)));
                group.clear();
                bytes = host.length();
            }
            group.add(new WorkloadId(workload));
            bytes += more;
        }
        names.add(new StoreName(address, List.copyOf(group)));
        return names;
    }

    /** Reads the name of an entry; faults name the key that is given. */
    public static List<StoreName> parse(String key, String name) {
        int blank = name.indexOf(BEFORE_WORKLOADS);
        if (blank < 0) {
            return of(Config.address(key, name), List.of());
        }
        List<String> workloads = List.of(name.substring(blank + 1).split(BETWEEN_WORKLOADS, -1));
        workloads.forEach(workload -> checkWorkload(key, workload));
        return of(Config.address(key, name.substring(0, blank)), workloads);
    }

    /** Reads the name of an entry that is in a table, where only whole names stand. */
    public static StoreName of(Key key) {
        return parse(key.name(), key.name()).get(0);
    }

    /** Turns down names that could not be told apart in the name of an entry. */
    static void checkWorkload(String key, String workload) {
        if (workload.isEmpty() || !workload.matches("[^\\s\\p{Cntrl},]+")) {
            throw new BadSetting(key + " names the workload '" + workload + "': no blanks, commas or empty names");
        }
    }

    /** The key of its entry. */
    public Key key() {
        StringBuilder name = new StringBuilder(text(address));
        String separator = BEFORE_WORKLOADS;
        for (WorkloadId workload : workloads) {
            name.append(separator).append(workload.value());
            separator = BETWEEN_WORKLOADS;
        }
        return new Key(Kind.STORE, name.toString());
    }

    private static String text(InetSocketAddress address) {
        return host(address.getAddress()) + ":" + address.getPort();
    }

    /** An address of numbers as it stands in entries. */
    static String host(InetAddress address) {
        String numbers = address.getHostAddress();
        return address instanceof Inet6Address ? "[" + numbers + "]" : numbers;
    }
}
