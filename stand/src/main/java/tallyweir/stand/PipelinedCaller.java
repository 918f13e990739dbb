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
 * A caller with several requests open on one connection, which may be slow to read answers; it connects again when its
 * connection has ended, and goes on until it is told to stop.
 */
public final class PipelinedCaller implements AutoCloseable {
    /**
     * How a caller behaves.
     *
     * @param open how many requests it keeps open
     * @param writeMs the wait between two requests, on average
     * @param readMs the wait before an answer is read, at the most
     */
    public record Manner(String name, int open, int writeMs, int readMs) {}

    private static final int CROSSING_MS = 50; // by the protocol
    private static final int SLACK_MS = 50; // by the protocol
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

    /** One connection from its beginning to its end. */
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
            Thread reader = new Thread(this::read, "pipelined caller reads");
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
                    StandSidecar.Piece piece = StandSidecar.piece(in);
                    take(piece);
                    if (piece.type() == StandSidecar.END && manner.readMs > 0) {
                        TimeUnit.MILLISECONDS.sleep(readerChance.nextInt(manner.readMs));
                    }
                }
            } catch (IOException | InterruptedException e) {
                ended();
            }
        }

        private synchronized void take(StandSidecar.Piece piece) {
            Open request = open.get(piece.of());
            if (request != null && piece.type() == StandSidecar.STDOUT) {
                request.text.writeBytes(piece.content());
            } else if (request != null && piece.type() == StandSidecar.END) {
                open.remove(piece.of());
                log.answered(request.id);
                String text = request.text.toString(StandardCharsets.UTF_8);
                add(request, answerEnd(request), StandSidecar.answer(text).status());
            }
        }

        private RequestFate.End answerEnd(Open request) {
            long most = settings.patienceMs() + SLACK_MS + (long) manner.open * manner.readMs;
            boolean late = log.isOver(request.written, TimeUnit.MILLISECONDS.toNanos(most));
            return late ? RequestFate.End.ANSWERED_LATE : RequestFate.End.ANSWERED;
        }

        private synchronized void ended() {
            ended = true;
            List<Open> left = new ArrayList<>(open.values());
            open.clear();
            boolean wasAtRest = left.stream()
                    .noneMatch(request -> log.isOver(request.written, TimeUnit.MILLISECONDS.toNanos(CROSSING_MS)));
            for (Open request : left) {
                add(request, wasAtRest ? RequestFate.End.CROSSED : RequestFate.End.CONNECTION_ENDED, 0);
            }
        }

        private void add(Open request, RequestFate.End end, int status) {
            log.add(new RequestFate(
                    request.id, manner.name, connected, request.written, System.nanoTime(), end, status, false));
        }
    }

    /** It sends nothing more. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void close() throws InterruptedException {
        stop();
        thread.join(TimeUnit.SECONDS.toMillis(5));
    }
}
