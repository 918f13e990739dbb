package tallyweir.stand;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for the store, on loopback: it answers every call with success and records which jobs have called. */
public final class StandInStore implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final Set<String> jobs = ConcurrentHashMap.newKeySet();

    /** Starts listening on a free port. */
    public StandInStore() throws IOException {
        startThread(this::accept);
    }

    private static void startThread(Runnable run) {
        Thread thread = new Thread(run, "stand-in store");
        thread.setDaemon(true);
        thread.start();
    }

    /** The host and port on which it listens. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Whether a job of this id has called the store. */
    public boolean hasCalled(String job) {
        return jobs.contains(job);
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = server.accept();
                startThread(() -> serve(accepted));
            }
        } catch (IOException e) {
            return; // the store was closed
        }
    }

    private void serve(Socket socket) {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
            OutputStream out = socket.getOutputStream();
            for (String line = readLine(in); line != null; line = readLine(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("CALL")) {
                    in.skipNBytes(Integer.parseInt(words[3]) + 2);
                    jobs.add(words[1]);
                    out.write((words[1] + " OK 2\r\nok\r\n").getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            return; // the client has disconnected
        }
    }

    private static String readLine(DataInputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString().strip();
            }
            line.append((char) c);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
