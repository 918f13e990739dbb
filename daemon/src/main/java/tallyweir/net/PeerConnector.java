package tallyweir.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import org.apache.mina.core.polling.AbstractPollingIoConnector;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.TransportMetadata;
import org.apache.mina.transport.socket.DefaultSocketSessionConfig;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Opens links to the peers. Unlike MINA's own connector it retries a failed select after a millisecond and counts
 * failures.
 */
final class PeerConnector extends AbstractPollingIoConnector<NioSession, SocketChannel> {
    private final SocketFailures failures;
    private volatile Selector selector;

    PeerConnector(IoProcessor<NioSession> processor, SocketFailures failures) {
        super(new DefaultSocketSessionConfig(), processor);
        this.failures = failures;
    }

    @Override
    protected void init() throws IOException {
        selector = Selector.open();
    }

    @Override
    protected void destroy() throws IOException {
        if (selector != null) {
            selector.close();
        }
    }

    @Override
    public TransportMetadata getTransportMetadata() {
        return SocketSession.METADATA;
    }

    @Override
    public SocketSessionConfig getSessionConfig() {
        return (SocketSessionConfig) sessionConfig;
    }

    @Override
    public InetSocketAddress getDefaultRemoteAddress() {
        return (InetSocketAddress) super.getDefaultRemoteAddress();
    }

    @Override
    protected SocketChannel newHandle(SocketAddress local) throws IOException {
        try {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            return channel;
        } catch (IOException e) {
            failures.add(SocketFailures.Call.SOCKET, e);
            throw e;
        }
    }

    @Override
    protected boolean connect(SocketChannel channel, SocketAddress remote) throws IOException {
        try {
            return channel.connect(remote);
        } catch (IOException e) {
            failures.add(SocketFailures.Call.CONNECT, e);
            throw e;
        }
    }

    @Override
    protected boolean finishConnect(SocketChannel channel) throws IOException {
        if (!channel.finishConnect()) {
            return false;
        }
        SelectionKey key = channel.keyFor(selector);
        if (key != null) {
            key.cancel();
        }
        return true;
    }

    @Override
    protected NioSession newSession(IoProcessor<NioSession> processor, SocketChannel channel) throws IOException {
        return new SocketSession(processor, this, channel);
    }

    @Override
    protected void close(SocketChannel channel) throws IOException {
        SelectionKey key = channel.keyFor(selector);
        if (key != null) {
            key.cancel();
        }
        channel.close();
    }

    @Override
    protected void wakeup() {
        selector.wakeup();
    }

    @Override
    protected int select(int timeout) {
        while (true) {
            try {
                return selector.select(timeout);
            } catch (IOException e) {
                failures.add(SocketFailures.Call.SELECT, e);
                SocketFailures.pause();
            }
        }
    }

    @Override
    protected void register(SocketChannel channel, ConnectionRequest request) throws IOException {
        channel.register(selector, SelectionKey.OP_CONNECT, request);
    }

    @Override
    protected ConnectionRequest getConnectionRequest(SocketChannel channel) {
        SelectionKey key = channel.keyFor(selector);
        return key != null && key.isValid() ? request(key) : null;
    }

    @SuppressWarnings("unchecked") // register is the only method that attaches an object
    private ConnectionRequest request(SelectionKey key) {
        return (ConnectionRequest) key.attachment();
    }

    @Override
    protected Iterator<SocketChannel> allHandles() {
        return channels(selector.keys()).iterator();
    }

    /** The channels that are ready. Clears the selected keys, so that each is returned once. */
    @Override
    protected Iterator<SocketChannel> selectedHandles() {
        List<SocketChannel> ready = channels(selector.selectedKeys());
        selector.selectedKeys().clear();
        return ready.iterator();
    }

    private static List<SocketChannel> channels(Collection<SelectionKey> keys) {
        List<SocketChannel> channels = new ArrayList<>();
        keys.forEach(key -> channels.add((SocketChannel) key.channel()));
        return channels;
    }
}
