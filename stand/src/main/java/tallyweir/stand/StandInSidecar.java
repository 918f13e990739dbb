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
import java.util.concurrent.TimeUnit;

/** A sidecar's FastCGI 1.0 connection with one request at a time. Not thread-safe. */
public final class StandInSidecar implements AutoCloseable {
    /**
     * An answer.
     *
     * @param status the HTTP status, 0 if the connection broke, -1 if no answer arrived in time
     */
    public record Answer(int status, String body) {}

    private static final int BEGIN_REQUEST = 1;
    static final int END_REQUEST = 3;
    private static final int PARAMS = 4;
    private static final int STDIN = 5;
    static final int STDOUT = 6;

    private final Socket socket = new Socket();
    private int lastId;

    /** Connects to a port on loopback. */
    public StandInSidecar(int port) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setTcpNoDelay(true);
    }

    static void writeRecord(ByteArrayOutputStream out, int type, int id, byte[] content) {
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

    private static void writeLength(ByteArrayOutputStream out, int length) {
        if (length < 128) {
            out.write(length);
        } else {
            out.write(length >> 24 | 0x80);
            out.write(length >> 16);
            out.write(length >> 8);
            out.write(length);
        }
    }

    /** Encodes a complete request. */
    static byte[] encodeRequest(int id, Map<String, String> parameters, String body) {
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        parameters.forEach((name, value) -> {
            writeLength(params, name.length());
            writeLength(params, value.length());
            params.writeBytes(name.getBytes(StandardCharsets.UTF_8));
            params.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        });
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeRecord(out, BEGIN_REQUEST, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        writeRecord(out, PARAMS, id, params.toByteArray());
        writeRecord(out, PARAMS, id, new byte[0]);
        writeRecord(out, STDIN, id, body.getBytes(StandardCharsets.UTF_8));
        writeRecord(out, STDIN, id, new byte[0]);
        return out.toByteArray();
    }

    /** A FastCGI record. */
    record FastCgiRecord(int type, int requestId, byte[] content) {}

    /** Reads the next record; blocks until it is complete. */
    static FastCgiRecord readRecord(DataInputStream in) throws IOException {
        in.readUnsignedByte();
        int type = in.readUnsignedByte();
        int requestId = in.readUnsignedShort();
        byte[] content = new byte[in.readUnsignedShort()];
        int padding = in.readUnsignedByte();
        in.readUnsignedByte();
        in.readFully(content);
        in.skipNBytes(padding);
        return new FastCgiRecord(type, requestId, content);
    }

    /** Parses the output of a request. */
    static Answer answer(String output) {
        int headerEnd = output.indexOf("\r\n\r\n");
        if (!output.startsWith("Status: ")) {
            return new Answer(503, ""); // an empty output means that the server is overloaded
        }
        return new Answer(
                Integer.parseInt(output.substring(8, 11)), headerEnd < 0 ? "" : output.substring(headerEnd + 4));
    }

    /** Sends a request and waits for its answer. */
    public Answer exchange(Map<String, String> parameters, String body, int timeoutMs) {
        return exchangeSlowly(parameters, body, 1, 0, timeoutMs);
    }

    /**
     * Sends a request in equal chunks and waits for its answer.
     *
     * @param chunkDelayMs the delay between two chunks
     * @param timeoutMs how long it waits after the last chunk
     */
    public Answer exchangeSlowly(
            Map<String, String> parameters, String body, int chunks, int chunkDelayMs, int timeoutMs) {
        lastId = lastId % 30_000 + 1;
        byte[] request = encodeRequest(lastId, parameters, body);
        try {
            OutputStream out = socket.getOutputStream();
            for (int chunk = 0; chunk < chunks; chunk++) {
                TimeUnit.MILLISECONDS.sleep(chunk == 0 ? 0 : chunkDelayMs);
                int from = request.length * chunk / chunks;
                out.write(request, from, request.length * (chunk + 1) / chunks - from);
                out.flush();
            }
            return answer(timeoutMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "");
        } catch (SocketTimeoutException e) {
            return new Answer(-1, "");
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }

    private Answer answer(int timeoutMs) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
        while (true) {
            socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            FastCgiRecord read = readRecord(in);
            if (read.requestId == lastId && read.type == STDOUT) {
                text.writeBytes(read.content);
            } else if (read.requestId == lastId && read.type == END_REQUEST) {
                return answer(text.toString(StandardCharsets.UTF_8));
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
