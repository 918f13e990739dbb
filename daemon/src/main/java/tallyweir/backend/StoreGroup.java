package tallyweir.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An immutable group of stores among which one is drawn by weight; a draw costs a binary search. */
final class StoreGroup {
    static final StoreGroup EMPTY = new StoreGroup(List.of());

    private final InetSocketAddress[] addresses;
    private final int[] upTo; // the sum of the weights of a store and of all before it

    StoreGroup(Collection<WeightedStore> stores) {
        addresses = new InetSocketAddress[stores.size()];
        upTo = new int[stores.size()];
        int sum = 0;
        int at = 0;
        for (WeightedStore store : stores) {
            sum = Math.addExact(sum, store.weight());
            addresses[at] = store.address();
            upTo[at] = sum;
            at++;
        }
    }

    int size() {
        return addresses.length;
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
        return addresses[found >= 0 ? found : -found - 1];
    }

    /** All stores, in the order of their places. */
    List<WeightedStore> stores() {
        List<WeightedStore> all = new ArrayList<>();
        int before = 0;
        for (int i = 0; i < addresses.length; i++) {
            all.add(new WeightedStore(addresses[i], upTo[i] - before));
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
            boolean goes = toRemove.containsKey(store);
            if (goes) {
                toRemove.computeIfPresent(store, (s, count) -> count > 1 ? count - 1 : null);
            } else {
                next.add(store);
            }
        }
        next.addAll(added);
        return new StoreGroup(next);
    }
}
