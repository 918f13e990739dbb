package tallyweir.stand;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A sidecar's FastCGI 1.0 connection with many concurrent requests. Safe for use by several threads. */
public final class MultiplexedSidecar implements AutoCloseable {
    private static final int MAX_REQUEST_ID = 60_000;

    private record PendingRequest(Consumer<StandInSidecar.Answer> onAnswer, ByteArrayOutputStream output) {}

    private final Socket socket = new Socket();
    private final Map<Integer, PendingRequest> pending = new HashMap<>();
    private int lastId;

    /** Connects to a port on loopback and starts a daemon thread that reads the answers. */
    public MultiplexedSidecar(int port) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setTcpNoDelay(true);
        Thread reader = new Thread(this::readRecords, "stand-in sidecar");
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Sends a request.
     *
     * @param onAnswer called once with the answer on this connection's reader thread, or with status 0 on the thread that finds the
     *     connection broken
     */
    public void send(Map<String, String> parameters, String body, Consumer<StandInSidecar.Answer> onAnswer) {
        byte[] encoded;
        try {
            synchronized (this) {
                do {
                    lastId = lastId % MAX_REQUEST_ID + 1;
                } while (pending.containsKey(lastId));
                pending.put(lastId, new PendingRequest(onAnswer, new ByteArrayOutputStream()));
                encoded = StandInSidecar.encodeRequest(lastId, parameters, body);
                OutputStream out = socket.getOutputStream();
                out.write(encoded);
            }
        } catch (IOException e) {
            failPending();
        }
    }

    /** The number of requests without an answer so far. */
    public synchronized int pendingCount() {
        return pending.size();
    }

    private void readRecords() {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 64 << 10))) {
            while (true) {
                StandInSidecar.FastCgiRecord read = StandInSidecar.readRecord(in);
                onRecord(read.type(), read.requestId(), read.content());
            }
        } catch (IOException e) {
            failPending();
        }
    }

    private void onRecord(int type, int id, byte[] content) {
        PendingRequest request;
        synchronized (this) {
            request = type == StandInSidecar.END_REQUEST ? pending.remove(id) : pending.get(id);
        }
        if (request != null && type == StandInSidecar.STDOUT) {
            request.output.writeBytes(content);
        } else if (request != null && type == StandInSidecar.END_REQUEST) {
            request.onAnswer.accept(StandInSidecar.answer(request.output.toString(StandardCharsets.UTF_8)));
        }
    }

    private void failPending() {
        List<PendingRequest> failed;
        synchronized (this) {
            failed = new ArrayList<>(pending.values());
            pending.clear();
        }
        failed.forEach(request -> request.onAnswer.accept(new StandInSidecar.Answer(0, "")));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
