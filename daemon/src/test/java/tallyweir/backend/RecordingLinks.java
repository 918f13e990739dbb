package tallyweir.backend;

import java.net.InetSocketAddress;
import tallyweir.ids.ConnectionId;
import tallyweir.ids.LinkId;

/** Links that send nothing and record the addresses that a revision routes them to. */
final class RecordingLinks implements Links {
    InetSocketAddress kernel;
    InetSocketAddress announce;
    int routeCount;

    @Override
    public void sendToCaller(ConnectionId caller, byte[] bytes) {}

    @Override
    public void halfCloseCaller(ConnectionId caller) {}

    @Override
    public boolean isQuiet(ConnectionId caller) {
        return false;
    }

    @Override
    public boolean halfCloseIfQuiet(ConnectionId caller) {
        return false;
    }

    @Override
    public void closeCaller(ConnectionId caller) {}

    @Override
    public boolean closeStuckCaller() {
        return false;
    }

    @Override
    public void stopListening() {}

    @Override
    public boolean areCallersWaiting() {
        return false;
    }

    @Override
    public void connect(LinkId link, Peer peer, InetSocketAddress at) {}

    @Override
    public void setPeerAddresses(InetSocketAddress kernel, InetSocketAddress announce) {
        this.kernel = kernel;
        this.announce = announce;
        routeCount++;
    }

    @Override
    public void sendToPeer(LinkId link, byte[] bytes) {}

    @Override
    public void closeLink(LinkId link) {}

    @Override
    public void sendReport(byte[] datagram) {}

    @Override
    public void recheckConfig() {}
}
