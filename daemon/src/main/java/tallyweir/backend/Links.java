package tallyweir.backend;

import java.net.InetSocketAddress;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;

/** What the core asks of the sockets. None of these calls back before it returns. */
public interface Links {
    void toCaller(ConnectionId caller, byte[] bytes);

    /**
     * Ends what is written to a caller, once all before has gone out: a half-close. What still comes is read and led
     * nowhere. Closed is told as for any end.
     */
    void endCaller(ConnectionId caller);

    /** The same at once, only where nothing of the caller lies unread here or in its socket, nor anything for it unwritten. */
    boolean endQuiet(ConnectionId caller);

    /** Closes a caller's connection at once. */
    void dropCaller(ConnectionId caller);

    /** Closes the connection of the caller that has taken nothing of its answers for longest, if it is long. */
    boolean dropStuck();

    /** Nobody is to connect any more: who tries is refused, which proves that nothing of it ran. Told once that is so. */
    void stopListening();

    /** Whether callers may be waiting to be let in, as there is no descriptor for one more. */
    boolean callersWait();

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
