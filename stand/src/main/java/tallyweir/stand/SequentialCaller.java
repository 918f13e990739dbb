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
public final class SequentialCaller implements AutoCloseable {
    /**
     * The behaviour of a caller.
     *
     * @param connectionPerRequest whether each request is sent on a connection of its own
     * @param chunks the number of chunks in which a request is written
     * @param chunkDelayMs the delay between two chunks
     * @param meanThinkMs the mean delay between two requests
     */
    public record Profile(String name, boolean connectionPerRequest, int chunks, int chunkDelayMs, int meanThinkMs) {}

    private static final int CROSSING_WINDOW_MS = 50; // the protocol allows a close to cross a request this recent
    private static final int MAX_LATENESS_MS = 50; // the lateness of an answer that the protocol allows
    private static final int NO_ANSWER_LATENESS_MS = 1_500; // an answer that is later than this counts as missing
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int RECONNECT_DELAY_MS = 5; // after a failed connection attempt

    private final InetSocketAddress server;
    private final Profile profile;
    private final LoadSettings settings;
    private final RequestLog log;
    private final SplittableRandom random;
    private final Thread thread;
    private volatile boolean stopped;
    private Socket socket; // null while there is no connection
    private long connectedAt;
    private int requestId;

    /** Starts a daemon thread that sends requests to the server. */
    public SequentialCaller(InetSocketAddress server, Profile profile, LoadSettings settings, RequestLog log) {
        this.server = server;
        this.profile = profile;
        this.settings = settings;
        this.log = log;
        random = log.newRandom();
        thread = new Thread(this::run, "caller " + profile.name);
        thread.setDaemon(true);
        thread.start();
    }

    /** The address of a port on loopback. */
    public static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private void run() {
        try {
            while (!stopped) {
                if (connect()) {
                    sendNextRequest();
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(2 * profile.meanThinkMs + 1));
                } else {
                    TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MS);
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
            opened.connect(server, CONNECT_TIMEOUT_MS);
            socket = opened;
            connectedAt = System.nanoTime();
            return true;
        } catch (IOException e) {
            close(opened);
            return false;
        }
    }

    private void sendNextRequest() throws InterruptedException {
        String id = log.newId();
        RequestOutcome outcome = attempt(id, false);
        if (outcome != null && outcome.end() == RequestOutcome.End.CROSSED) {
            log.add(outcome);
            outcome = connect() ? attempt(id, true) : null;
        }
        if (outcome != null) {
            log.add(outcome);
        }
    }

    /** Returns null if the request could not be written completely; then the server never received all of it. */
    private RequestOutcome attempt(String id, boolean resent) throws InterruptedException {
        requestId = requestId % 30_000 + 1;
        byte[] request = StandInSidecar.encodeRequest(requestId, settings.parameters(id, random), id + " body");
        long writtenAt;
        try {
            write(request);
            writtenAt = System.nanoTime();
        } catch (IOException e) {
            disconnect();
            return null;
        }
        try {
            int status = readAnswer(writtenAt);
            log.onAnswered(id);
            long endedAt = System.nanoTime();
            boolean late =
                    log.exceeds(writtenAt, TimeUnit.MILLISECONDS.toNanos(settings.timeoutMs() + MAX_LATENESS_MS));
            if (profile.connectionPerRequest) {
                disconnect();
            }
            return outcome(
                    id,
                    writtenAt,
                    endedAt,
                    late ? RequestOutcome.End.ANSWERED_LATE : RequestOutcome.End.ANSWERED,
                    status,
                    resent);
        } catch (SocketTimeoutException e) {
            disconnect();
            return outcome(id, writtenAt, System.nanoTime(), RequestOutcome.End.UNANSWERED, 0, resent);
        } catch (IOException e) {
            disconnect();
            long endedAt = System.nanoTime();
            boolean crossed = !resent && !log.exceeds(writtenAt, TimeUnit.MILLISECONDS.toNanos(CROSSING_WINDOW_MS));
            return outcome(
                    id,
                    writtenAt,
                    endedAt,
                    crossed ? RequestOutcome.End.CROSSED : RequestOutcome.End.CONNECTION_ENDED,
                    0,
                    resent);
        }
    }

    private RequestOutcome outcome(
            String id, long writtenAt, long endedAt, RequestOutcome.End end, int status, boolean resent) {
        return new RequestOutcome(id, profile.name, connectedAt, writtenAt, endedAt, end, status, resent);
    }

    private void write(byte[] request) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        int from = 0;
        for (int chunk = 1; chunk <= profile.chunks; chunk++) {
            int to = chunk == profile.chunks ? request.length : request.length * chunk / profile.chunks;
            out.write(request, from, to - from);
            from = to;
            if (chunk < profile.chunks) {
                TimeUnit.MILLISECONDS.sleep(profile.chunkDelayMs);
            }
        }
    }

    private int readAnswer(long writtenAt) throws IOException {
        long deadline = writtenAt + TimeUnit.MILLISECONDS.toNanos(settings.timeoutMs() + NO_ANSWER_LATENESS_MS);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            socket.setSoTimeout((int) Math.max(1, remainingMs));
            StandInSidecar.FastCgiRecord read = StandInSidecar.readRecord(in);
            if (read.requestId() == requestId && read.type() == StandInSidecar.STDOUT) {
                text.writeBytes(read.content());
            } else if (read.requestId() == requestId && read.type() == StandInSidecar.END_REQUEST) {
                return StandInSidecar.answer(text.toString(StandardCharsets.UTF_8))
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
        thread.join(TimeUnit.MILLISECONDS.toMillis(settings.timeoutMs() + NO_ANSWER_LATENESS_MS + CONNECT_TIMEOUT_MS));
    }
}
