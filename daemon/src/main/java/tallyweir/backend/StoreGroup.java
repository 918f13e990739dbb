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
 * An immutable group of stores, from which one is picked at random by weight with a binary search. A server can have tens of
 * thousands of stores, so addresses are stored as bytes in arrays.
 */
final class StoreGroup {
    static final StoreGroup EMPTY = new StoreGroup(List.of());

    private static final int IPV4_BYTES = 4;
    private static final int IPV6_BYTES = 16;
    private static final int IPV4_MAPPED_BYTE = 0xff; // in IPv4-mapped IPv6: twice before the address, after zeros

    private final int hostBytes; // per address
    private final byte[] hosts;
    private final char[] ports;
    private final int[] cumulativeWeights; // the weight of each store plus those of all stores before it

    StoreGroup(Collection<WeightedStore> stores) {
        boolean ipv4 = stores.stream().allMatch(store -> hostOf(store).length == IPV4_BYTES);
        hostBytes = ipv4 ? IPV4_BYTES : IPV6_BYTES;
        hosts = new byte[stores.size() * hostBytes];
        ports = new char[stores.size()];
        cumulativeWeights = new int[stores.size()];
        int sum = 0;
        int index = 0;
        for (WeightedStore store : stores) {
            sum = Math.addExact(sum, store.weight());
            putHost(hostOf(store), index);
            ports[index] = (char) store.address().getPort();
            cumulativeWeights[index] = sum;
            index++;
        }
    }

    private static byte[] hostOf(WeightedStore store) {
        return store.address().getAddress().getAddress();
    }

    private void putHost(byte[] host, int index) {
        int end = (index + 1) * hostBytes;
        System.arraycopy(host, 0, hosts, end - host.length, host.length);
        if (host.length < hostBytes) {
            Arrays.fill(hosts, end - host.length - 2, end - host.length, (byte) IPV4_MAPPED_BYTE);
        }
    }

    int size() {
        return ports.length;
    }

    /** The sum of all weights. */
    int totalWeight() {
        return cumulativeWeights.length == 0 ? 0 : cumulativeWeights[cumulativeWeights.length - 1];
    }

    /**
     * Returns the store at a position in the range of all weights, in which each store occupies as many positions as its weight.
     *
     * @param position from 0 to less than the sum of all weights
     */
    InetSocketAddress storeAt(int position) {
        int found = Arrays.binarySearch(cumulativeWeights, position + 1);
        return address(found >= 0 ? found : -found - 1);
    }

    private InetSocketAddress address(int index) {
        byte[] host = Arrays.copyOfRange(hosts, index * hostBytes, (index + 1) * hostBytes);
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), ports[index]);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("addresses have 4 or 16 bytes", e);
        }
    }

    /** All stores, in the order of their positions. */
    List<WeightedStore> stores() {
        List<WeightedStore> all = new ArrayList<>();
        int before = 0;
        for (int i = 0; i < size(); i++) {
            all.add(new WeightedStore(address(i), cumulativeWeights[i] - before));
            before = cumulativeWeights[i];
        }
        return all;
    }

    /** Returns a group with some stores removed, one occurrence for each element, and others added at the end. */
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
