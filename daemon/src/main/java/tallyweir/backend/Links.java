package tallyweir.backend;

import java.net.InetSocketAddress;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;

/** What the core asks of the sockets. None of these calls back before it returns. */
public interface Links {
    void toCaller(ConnectionId caller, byte[] bytes);

    /** Closes a caller's connection, what was written before going out first; closed is told as for any end. */
    void closeCaller(ConnectionId caller);

    /** Opens a link to a peer, where it is now if no address is given; up or down is told later. */
    void connect(LinkId link, Peer peer, InetSocketAddress at);

    /** By a revision of the fleet the kernel and the announce service are elsewhere; null for where they were configured. */
    void route(InetSocketAddress kernel, InetSocketAddress announce);

    void to(LinkId link, byte[] bytes);

    /** Drops a link, also one that is opening; nothing more is told of it. */
    void drop(LinkId link);

    void report(byte[] datagram);

    /** Peers may be elsewhere: has the configuration looked at again, and moved is told if that is so. */
    void lookAgain();
}
