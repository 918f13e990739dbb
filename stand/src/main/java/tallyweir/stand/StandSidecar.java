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
import java.util.Map;

/** One connection of a sidecar, as FastCGI 1.0 has it, with one request at a time. */
public final class StandSidecar implements AutoCloseable {
    /** @param status 0 where the connection broke, -1 where nothing came in time */
    public record Answer(int status, String body) {}

    private static final int BEGIN = 1;
    static final int END = 3;
    private static final int PARAMS = 4;
    private static final int STDIN = 5;
    static final int STDOUT = 6;

    private final Socket socket = new Socket();
    private int id;

    public StandSidecar(int port) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setTcpNoDelay(true);
    }

    private static void record(ByteArrayOutputStream out, int type, int id, byte[] content) {
        out.write(1);
        out.write(type);
        out.write(id >> 8);
        out.write(id);
        out.write(content.length >> 8);
        out.write(content.length);
        out.write(0);
        out.write(0);
        out.writeBytes(content);
    }

    private static void length(ByteArrayOutputStream out, int length) {
        if (length < 128) {
            out.write(length);
        } else {
            out.write(length >> 24 | 0x80);
            out.write(length >> 16);
            out.write(length >> 8);
            out.write(length);
        }
    }

    /** The bytes of a whole request. */
    static byte[] request(int id, Map<String, String> parameters, String body) {
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        parameters.forEach((name, value) -> {
            length(params, name.length());
            length(params, value.length());
            params.writeBytes(name.getBytes(StandardCharsets.UTF_8));
            params.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        });
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        record(all, BEGIN, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(all, PARAMS, id, params.toByteArray());
        record(all, PARAMS, id, new byte[0]);
        record(all, STDIN, id, body.getBytes(StandardCharsets.UTF_8));
        record(all, STDIN, id, new byte[0]);
        return all.toByteArray();
    }

    /** One record of FastCGI. */
    record Piece(int type, int of, byte[] content) {}

    static Piece piece(DataInputStream in) throws IOException {
        in.readUnsignedByte();
        int type = in.readUnsignedByte();
        int of = in.readUnsignedShort();
        byte[] content = new byte[in.readUnsignedShort()];
        int padding = in.readUnsignedByte();
        in.readUnsignedByte();
        in.readFully(content);
        in.skipNBytes(padding);
        return new Piece(type, of, content);
    }

    /** What the text of an answer says. */
    static Answer answer(String all) {
        int body = all.indexOf("\r\n\r\n");
        if (!all.startsWith("Status: ")) {
            return new Answer(503, ""); // an end without an answer: overloaded
        }
        return new Answer(Integer.parseInt(all.substring(8, 11)), body < 0 ? "" : all.substring(body + 4));
    }

    /** Asks and waits for the answer, for so many milliseconds. */
    public Answer ask(Map<String, String> parameters, String body, int patience) {
        id = id % 30_000 + 1;
        try {
            OutputStream out = socket.getOutputStream();
            out.write(request(id, parameters, body));
            out.flush();
            return answer(patience);
        } catch (SocketTimeoutException e) {
            return new Answer(-1, "");
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }

    private Answer answer(int patience) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        long end = System.nanoTime() + patience * 1_000_000L;
        while (true) {
            socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
            Piece p = piece(in);
            if (p.of == id && p.type == STDOUT) {
                text.writeBytes(p.content);
            } else if (p.of == id && p.type == END) {
                return answer(text.toString(StandardCharsets.UTF_8));
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
