package tallyweir.backend;

import java.net.InetSocketAddress;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;

/**
 * What the backend requires of the sockets. Called on the backend's thread. No method calls back into the backend before
 * it returns.
 */
public interface Links {
    /** Queues bytes for a caller. */
    void sendToCaller(ConnectionId caller, byte[] bytes);

    /**
     * Half-closes a caller's connection once all queued bytes have been written. Bytes that still arrive are read and
     * discarded. {@link Backend#closed} is called as for any other connection.
     */
    void halfCloseCaller(ConnectionId caller);

    /** Whether no bytes of the caller are unread, here or in the socket, and none for it are unwritten. */
    boolean isQuiet(ConnectionId caller);

    /** Half-closes a caller's connection at once, but only if it is quiet. Returns whether it did. */
    boolean halfCloseIfQuiet(ConnectionId caller);

    /** Closes a caller's connection at once. */
    void closeCaller(ConnectionId caller);

    /**
     * Closes the connection of the caller that has read nothing of its answers for the longest time, if that time is
     * long enough. Returns whether it closed one.
     */
    boolean closeStuckCaller();

    /**
     * Closes the listener. Callers that try to connect are refused, which proves to them that nothing of their queries
     * ran. {@link Backend#listenerClosed} is called once it is closed.
     */
    void stopListening();

    /** Whether callers may be waiting to be accepted because no descriptor is left. */
    boolean areCallersWaiting();

    /**
     * Opens a link to a peer. {@link Backend#linkUp} or {@link Backend#linkDown} is called later.
     *
     * @param at address to connect to, null for the peer's present address
     */
    void connect(LinkId link, Peer peer, InetSocketAddress at);

    /** Sets the addresses that a revision of the fleet gives to these peers; null for the configured address. */
    void setPeerAddresses(InetSocketAddress kernel, InetSocketAddress announce);

    /** Queues bytes on a link. */
    void sendToPeer(LinkId link, byte[] bytes);

    /** Closes a link, also one that is still opening; nothing more is reported about it. */
    void closeLink(LinkId link);

    /** Sends a datagram to the announce service. */
    void sendReport(byte[] datagram);

    /** Reads the configuration again, in case peers have moved; {@link Backend#addressesChanged} is called if so. */
    void recheckConfig();
}
