package rig;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A store by the protocol page: it answers each call, on the connection on which it came. */
public final class Store implements AutoCloseable {
    private final Log log;
    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    public final Map<String, Integer> calls = new ConcurrentHashMap<>();
    public volatile int delayMs = 5;

    public Store(Log log) throws IOException {
        this.log = log;
        Kernel.thread(() -> {
            try {
                while (true) {
                    Socket c = server.accept();
                    c.setTcpNoDelay(true);
                    Kernel.thread(() -> serve(c));
                }
            } catch (IOException e) {
                return;
            }
        });
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket c) {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(c.getInputStream()))) {
            OutputStream out = c.getOutputStream();
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b >= 0; b = in.read()) {
                if (b != '\n') {
                    line.append((char) b);
                    continue;
                }
                String[] w = line.toString().strip().split(" ");
                line.setLength(0);
                if (w[0].equals("CALL")) {
                    in.skipNBytes(Integer.parseInt(w[3]) + 2);
                    calls.merge(w[1], 1, Integer::sum);
                    Thread.sleep(delayMs);
                    String body = "reply to " + w[1];
                    out.write((w[1] + " OK " + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                }
            }
        } catch (IOException | InterruptedException e) {
            log.line("store: a connection ended");
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
