package tallyweir.backend;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable group of stores among which one is drawn by weight; a draw costs a binary search. A server can have tens of
 * thousands of stores, so addresses are kept as their bytes.
 */
final class StoreGroup {
    static final StoreGroup EMPTY = new StoreGroup(List.of());

    private static final int IPV4_BYTES = 4;
    private static final int IPV6_BYTES = 16;
    private static final int IPV4_IN_IPV6 = 0xff; // twice before the address, after zeros

    private final int hostBytes; // of each host
    private final byte[] hosts;
    private final char[] ports;
    private final int[] upTo; // the sum of the weights of a store and of all before it

    StoreGroup(Collection<WeightedStore> stores) {
        boolean ipv4 = stores.stream().allMatch(store -> hostOf(store).length == IPV4_BYTES);
        hostBytes = ipv4 ? IPV4_BYTES : IPV6_BYTES;
        hosts = new byte[stores.size() * hostBytes];
        ports = new char[stores.size()];
        upTo = new int[stores.size()];
        int sum = 0;
        int at = 0;
        for (WeightedStore store : stores) {
            sum = Math.addExact(sum, store.weight());
            putHost(hostOf(store), at);
            ports[at] = (char) store.address().getPort();
            upTo[at] = sum;
            at++;
        }
    }

    private static byte[] hostOf(WeightedStore store) {
        return store.address().getAddress().getAddress();
    }

    private void putHost(byte[] host, int at) {
        int end = (at + 1) * hostBytes;
        System.arraycopy(host, 0, hosts, end - host.length, host.length);
        if (host.length < hostBytes) {
            Arrays.fill(hosts, end - host.length - 2, end - host.length, (byte) IPV4_IN_IPV6);
        }
    }

    int size() {
        return ports.length;
    }

    /** The sum of all weights. */
    int weight() {
        return upTo.length == 0 ? 0 : upTo[upTo.length - 1];
    }

    /**
     * The store at a place on the line on which every store takes as much as its weight.
     *
     * @param place from 0 to less than the sum of all weights
     */
    InetSocketAddress at(int place) {
        int found = Arrays.binarySearch(upTo, place + 1);
        return address(found >= 0 ? found : -found - 1);
    }

    private InetSocketAddress address(int at) {
        byte[] host = Arrays.copyOfRange(hosts, at * hostBytes, (at + 1) * hostBytes);
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), ports[at]);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("addresses have 4 or 16 bytes", e);
        }
    }

    /** All stores, in the order of their places. */
    List<WeightedStore> stores() {
        List<WeightedStore> all = new ArrayList<>();
        int before = 0;
        for (int i = 0; i < size(); i++) {
            all.add(new WeightedStore(address(i), upTo[i] - before));
            before = upTo[i];
        }
        return all;
    }

    /** The group without some of its stores, and with others. */
    StoreGroup with(Collection<WeightedStore> removed, Collection<WeightedStore> added) {
        Map<WeightedStore, Integer> toRemove = new HashMap<>();
        removed.forEach(store -> toRemove.merge(store, 1, Integer::sum));
        List<WeightedStore> next = new ArrayList<>(size() + added.size());
        for (WeightedStore store : stores()) {
            if (toRemove.containsKey(store)) {
                toRemove.computeIfPresent(store, (s, count) -> count > 1 ? count - 1 : null);
            } else {
                next.add(store);
            }
        }
        next.addAll(added);
        return new StoreGroup(next);
    }
}
