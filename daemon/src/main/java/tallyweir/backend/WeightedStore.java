package tallyweir.backend;

import java.net.InetSocketAddress;

/**
 * A store of a group.
 *
 * @param weight its share of the calls, relative to the weights of the other stores
 */
record WeightedStore(InetSocketAddress address, int weight) {}
