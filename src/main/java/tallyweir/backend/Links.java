package tallyweir.backend;

import tallyweir.ids.ConnectionId;

/** What the core asks of the sockets. None of these calls back before it returns. */
public interface Links {
    void toCaller(ConnectionId caller, byte[] bytes);

    /** Closes a caller's connection, what was written before going out first; closed is told as for any end. */
    void closeCaller(ConnectionId caller);

    /** Opens a link anew; up or down is told later. One before it is dropped untold. */
    void connect(Peer peer);

    void to(Peer peer, byte[] bytes);

    /** Drops a link; nothing more is told of it. */
    void drop(Peer peer);

    void report(byte[] datagram);
}
