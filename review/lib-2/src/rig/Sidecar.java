package rig;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** One FastCGI connection of a sidecar: up to 32 requests at once, answers in any order. */
public final class Sidecar implements AutoCloseable {
    private final Socket socket = new Socket();
    private final OutputStream out;
    private final Map<Integer, Request> open = new HashMap<>();
    private final Map<Integer, ByteArrayOutputStream> text = new HashMap<>();
    private int lastId;
    private volatile boolean ended;

    public Sidecar(InetSocketAddress to) throws IOException {
        socket.connect(to, 3_000);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Thread t = new Thread(this::read, "sidecar");
        t.setDaemon(true);
        t.start();
    }

    public boolean isEnded() {
        return ended;
    }

    public synchronized int openCount() {
        return open.size();
    }

    private static void record(ByteArrayOutputStream b, int type, int id, byte[] content) {
        b.write(1);
        b.write(type);
        b.write(id >> 8);
        b.write(id);
        b.write(content.length >> 8);
        b.write(content.length);
        b.write(0);
        b.write(0);
        b.writeBytes(content);
    }

    private static void length(ByteArrayOutputStream b, int n) {
        if (n < 128) {
            b.write(n);
        } else {
            b.write(n >> 24 | 0x80);
            b.write(n >> 16);
            b.write(n >> 8);
            b.write(n);
        }
    }

    static byte[] encode(int id, Map<String, String> params, byte[] body) {
        ByteArrayOutputStream p = new ByteArrayOutputStream();
        params.forEach((k, v) -> {
            length(p, k.length());
            length(p, v.length());
            p.writeBytes(k.getBytes(StandardCharsets.ISO_8859_1));
            p.writeBytes(v.getBytes(StandardCharsets.ISO_8859_1));
        });
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        record(b, 1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(b, 4, id, p.toByteArray());
        record(b, 4, id, new byte[0]);
        if (body.length > 0) {
            record(b, 5, id, body);
        }
        record(b, 5, id, new byte[0]);
        return b.toByteArray();
    }

    /** Writes a request; receivedAt is now, unless it is set already. Its answer completes later. */
    public Request send(Request r) {
        try {
            synchronized (this) {
                if (ended) {
                    throw new IOException("ended");
                }
                do {
                    lastId = lastId % 60_000 + 1;
                } while (open.containsKey(lastId));
                open.put(lastId, r);
                text.put(lastId, new ByteArrayOutputStream());
                if (r.receivedAt == 0) {
                    r.receivedAt = System.currentTimeMillis();
                }
                out.write(encode(lastId, r.params(), r.body));
                out.flush();
                r.writtenAt = System.currentTimeMillis();
            }
        } catch (IOException e) {
            end(r, 0, new byte[0], "");
        }
        return r;
    }

    /** Gives a request up with ABORT_REQUEST. */
    public void abort(Request r) {
        synchronized (this) {
            for (Map.Entry<Integer, Request> e : open.entrySet()) {
                if (e.getValue() == r) {
                    ByteArrayOutputStream b = new ByteArrayOutputStream();
                    record(b, 2, e.getKey(), new byte[0]);
                    try {
                        out.write(b.toByteArray());
                        out.flush();
                    } catch (IOException broken) {
                        return;
                    }
                    r.over = true;
                    return;
                }
            }
        }
    }

    /** A health check or the counters, on this connection. */
    public static Request get(InetSocketAddress to, String path, int timeoutMs) {
        Request r = new Request("", "", timeoutMs);
        try (Sidecar s = new Sidecar(to)) {
            synchronized (s) {
                s.open.put(1, r);
                s.text.put(1, new ByteArrayOutputStream());
                s.out.write(encode(1, Map.of("SCRIPT_NAME", path, "REQUEST_METHOD", "GET"), new byte[0]));
                s.out.flush();
            }
            r.answer.get(timeoutMs, java.util.concurrent.TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            end(r, 0, new byte[0], "");
        }
        return r;
    }

    private static void end(Request r, int status, byte[] body, String headers) {
        r.over = true;
        r.answer.complete(new Request.Answer(status, body, headers, System.currentTimeMillis()));
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            while (true) {
                in.readUnsignedByte();
                int type = in.readUnsignedByte();
                int id = in.readUnsignedShort();
                byte[] content = new byte[in.readUnsignedShort()];
                int padding = in.readUnsignedByte();
                in.readUnsignedByte();
                in.readFully(content);
                in.skipNBytes(padding);
                synchronized (this) {
                    if (type == 6 && text.containsKey(id)) {
                        text.get(id).writeBytes(content);
                    } else if (type == 3 && open.containsKey(id)) {
                        answered(open.remove(id), text.remove(id).toByteArray(), content[4]);
                    }
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    private static void answered(Request r, byte[] output, int protocolStatus) {
        String all = new String(output, StandardCharsets.ISO_8859_1);
        int at = all.indexOf("\r\n\r\n");
        if (all.startsWith("Status: ") && at > 0) {
            byte[] body = all.substring(at + 4).getBytes(StandardCharsets.ISO_8859_1);
            end(r, Integer.parseInt(all.substring(8, 11)), body, all.substring(0, at));
        } else {
            end(r, protocolStatus == 2 ? 503 : -1, new byte[0], "");
        }
    }

    /** Ends the connection; what is open on it gets no answer. */
    @Override
    public void close() {
        ended = true;
        try {
            socket.close();
        } catch (IOException e) {
            // ended all the same
        }
        synchronized (this) {
            open.values().forEach(r -> end(r, 0, new byte[0], ""));
            open.clear();
        }
    }
}
