package tallyweir.stand;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * A misbehaving client: writes requests on one connection as fast as the server takes them, and connects again when its
 * connection has ended.
 */
public final class FloodingClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int RECONNECT_DELAY_MS = 1;
    private static final int BURST_BYTES = 32 << 10; // encoded at once, so that the client is faster than the server
    private static final int DISCARD_BYTES = 64 << 10;

    private final InetSocketAddress server;
    private final HostileRequests requests;
    private final HostileRequests.Kind kind;
    private final boolean reads;
    private final Thread thread;
    private volatile boolean stopped;
    private volatile long written;
    private Socket socket;

    /**
     * Starts a daemon thread that writes requests.
     *
     * @param reads whether it reads the answers
     */
    public FloodingClient(
            InetSocketAddress server, HostileRequests requests, HostileRequests.Kind kind, boolean reads) {
        this.server = server;
        this.requests = requests;
        this.kind = kind;
        this.reads = reads;
        thread = startThread(this::run, "flooding client");
    }

    private static Thread startThread(Runnable run, String name) {
        Thread thread = new Thread(run, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** How many requests have been written. */
    public long written() {
        return written;
    }

    private void run() {
        while (!stopped) {
            try (Socket connected = new Socket()) {
                connect(connected);
                writeRequests(connected);
            } catch (IOException e) {
                pause();
            }
        }
    }

    private void connect(Socket connecting) throws IOException {
        connecting.connect(server, CONNECT_TIMEOUT_MS);
        synchronized (this) {
            socket = connecting;
        }
        if (reads) {
            startThread(() -> discard(connecting), "flooding client reader");
        }
    }

    private void writeRequests(Socket connected) throws IOException {
        while (!stopped) {
            ByteArrayOutputStream burst = new ByteArrayOutputStream();
            int count = 0;
            while (burst.size() < BURST_BYTES) {
                burst.writeBytes(requests.next(kind));
                count++;
            }
            connected.getOutputStream().write(burst.toByteArray());
            written += count;
        }
    }

    private static void discard(Socket connected) {
        try {
            InputStream in = connected.getInputStream();
            byte[] discarded = new byte[DISCARD_BYTES];
            while (in.read(discarded) >= 0) {
                // answers do not matter
            }
            connected.close();
        } catch (IOException e) {
            return; // the writer notices it too
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        stopped = true;
        synchronized (this) {
            if (socket != null) {
                socket.close();
            }
        }
        thread.join(CONNECT_TIMEOUT_MS);
    }
}
