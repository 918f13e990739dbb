package tallyweir.backend;

import java.net.InetSocketAddress;

/** A store, and the share of calls that it gets beside others. */
record WeightedStore(InetSocketAddress address, int weight) {}
