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

/** The store's side of its links, played on loopback: every call goes well, and whose it was is remembered. */
public final class StandStore implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final Set<String> jobs = ConcurrentHashMap.newKeySet();

    public StandStore() throws IOException {
        thread(this::accept);
    }

    private static void thread(Runnable run) {
        Thread t = new Thread(run, "stand-in store");
        t.setDaemon(true);
        t.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Whether a query of this name has called here. */
    public boolean called(String job) {
        return jobs.contains(job);
    }

    private void accept() {
        try {
            while (true) {
                Socket s = server.accept();
                thread(() -> serve(s));
            }
        } catch (IOException e) {
            return; // closed
        }
    }

    private void serve(Socket s) {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream()))) {
            OutputStream out = s.getOutputStream();
            for (String line = line(in); line != null; line = line(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("CALL")) {
                    in.skipNBytes(Integer.parseInt(words[3]) + 2);
                    jobs.add(words[1]);
                    out.write((words[1] + " OK 2\r\nok\r\n").getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            return; // the other side has gone
        }
    }

    private static String line(DataInputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return s.toString().strip();
            }
            s.append((char) c);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
