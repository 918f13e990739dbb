package tallyweir.stand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Misbehaving clients: many connections, on each of which a given stream is written a few bytes at a time and is never
 * completed. A connection that ends is opened again.
 */
public final class SlowClients implements AutoCloseable {
    private static final int JOIN_TIMEOUT_MS = 5_000;
    private static final int DISCARD_BYTES = 64 << 10;

    private final InetSocketAddress server;
    private final IntFunction<byte[]> stream;
    private final int chunkBytes;
    private final int intervalMs;
    private final boolean repeat;
    private final Thread thread;
    private final List<Connection> connections = new ArrayList<>();
    private final ByteBuffer discarded = ByteBuffer.allocate(DISCARD_BYTES);
    private volatile boolean stopped;
    private volatile long opened;

    private final class Connection {
        private SocketChannel channel;
        private ByteBuffer unwritten = ByteBuffer.allocate(0);
        private int streams;

        private void play() {
            try {
                if (channel == null) {
                    open();
                }
                discarded.clear();
                if (channel.read(discarded) < 0) {
                    close();
                    return;
                }
                write();
            } catch (IOException e) {
                close();
            }
        }

        private void open() throws IOException {
            channel = SocketChannel.open(server);
            channel.configureBlocking(false);
            streams = 0;
            unwritten = ByteBuffer.wrap(stream.apply(++streams));
            opened++;
        }

        private void write() throws IOException {
            if (!unwritten.hasRemaining() && repeat) {
                unwritten = ByteBuffer.wrap(stream.apply(++streams));
            }
            int limit = unwritten.limit();
            unwritten.limit(Math.min(limit, unwritten.position() + chunkBytes));
            channel.write(unwritten);
            unwritten.limit(limit);
        }

        private void close() {
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                channel = null; // it is closed all the same
            }
            channel = null;
        }
    }

    /**
     * Starts a daemon thread that opens the connections and writes on each of them in turn.
     *
     * @param stream makes the bytes that a connection writes, given the number of the stream on it, from 1
     * @param chunkBytes how many bytes are written at a time
     * @param intervalMs the time between two chunks of a connection
     * @param repeat whether a connection goes on with the next stream after the first
     */
    public SlowClients(
            InetSocketAddress server,
            int count,
            IntFunction<byte[]> stream,
            int chunkBytes,
            int intervalMs,
            boolean repeat) {
        this.server = server;
        this.stream = stream;
        this.chunkBytes = chunkBytes;
        this.intervalMs = intervalMs;
        this.repeat = repeat;
        for (int i = 0; i < count; i++) {
            connections.add(new Connection());
        }
        thread = new Thread(this::run, "slow clients");
        thread.setDaemon(true);
        thread.start();
    }

    /** How many connections have been opened. */
    public long opened() {
        return opened;
    }

    private void run() {
        try {
            while (!stopped) {
                connections.forEach(Connection::play);
                TimeUnit.MILLISECONDS.sleep(intervalMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        connections.forEach(Connection::close);
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        thread.join(JOIN_TIMEOUT_MS);
    }
}
