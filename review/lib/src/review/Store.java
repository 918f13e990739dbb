package review;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A store that answers each call well, with a reply that names the call. */
final class Store implements AutoCloseable {
    private final World world;
    private final ServerSocket server = new ServerSocket();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    private final SplittableRandom random = new SplittableRandom(1);
    private final int leastMs;
    private final int mostMs;

    Store(World world, int leastMs, int mostMs) throws IOException {
        this.world = world;
        this.leastMs = leastMs;
        this.mostMs = mostMs;
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
        start(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    start(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static void start(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return server.getLocalPort();
    }

    private static String line(DataInputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.readUnsignedByte(); c != '\n'; c = in.readUnsignedByte()) {
            text.append((char) c);
        }
        return text.toString().strip();
    }

    private void serve(Socket socket) {
        try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
            while (true) {
                String[] words = line(in).split(" ");
                if (!words[0].equals("CALL")) {
                    continue;
                }
                byte[] body = in.readNBytes(Integer.parseInt(words[3]));
                in.readNBytes(2);
                String text = "reply to " + new String(body, StandardCharsets.ISO_8859_1);
                long delay;
                synchronized (random) {
                    delay = random.nextInt(leastMs * 1_000, mostMs * 1_000 + 1);
                }
                timer.schedule(() -> send(socket, words[1], text), delay, TimeUnit.MICROSECONDS);
            }
        } catch (IOException e) {
            return;
        }
    }

    private void send(Socket socket, String job, String text) {
        try {
            synchronized (socket) {
                socket.getOutputStream()
                        .write((job + " OK " + text.length() + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            world.note("store: OK to " + text.substring("reply to ".length()));
        } catch (IOException e) {
            return; // the call was given up
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        timer.shutdownNow();
    }
}
