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
     * @param open the maximum number of concurrent requests
     * @param writeMs the mean delay between two requests
     * @param readMs the maximum delay before an answer is read
     */
    public record Manner(String name, int open, int writeMs, int readMs) {}

    private static final int CROSSING_MS = 50; // the protocol allows a close to cross a request this recent
    private static final int SLACK_MS = 50; // the lateness of an answer that the protocol allows
    private static final int CONNECT_MS = 1_000;
    private static final int AGAIN_MS = 5;
    private static final int IDS = 30_000;

    private record Open(String id, long written, ByteArrayOutputStream text) {}

    private final InetSocketAddress server;
    private final Manner manner;
    private final LoadSettings settings;
    private final RequestLog log;
    private final SplittableRandom chance;
    private final Thread thread;
    private volatile boolean stopped;

    /** Starts a daemon thread that connects to the server and sends requests. */
    public PipelinedCaller(InetSocketAddress server, Manner manner, LoadSettings settings, RequestLog log) {
        this.server = server;
        this.manner = manner;
        this.settings = settings;
        this.log = log;
        chance = log.split();
        thread = new Thread(this::run, "pipelined caller");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!stopped) {
                try (Socket socket = new Socket()) {
                    socket.setTcpNoDelay(true);
                    socket.connect(server, CONNECT_MS);
                    new Connection(socket).use();
                } catch (IOException e) {
                    TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One connection, used by the sending thread and a reader thread of its own. */
    private final class Connection {
        private final Socket socket;
        private final long connected = System.nanoTime();
        private final Map<Integer, Open> open = new HashMap<>();
        private final SplittableRandom readerChance = chance.split();
        private int last;
        private volatile boolean ended;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void use() throws IOException, InterruptedException {
            Thread reader = new Thread(this::read, "pipelined caller reader");
            reader.setDaemon(true);
            reader.start();
            while (!stopped && !ended) {
                if (room()) {
                    send();
                }
                TimeUnit.MILLISECONDS.sleep(1 + chance.nextInt(2 * manner.writeMs));
            }
            if (!ended) {
                reader.join(TimeUnit.MILLISECONDS.toMillis(settings.patienceMs() + (long) manner.open * manner.readMs));
            }
            socket.close();
            reader.join();
        }

        private synchronized boolean room() {
            return open.size() < manner.open;
        }

        private void send() {
            String id = log.newId();
            last = last % IDS + 1;
            byte[] request = StandSidecar.request(last, settings.parameters(id, chance), id + " body");
            synchronized (this) {
                try {
                    socket.getOutputStream().write(request);
                } catch (IOException e) {
                    ended = true;
                    return;
                }
                if (!ended) {
                    open.put(last, new Open(id, System.nanoTime(), new ByteArrayOutputStream()));
                }
            }
        }

        private void read() {
            try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
                while (true) {
                    StandSidecar.Piece read = StandSidecar.piece(in);
                    take(read);
                    if (read.type() == StandSidecar.END && manner.readMs > 0) {
                        TimeUnit.MILLISECONDS.sleep(readerChance.nextInt(manner.readMs));
                    }
                }
            } catch (IOException | InterruptedException e) {
                ended();
            }
        }

        private synchronized void take(StandSidecar.Piece read) {
            Open request = open.get(read.of());
            if (request != null && read.type() == StandSidecar.STDOUT) {
                request.text.writeBytes(read.content());
            } else if (request != null && read.type() == StandSidecar.END) {
                open.remove(read.of());
                log.answered(request.id);
                String text = request.text.toString(StandardCharsets.UTF_8);
                add(request, answerEnd(request), StandSidecar.answer(text).status());
            }
        }

        private RequestFate.End answerEnd(Open request) {
            long maxMs = settings.patienceMs() + SLACK_MS + (long) manner.open * manner.readMs;
            boolean late = log.isOver(request.written, TimeUnit.MILLISECONDS.toNanos(maxMs));
            return late ? RequestFate.End.ANSWERED_LATE : RequestFate.End.ANSWERED;
        }

        private synchronized void ended() {
            ended = true;
            List<Open> unanswered = new ArrayList<>(open.values());
            open.clear();
            // A connection counts as idle if its unanswered requests are all recent enough to have crossed the close.
            boolean wasIdle = unanswered.stream()
                    .noneMatch(request -> log.isOver(request.written, TimeUnit.MILLISECONDS.toNanos(CROSSING_MS)));
            for (Open request : unanswered) {
                add(request, wasIdle ? RequestFate.End.CROSSED : RequestFate.End.CONNECTION_ENDED, 0);
            }
        }

        private void add(Open request, RequestFate.End end, int status) {
            log.add(new RequestFate(
                    request.id, manner.name, connected, request.written, System.nanoTime(), end, status, false));
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
