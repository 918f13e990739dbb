package tallyweir.stand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A bad client: connects many times, sends nothing or part of a record, and stays until the server ends it. */
public final class SilentClient implements AutoCloseable {
    private static final byte[] PART_OF_A_RECORD = {1, 1, 0};
    private static final int CONNECT_MS = 1_000;
    private static final int LOOK_MS = 20;

    private final InetSocketAddress server;
    private final int most;
    private final Thread thread;
    private final List<Socket> open = new ArrayList<>();
    private volatile boolean stopped;

    /** @param most how many connections it keeps open at once */
    public SilentClient(InetSocketAddress server, int most) {
        this.server = server;
        this.most = most;
        thread = new Thread(this::run, "silent client");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            for (int number = 0; !stopped; number++) {
                open.removeIf(SilentClient::hasEnded);
                if (open.size() < most) {
                    open(number % 2 == 0 ? PART_OF_A_RECORD : new byte[0]);
                } else {
                    TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        open.forEach(SilentClient::close);
    }

    private void open(byte[] first) throws InterruptedException {
        Socket socket = new Socket();
        try {
            socket.connect(server, CONNECT_MS);
            socket.getOutputStream().write(first);
            socket.setSoTimeout(1);
            open.add(socket);
        } catch (IOException e) {
            close(socket);
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
    }

    private static boolean hasEnded(Socket socket) {
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
            return; // it has gone already
        }
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        thread.join(CONNECT_MS);
    }
}
