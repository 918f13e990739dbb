package tallyweir.stand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A misbehaving client: opens many connections, sends nothing or a partial record, and waits until the server closes them. */
public final class SilentClient implements AutoCloseable {
    private static final byte[] PARTIAL_RECORD = {1, 1, 0};
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int POLL_INTERVAL_MS = 20;

    private final InetSocketAddress server;
    private final int maxOpen;
    private final Thread thread;
    private final List<Socket> openSockets = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Starts a daemon thread that opens connections.
     *
     * @param maxOpen the number of connections it keeps open
     */
    public SilentClient(InetSocketAddress server, int maxOpen) {
        this.server = server;
        this.maxOpen = maxOpen;
        thread = new Thread(this::run, "silent client");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            for (int number = 0; !stopped; number++) {
                openSockets.removeIf(SilentClient::isClosedByServer);
                if (openSockets.size() < maxOpen) {
                    openConnection(number % 2 == 0 ? PARTIAL_RECORD : new byte[0]);
                } else {
                    TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        openSockets.forEach(SilentClient::close);
    }

    private void openConnection(byte[] firstBytes) throws InterruptedException {
        Socket socket = new Socket();
        try {
            socket.connect(server, CONNECT_TIMEOUT_MS);
            socket.getOutputStream().write(firstBytes);
            socket.setSoTimeout(1);
            openSockets.add(socket);
        } catch (IOException e) {
            close(socket);
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    private static boolean isClosedByServer(Socket socket) {
        try {
            if (socket.getInputStream().read() >= 0) {
                return false;
            }
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            close(socket);
            return true;
        }
        close(socket);
        return true;
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return; // already closed
        }
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        thread.join(CONNECT_TIMEOUT_MS);
    }
}
