package tallyweir.tool.bench;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Stream;
import tallyweir.fastcgi.Records;

/** A FastCGI connection with one request at a time that notices when the server closes it. */
final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1_000;
    private static final int STDOUT = 6;
    private static final int END_REQUEST = 3;
    private static final int REQUEST_ID = 1;
    private static final int STATUS_FROM = "Status: ".length();
    private static final int STATUS_TO = STATUS_FROM + 3;
    private static final int OVERLOADED = 503;
    private static final byte[] BODY = "bench ".getBytes(StandardCharsets.UTF_8);

    private final Socket socket = new Socket();
    private final DataInputStream in;

    CallerConnection(int port) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    }

    /** Waits for so long and returns whether the server has closed meanwhile. Nothing is owed on it. */
    boolean closesWithin(int millis) {
        try {
            socket.setSoTimeout(millis);
            return in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Sends a query and returns the status of its answer. */
    int ask(Arrival arrival, int caller, int patienceMillis) throws IOException {
        socket.setSoTimeout(patienceMillis);
        socket.getOutputStream().write(Records.query(REQUEST_ID, BODY, fields(arrival, caller)));
        StringBuilder text = new StringBuilder();
        while (true) {
            in.readUnsignedByte();
            int type = in.readUnsignedByte();
            in.readUnsignedShort();
            byte[] content = new byte[in.readUnsignedShort()];
            int padding = in.readUnsignedByte();
            in.readUnsignedByte();
            in.readFully(content);
            in.skipNBytes(padding);
            if (type == STDOUT) {
                text.append(new String(content, StandardCharsets.ISO_8859_1));
            } else if (type == END_REQUEST) {
                return text.length() < STATUS_TO
                        ? OVERLOADED
                        : Integer.parseInt(text.substring(STATUS_FROM, STATUS_TO));
            }
        }
    }

    private static String[] fields(Arrival arrival, int caller) {
        Map<String, String> parameters = SidecarTarget.parameters(arrival, caller);
        return parameters.entrySet().stream()
                .flatMap(field -> Stream.of(field.getKey(), field.getValue()))
                .toArray(String[]::new);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            return; // it is closed all the same
        }
    }
}
