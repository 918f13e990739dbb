package tallyweir.stand;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A caller with several concurrent requests on one connection that may read answers slowly. It reconnects when its connection has
 * ended and sends requests until it is stopped.
 */
public final class PipelinedCaller implements AutoCloseable {
    /**
     * The behaviour of a caller.
     *
     * @param maxOpen the maximum number of concurrent requests
     * @param meanWriteDelayMs the mean delay between two requests
     * @param maxReadDelayMs the maximum delay before an answer is read
     */
    public record Profile(String name, int maxOpen, int meanWriteDelayMs, int maxReadDelayMs) {}

    private static final int CROSSING_WINDOW_MS = 50; // the protocol allows a close to cross a request this recent
    private static final int MAX_LATENESS_MS = 50; // the lateness of an answer that the protocol allows
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int RECONNECT_DELAY_MS = 5;
    private static final int MAX_REQUEST_ID = 30_000;

    private record OpenRequest(String id, long writtenAt, ByteArrayOutputStream output) {}

    private final InetSocketAddress server;
    private final Profile profile;
    private final LoadSettings settings;
    private final RequestLog log;
    private final SplittableRandom random;
    private final Thread thread;
    private volatile boolean stopped;

    /** Starts a daemon thread that connects to the server and sends requests. */
    public PipelinedCaller(InetSocketAddress server, Profile profile, LoadSettings settings, RequestLog log) {
        this.server = server;
        this.profile = profile;
        this.settings = settings;
        this.log = log;
        random = log.newRandom();
        thread = new Thread(this::run, "pipelined caller");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!stopped) {
                try (Socket socket = new Socket()) {
                    socket.setTcpNoDelay(true);
                    socket.connect(server, CONNECT_TIMEOUT_MS);
                    new Connection(socket).sendRequests();
                } catch (IOException e) {
                    TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One connection, used by the sending thread and a reader thread of its own. */
    private final class Connection {
        private final Socket socket;
        private final long connectedAt = System.nanoTime();
        private final Map<Integer, OpenRequest> open = new HashMap<>();
        private final SplittableRandom readerRandom = random.split();
        private int lastId;
        private volatile boolean closed;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void sendRequests() throws IOException, InterruptedException {
            Thread reader = new Thread(this::readAnswers, "pipelined caller reader");
            reader.setDaemon(true);
            reader.start();
            while (!stopped && !closed) {
                if (hasRoom()) {
                    sendRequest();
                }
                TimeUnit.MILLISECONDS.sleep(1 + random.nextInt(2 * profile.meanWriteDelayMs));
            }
            if (!closed) {
                reader.join(TimeUnit.MILLISECONDS.toMillis(
                        settings.timeoutMs() + (long) profile.maxOpen * profile.maxReadDelayMs));
            }
            socket.close();
            reader.join();
        }

        private synchronized boolean hasRoom() {
            return open.size() < profile.maxOpen;
        }

        private void sendRequest() {
            String id = log.newId();
            lastId = lastId % MAX_REQUEST_ID + 1;
            byte[] request = StandInSidecar.encodeRequest(lastId, settings.parameters(id, random), id + " body");
            synchronized (this) {
                try {
                    socket.getOutputStream().write(request);
                } catch (IOException e) {
                    closed = true;
                    return;
                }
                if (!closed) {
                    open.put(lastId, new OpenRequest(id, System.nanoTime(), new ByteArrayOutputStream()));
                }
            }
        }

        private void readAnswers() {
            try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
                while (true) {
                    StandInSidecar.FastCgiRecord read = StandInSidecar.readRecord(in);
                    onRecord(read);
                    if (read.type() == StandInSidecar.END_REQUEST && profile.maxReadDelayMs > 0) {
                        TimeUnit.MILLISECONDS.sleep(readerRandom.nextInt(profile.maxReadDelayMs));
                    }
                }
            } catch (IOException | InterruptedException e) {
                onClosed();
            }
        }

        private synchronized void onRecord(StandInSidecar.FastCgiRecord read) {
            OpenRequest request = open.get(read.requestId());
            if (request != null && read.type() == StandInSidecar.STDOUT) {
                request.output.writeBytes(read.content());
            } else if (request != null && read.type() == StandInSidecar.END_REQUEST) {
                open.remove(read.requestId());
                log.onAnswered(request.id);
                String text = request.output.toString(StandardCharsets.UTF_8);
                logOutcome(
                        request,
                        classifyAnswer(request),
                        StandInSidecar.answer(text).status());
            }
        }

        private RequestOutcome.End classifyAnswer(OpenRequest request) {
            long maxMs = settings.timeoutMs() + MAX_LATENESS_MS + (long) profile.maxOpen * profile.maxReadDelayMs;
            boolean late = log.exceeds(request.writtenAt, TimeUnit.MILLISECONDS.toNanos(maxMs));
            return late ? RequestOutcome.End.ANSWERED_LATE : RequestOutcome.End.ANSWERED;
        }

        private synchronized void onClosed() {
            closed = true;
            List<OpenRequest> unanswered = new ArrayList<>(open.values());
            open.clear();
            // A connection counts as idle if its unanswered requests are all recent enough to have crossed the close.
            boolean wasIdle = unanswered.stream()
                    .noneMatch(request ->
                            log.exceeds(request.writtenAt, TimeUnit.MILLISECONDS.toNanos(CROSSING_WINDOW_MS)));
            for (OpenRequest request : unanswered) {
                logOutcome(request, wasIdle ? RequestOutcome.End.CROSSED : RequestOutcome.End.CONNECTION_ENDED, 0);
            }
        }

        private void logOutcome(OpenRequest request, RequestOutcome.End end, int status) {
            log.add(new RequestOutcome(
                    request.id, profile.name, connectedAt, request.writtenAt, System.nanoTime(), end, status, false));
        }
    }

    /** Stops sending requests; does not wait for answers. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void close() throws InterruptedException {
        stop();
        thread.join(TimeUnit.SECONDS.toMillis(5));
    }
}
