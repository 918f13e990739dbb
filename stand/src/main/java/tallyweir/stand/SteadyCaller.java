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

/** A caller with one request at a time, which goes on until it is told to stop, whatever becomes of the server. */
public final class SteadyCaller implements AutoCloseable {
    /**
     * How a caller behaves.
     *
     * @param newConnectionEach whether each request gets a connection of its own
     * @param pieces in how many pieces a request is written
     * @param pieceMs the wait between two pieces
     * @param thinkMs the wait between two requests, on average
     */
    public record Manner(String name, boolean newConnectionEach, int pieces, int pieceMs, int thinkMs) {}

    private static final int CROSSING_MS = 50; // by the protocol
    private static final int SLACK_MS = 50; // by the protocol
    private static final int GIVE_UP_MS = 1_500; // later than this an answer counts as none
    private static final int CONNECT_MS = 1_000;
    private static final int AGAIN_MS = 5; // after a connection was refused

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

    /** At a port of loopback. */
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

    /** A connection that cannot be had proves that nothing was had by the server. */
    private boolean connect() {
        if (socket != null) {
            return true;
        }
        Socket fresh = new Socket();
        try {
            fresh.setTcpNoDelay(true);
            fresh.connect(server, CONNECT_MS);
            socket = fresh;
            connected = System.nanoTime();
            return true;
        } catch (IOException e) {
            close(fresh);
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

    /** Null where the request was not written whole, so that the server never had it. */
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
        for (int piece = 1; piece <= manner.pieces; piece++) {
            int to = piece == manner.pieces ? request.length : request.length * piece / manner.pieces;
            out.write(request, from, to - from);
            from = to;
            if (piece < manner.pieces) {
                TimeUnit.MILLISECONDS.sleep(manner.pieceMs);
            }
        }
    }

    private int answer(long written) throws IOException {
        long deadline = written + TimeUnit.MILLISECONDS.toNanos(settings.patienceMs() + GIVE_UP_MS);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            socket.setSoTimeout((int) Math.max(1, left));
            StandSidecar.Piece piece = StandSidecar.piece(in);
            if (piece.of() == requestNumber && piece.type() == StandSidecar.STDOUT) {
                text.writeBytes(piece.content());
            } else if (piece.of() == requestNumber && piece.type() == StandSidecar.END) {
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
            return; // it has gone already
        }
    }

    /** It sends nothing more, and what it has sent is waited for. */
    public void stop() {
        stopped = true;
    }

    /** Waits until all that it has sent has ended in some way. */
    @Override
    public void close() throws InterruptedException {
        stop();
        thread.join(TimeUnit.MILLISECONDS.toMillis(settings.patienceMs() + GIVE_UP_MS + CONNECT_MS));
    }
}
