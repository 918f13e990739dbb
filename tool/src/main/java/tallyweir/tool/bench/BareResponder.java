package tallyweir.tool.bench;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tallyweir.fastcgi.FastCgiReader;
import tallyweir.fastcgi.Records;
import tallyweir.fastcgi.RequestFields;
import tallyweir.ids.RequestId;

/**
 * The baseline of a bench: a process that answers FastCGI requests by itself after the time that the stand-in kernel would
 * take, with no program between. It keeps nothing, decides nothing and calls no store.
 */
public final class BareResponder {
    private static final int BACKLOG = 256;
    private static final int READ_BYTES = 8 << 10;
    private static final int RUN_PARTS = 1 + StandInPeers.CALLS_PER_RUN;
    private static final byte[] RESULT = "bench#1 ".getBytes(StandardCharsets.UTF_8);

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final ServerSocket listener;

    private BareResponder(int port) throws IOException {
        listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
    }

    /** Listens on the loopback port that is its one argument, until it is killed. */
    public static void main(String[] args) throws IOException {
        new BareResponder(Integer.parseInt(args[0])).accept();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Thread thread = new Thread(() -> serve(socket), "connection");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void serve(Socket socket) {
        Connection connection = new Connection(socket);
        byte[] buffer = new byte[READ_BYTES];
        try (socket;
                InputStream in = socket.getInputStream()) {
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                connection.read(ByteBuffer.wrap(buffer, 0, read));
            }
        } catch (IOException e) {
            return; // the other side has gone
        }
    }

    /** One connection: each request on it is answered when its run would have ended. */
    private final class Connection implements FastCgiReader.Sink {
        private final FastCgiReader reader = new FastCgiReader(this);
        private final Socket socket;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        private synchronized void read(ByteBuffer bytes) {
            reader.read(bytes);
        }

        @Override
        public boolean onBegin(RequestId id) {
            return true;
        }

        @Override
        public void onRequest(RequestId id, RequestFields fields, byte[] body, boolean keepConnection) {
            runPart(id, RUN_PARTS);
        }

        private void runPart(RequestId id, int partsLeft) {
            Runnable next = partsLeft == 1 ? () -> answer(id) : () -> runPart(id, partsLeft - 1);
            timer.schedule(next, StandInPeers.RUN_PART_MICROS, TimeUnit.MICROSECONDS);
        }

        private synchronized void answer(RequestId id) {
            reader.release(id);
            write(Records.answer(id, 200, "", RESULT));
        }

        private synchronized void write(byte[] bytes) {
            try {
                socket.getOutputStream().write(bytes);
            } catch (IOException e) {
                reader.stop(); // the other side has gone
            }
        }

        @Override
        public void onRefused(RequestId id, FastCgiReader.Refusal why, boolean keepConnection) {
            reader.release(id);
            write(Records.overloaded(id));
        }

        @Override
        public void onAbort(RequestId id) {
            reader.release(id);
            write(Records.endWithoutAnswer(id));
        }

        @Override
        public void onManagementReply(byte[] record) {
            write(record);
        }

        @Override
        public void onInvalidStream(String why) {
            reader.stop();
        }
    }
}
