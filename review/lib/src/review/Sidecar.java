package review;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** One connection of a sidecar, with up to 32 open requests. */
final class Sidecar implements AutoCloseable {
    private final World world;
    private final Socket socket = new Socket();
    private final Map<Integer, Req> open = new HashMap<>();
    private final Map<Integer, ByteArrayOutputStream> output = new HashMap<>();
    private final Consumer<Req> onOver;
    private final int number;
    private volatile boolean closed;

    Sidecar(World world, int number, int port, Consumer<Req> onOver) throws IOException {
        this.world = world;
        this.number = number;
        this.onOver = onOver;
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2_000);
        socket.setTcpNoDelay(true);
        Thread t = new Thread(this::read);
        t.setDaemon(true);
        t.start();
    }

    private static void pair(ByteArrayOutputStream out, String name, String value) {
        for (String s : new String[] {name, value}) {
            if (s.length() < 128) {
                out.write(s.length());
            } else {
                out.write(0x80);
                out.write(0);
                out.write(s.length() >> 8);
                out.write(s.length());
            }
        }
        out.writeBytes(name.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(value.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void record(ByteArrayOutputStream out, int type, int id, byte[] content) {
        out.writeBytes(new byte[] {
            1, (byte) type, (byte) (id >> 8), (byte) id, (byte) (content.length >> 8), (byte) content.length, 0, 0
        });
        out.writeBytes(content);
    }

    private static byte[] encode(int id, Map<String, String> fields, byte[] body) {
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        fields.forEach((k, v) -> pair(params, k, v));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        record(out, 1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(out, 4, id, params.toByteArray());
        record(out, 4, id, new byte[0]);
        if (body.length > 0) {
            record(out, 5, id, body);
        }
        record(out, 5, id, new byte[0]);
        return out.toByteArray();
    }

    synchronized int openCount() {
        return open.size();
    }

    boolean ended() {
        return closed;
    }

    /** Sends a request; further fields may be given. Returns false if the connection has ended. */
    boolean send(Req req, Map<String, String> more) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/do/" + req.cls);
        fields.put("HTTP_REQUEST_ID", req.job);
        fields.put("HTTP_RECEIVED_AT", Long.toString(req.receivedAt));
        fields.put("HTTP_SENT_BY", Integer.toString(number));
        fields.put("HTTP_BUDGET_MS", Long.toString(req.budgetMs));
        fields.put("HTTP_FOOTPRINT_KB", "20.5");
        fields.put("HTTP_PRIORITY_RANK", "0.5000");
        fields.putAll(more);
        synchronized (this) {
            if (closed) {
                return false;
            }
            int id = 1;
            while (open.containsKey(id)) {
                id++;
            }
            open.put(id, req);
            world.requests.put(req.job, req);
            try {
                socket.getOutputStream().write(encode(id, fields, req.body));
            } catch (IOException e) {
                open.remove(id);
                req.gone = true;
                return false;
            }
        }
        return true;
    }

    private void read() {
        try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
            while (true) {
                in.readUnsignedByte();
                int type = in.readUnsignedByte();
                int id = in.readUnsignedShort();
                byte[] content = new byte[in.readUnsignedShort()];
                int padding = in.readUnsignedByte();
                in.readUnsignedByte();
                in.readFully(content);
                in.skipNBytes(padding);
                Req over = null;
                synchronized (this) {
                    if (type == 6) {
                        output.computeIfAbsent(id, i -> new ByteArrayOutputStream()).writeBytes(content);
                    } else if (type == 3) {
                        ByteArrayOutputStream text = output.remove(id);
                        over = open.remove(id);
                        if (over == null) {
                            world.broken("a second answer to request " + id + " of a connection");
                        } else {
                            answered(over, text == null ? new byte[0] : text.toByteArray(), content[4]);
                        }
                    }
                }
                if (over != null) {
                    onOver.accept(over);
                }
            }
        } catch (IOException e) {
            synchronized (this) {
                boolean byUs = closed;
                closed = true;
                open.values().forEach(r -> {
                    r.gone = true;
                    r.connectionEnded = !byUs;
                });
                open.clear();
            }
        }
    }

    private void answered(Req req, byte[] output, int protocolStatus) {
        String text = new String(output, StandardCharsets.ISO_8859_1);
        int body = text.indexOf("\r\n\r\n");
        req.answer = body < 0 ? new byte[0] : Arrays.copyOfRange(output, body + 4, output.length);
        req.answeredAt = System.currentTimeMillis();
        req.answers++;
        req.status = text.startsWith("Status: ") ? Integer.parseInt(text.substring(8, 11)) : protocolStatus == 2 ? 503 : 599;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        socket.close();
    }

    /** A health check on a connection of its own; the status, 0 for none within two seconds. */
    static int check(int port) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
            s.setSoTimeout(2_000);
            s.getOutputStream().write(encode(1, Map.of("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/check"), new byte[0]));
            byte[] first = s.getInputStream().readNBytes(8 + 11);
            return first.length < 19 ? 0 : Integer.parseInt(new String(first, 16, 3, StandardCharsets.ISO_8859_1));
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
    }
}
