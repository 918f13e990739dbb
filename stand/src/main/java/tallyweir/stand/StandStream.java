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

/** One connection of a sidecar with many requests at once, as FastCGI 1.0 has it. Any thread may ask. */
public final class StandStream implements AutoCloseable {
    private static final int IDS = 60_000;

    private record Asked(Consumer<StandSidecar.Answer> then, ByteArrayOutputStream text) {}

    private final Socket socket = new Socket();
    private final Map<Integer, Asked> waiting = new HashMap<>();
    private int last;

    public StandStream(int port) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setTcpNoDelay(true);
        Thread t = new Thread(this::read, "stand-in sidecar");
        t.setDaemon(true);
        t.start();
    }

    /** Asks; what becomes of it is told on a thread of this connection, status 0 where the connection broke. */
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

    /** How many are not answered. */
    public synchronized int waiting() {
        return waiting.size();
    }

    private void read() {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 64 << 10))) {
            while (true) {
                StandSidecar.Piece p = StandSidecar.piece(in);
                take(p.type(), p.of(), p.content());
            }
        } catch (IOException e) {
            broken();
        }
    }

    private void take(int type, int of, byte[] content) {
        Asked a;
        synchronized (this) {
            a = type == StandSidecar.END ? waiting.remove(of) : waiting.get(of);
        }
        if (a != null && type == StandSidecar.STDOUT) {
            a.text.writeBytes(content);
        } else if (a != null && type == StandSidecar.END) {
            a.then.accept(StandSidecar.answer(a.text.toString(StandardCharsets.UTF_8)));
        }
    }

    private void broken() {
        List<Asked> all;
        synchronized (this) {
            all = new ArrayList<>(waiting.values());
            waiting.clear();
        }
        all.forEach(a -> a.then.accept(new StandSidecar.Answer(0, "")));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
