package tallyweir.backend;

import java.net.InetSocketAddress;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;

/** Links that send nothing and record the addresses that a revision routes them to. */
final class IdleLinks implements Links {
    InetSocketAddress kernel;
    InetSocketAddress announce;
    int routed;

    @Override
    public void toCaller(ConnectionId caller, byte[] bytes) {}

    @Override
    public void endCaller(ConnectionId caller) {}

    @Override
    public boolean endQuiet(ConnectionId caller) {
        return false;
    }

    @Override
    public void dropCaller(ConnectionId caller) {}

    @Override
    public boolean dropStuck() {
        return false;
    }

    @Override
    public void stopListening() {}

    @Override
    public boolean callersWait() {
        return false;
    }

    @Override
    public void connect(LinkId link, Peer peer, InetSocketAddress at) {}

    @Override
    public void route(InetSocketAddress kernel, InetSocketAddress announce) {
        this.kernel = kernel;
        this.announce = announce;
        routed++;
    }

    @Override
    public void to(LinkId link, byte[] bytes) {}

    @Override
    public void drop(LinkId link) {}

    @Override
    public void report(byte[] datagram) {}

    @Override
    public void lookAgain() {}
}
