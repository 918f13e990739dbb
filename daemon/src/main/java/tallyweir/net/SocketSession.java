package tallyweir.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.DefaultTransportMetadata;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.IoService;
import org.apache.mina.core.service.TransportMetadata;
import org.apache.mina.transport.socket.DefaultSocketSessionConfig;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * A session of one TCP socket. MINA's own class can be created only inside its acceptor and connector, which leave no
 * way to handle errors.
 */
final class SocketSession extends NioSession {
    static final TransportMetadata METADATA = new DefaultTransportMetadata(
            "nio", "socket", false, true, InetSocketAddress.class, SocketSessionConfig.class, IoBuffer.class);

    private final SocketAddress local;
    private final SocketAddress remote;

    /** Copies the settings of the service. Does not close the channel if it throws. */
    SocketSession(IoProcessor<NioSession> processor, IoService service, SocketChannel channel) throws IOException {
        super(processor, service, channel);
        config = new DefaultSocketSessionConfig();
        config.setAll(service.getSessionConfig());
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        local = channel.getLocalAddress();
        remote = channel.getRemoteAddress();
    }

    @Override
    public SocketChannel getChannel() {
        return (SocketChannel) channel;
    }

    @Override
    public TransportMetadata getTransportMetadata() {
        return METADATA;
    }

    @Override
    public SocketSessionConfig getConfig() {
        return (SocketSessionConfig) config;
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return remote;
    }

    @Override
    public SocketAddress getLocalAddress() {
        return local;
    }
}
