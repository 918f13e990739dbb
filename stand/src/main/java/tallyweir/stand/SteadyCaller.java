package tallyweir.stand;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A caller with one request at a time. It sends requests until it is stopped, also while the server is unavailable. */
public final class SteadyCaller implements AutoCloseable {
    /**
     * The behaviour of a caller.
     *
     * @param newConnectionEach whether each request is sent on a connection of its own
     * @param pieces the number of chunks in which a request is written
     * @param pieceMs the delay between two chunks
     * @param thinkMs the mean delay between two requests
     */
    public record Manner(String name, boolean newConnectionEach, int pieces, int pieceMs, int thinkMs) {}

    private static final int CROSSING_MS = 50; // the protocol allows a close to cross a request this recent
    private static final int SLACK_MS = 50; // the lateness of an answer that the protocol allows
    private static final int GIVE_UP_MS = 1_500; // an answer that is later than this counts as missing
    private static final int CONNECT_MS = 1_000;
    private static final int AGAIN_MS = 5; // after a failed connection attempt

    private final InetSocketAddress server;
    private final Manner manner;
    private final LoadSettings settings;
    private final RequestLog log;
    private final SplittableRandom chance;
    private final Thread thread;
    private volatile boolean stopped;
    private Socket socket; // null while there is no connection
    private long connected;
    private int requestNumber;

    /** Starts a daemon thread that sends requests to the server. */
    public SteadyCaller(InetSocketAddress server, Manner manner, LoadSettings settings, RequestLog log) {
        this.server = server;
        this.manner = manner;
        this.settings = settings;
        this.log = log;
        chance = log.split();
        thread = new Thread(this::run, "caller " + manner.name);
        thread.setDaemon(true);
        thread.start();
    }

    /** The address of a port on loopback. */
    public static InetSocketAddress at(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private void run() {
        try {
            while (!stopped) {
                if (connect()) {
                    request();
                    TimeUnit.MILLISECONDS.sleep(chance.nextInt(2 * manner.thinkMs + 1));
                } else {
                    TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disconnect();
    }

    /** Returns false if the connection fails; then the server cannot have received the request, so it is not counted. */
    private boolean connect() {
        if (socket != null) {
            return true;
        }
        Socket opened = new Socket();
        try {
            opened.setTcpNoDelay(true);
            opened.connect(server, CONNECT_MS);
            socket = opened;
            connected = System.nanoTime();
            return true;
        } catch (IOException e) {
            close(opened);
            return false;
        }
    }

    private void request() throws InterruptedException {
        String id = log.newId();
        RequestFate fate = attempt(id, false);
        if (fate != null && fate.end() == RequestFate.End.CROSSED) {
            log.add(fate);
            fate = connect() ? attempt(id, true) : null;
        }
        if (fate != null) {
            log.add(fate);
        }
    }

    /** Returns null if the request could not be written completely; then the server never received all of it. */
    private RequestFate attempt(String id, boolean resent) throws InterruptedException {
        requestNumber = requestNumber % 30_000 + 1;
        byte[] request = StandSidecar.request(requestNumber, settings.parameters(id, chance), id + " body");
        long written;
        try {
            write(request);
            written = System.nanoTime();
        } catch (IOException e) {
            disconnect();
            return null;
        }
        try {
            int status = answer(written);
            log.answered(id);
            long now = System.nanoTime();
            boolean late = log.isOver(written, TimeUnit.MILLISECONDS.toNanos(settings.patienceMs() + SLACK_MS));
            if (manner.newConnectionEach) {
                disconnect();
            }
            return fate(
                    id, written, now, late ? RequestFate.End.ANSWERED_LATE : RequestFate.End.ANSWERED, status, resent);
        } catch (SocketTimeoutException e) {
            disconnect();
            return fate(id, written, System.nanoTime(), RequestFate.End.UNANSWERED, 0, resent);
        } catch (IOException e) {
            disconnect();
            long now = System.nanoTime();
            boolean crossed = !resent && !log.isOver(written, TimeUnit.MILLISECONDS.toNanos(CROSSING_MS));
            return fate(
                    id, written, now, crossed ? RequestFate.End.CROSSED : RequestFate.End.CONNECTION_ENDED, 0, resent);
        }
    }

    private RequestFate fate(String id, long written, long ended, RequestFate.End end, int status, boolean resent) {
        return new RequestFate(id, manner.name, connected, written, ended, end, status, resent);
    }

    private void write(byte[] request) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        int from = 0;
        for (int chunk = 1; chunk <= manner.pieces; chunk++) {
            int to = chunk == manner.pieces ? request.length : request.length * chunk / manner.pieces;
            out.write(request, from, to - from);
            from = to;
            if (chunk < manner.pieces) {
                TimeUnit.MILLISECONDS.sleep(manner.pieceMs);
            }
        }
    }

    private int answer(long written) throws IOException {
        long deadline = written + TimeUnit.MILLISECONDS.toNanos(settings.patienceMs() + GIVE_UP_MS);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            socket.setSoTimeout((int) Math.max(1, remainingMs));
            StandSidecar.Piece read = StandSidecar.piece(in);
            if (read.of() == requestNumber && read.type() == StandSidecar.STDOUT) {
                text.writeBytes(read.content());
            } else if (read.of() == requestNumber && read.type() == StandSidecar.END) {
                return StandSidecar.answer(text.toString(StandardCharsets.UTF_8))
                        .status();
            }
        }
    }

    private void disconnect() {
        if (socket != null) {
            close(socket);
            socket = null;
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return; // already closed
        }
    }

    /** Stops sending requests; a pending one still waits for its answer. */
    public void stop() {
        stopped = true;
    }

    /** Stops sending and waits until the pending request has been answered or has timed out. */
    @Override
    public void close() throws InterruptedException {
        stop();
        thread.join(TimeUnit.MILLISECONDS.toMillis(settings.patienceMs() + GIVE_UP_MS + CONNECT_MS));
    }
}
