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
public final class StandStream implements AutoCloseable {
    private static final int IDS = 60_000;

    private record Asked(Consumer<StandSidecar.Answer> then, ByteArrayOutputStream text) {}

    private final Socket socket = new Socket();
    private final Map<Integer, Asked> waiting = new HashMap<>();
    private int last;

    /** Connects to a port on loopback and starts a daemon thread that reads the answers. */
    public StandStream(int port) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setTcpNoDelay(true);
        Thread reader = new Thread(this::read, "stand-in sidecar");
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Sends a request.
     *
     * @param then called once with the answer on this connection's reader thread, or with status 0 on the thread that finds the
     *     connection broken
     */
    public void ask(Map<String, String> parameters, String body, Consumer<StandSidecar.Answer> then) {
        byte[] bytes;
        try {
            synchronized (this) {
                do {
                    last = last % IDS + 1;
                } while (waiting.containsKey(last));
                waiting.put(last, new Asked(then, new ByteArrayOutputStream()));
                bytes = StandSidecar.request(last, parameters, body);
                OutputStream out = socket.getOutputStream();
                out.write(bytes);
            }
        } catch (IOException e) {
            broken();
        }
    }

    /** The number of requests without an answer so far. */
    public synchronized int waiting() {
        return waiting.size();
    }

    private void read() {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 64 << 10))) {
            while (true) {
                StandSidecar.Piece read = StandSidecar.piece(in);
                take(read.type(), read.of(), read.content());
            }
        } catch (IOException e) {
            broken();
        }
    }

    private void take(int type, int id, byte[] content) {
        Asked request;
        synchronized (this) {
            request = type == StandSidecar.END ? waiting.remove(id) : waiting.get(id);
        }
        if (request != null && type == StandSidecar.STDOUT) {
            request.text.writeBytes(content);
        } else if (request != null && type == StandSidecar.END) {
            request.then.accept(StandSidecar.answer(request.text.toString(StandardCharsets.UTF_8)));
        }
    }

    private void broken() {
        List<Asked> failed;
        synchronized (this) {
            failed = new ArrayList<>(waiting.values());
            waiting.clear();
        }
        failed.forEach(request -> request.then.accept(new StandSidecar.Answer(0, "")));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
