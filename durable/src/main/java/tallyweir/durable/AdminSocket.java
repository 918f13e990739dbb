package tallyweir.durable;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * A Unix domain socket on which operators send commands to the process that has a store open; the store's lock keeps every
 * other process from opening it. Only the process's own user may connect. A connection carries one request, a line of words
 * separated by tabs, and its response: result lines that begin with {@code +}, progress of long work in lines that begin
 * with {@code *}, and finally a line {@code .}, or {@code !} and the reason for the failure. Requests run on threads of
 * their own and do not block writes to the store.
 */
public final class AdminSocket implements AutoCloseable {
    /** The implementation of one command. Runs on a thread of the socket's pool. */
    public interface Command {
        /**
         * @param words the arguments, without the command's name
         * @param line receives each line of the response, which must not contain a line break
         * @param progress receives the progress of long work, in a unit that the command chooses
         */
        void execute(List<String> words, Consumer<String> line, LongConsumer progress) throws IOException;
    }

    private static final int MAX_CONCURRENT_REQUESTS = 4; // requests served at the same time; further ones are refused
    private static final int MAX_REQUEST_CHARS = 16 << 10;
    private static final int REQUEST_TIMEOUT_SECONDS = 5; // for the request line to arrive

    private final Path socket;
    private final Map<String, Command> commands;
    private final ServerSocketChannel server;
    private final Object fileKey;
    private final Semaphore requestPermits = new Semaphore(MAX_CONCURRENT_REQUESTS);
    private final ExecutorService workers = Executors.newCachedThreadPool(r -> daemon(r, "durable admin answers"));
    private final ScheduledExecutorService timeoutExecutor =
            Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "durable admin time-outs"));

    /**
     * Binds the socket and starts to accept connections. An existing file at the path is deleted, so the path must be one
     * that only the holder of the store's lock uses.
     *
     * @throws IOException if the socket cannot be bound: the path is too long (about 100 bytes), or not writable
     */
    public AdminSocket(Path socket, Map<String, Command> commands) throws IOException {
        this.socket = socket;
        this.commands = Map.copyOf(commands);
        Files.deleteIfExists(socket);
        server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        try {
            server.bind(UnixDomainSocketAddress.of(socket));
            Files.setPosixFilePermissions(socket, PosixFilePermissions.fromString("rw-------"));
            fileKey = readFileKey(socket);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw new IOException("no admin socket at " + socket + ": " + e.getMessage(), e);
        }
        daemon(this::acceptConnections, "durable admin socket").start();
    }

    /** Identifies the file itself, as opposed to a later file of the same name. */
    private static Object readFileKey(Path of) throws IOException {
        return Files.readAttributes(of, BasicFileAttributes.class).fileKey();
    }

    private static Thread daemon(Runnable run, String name) {
        Thread t = new Thread(run, name);
        t.setDaemon(true);
        return t;
    }

    private void acceptConnections() {
        while (true) {
            try {
                SocketChannel c = server.accept();
                workers.execute(() -> serve(c));
            } catch (ClosedChannelException | RejectedExecutionException e) {
                return;
            } catch (IOException e) {
                pauseAfterFailure(); // for example, the process has run out of file descriptors
            }
        }
    }

    private static void pauseAfterFailure() {
        try {
            TimeUnit.MILLISECONDS.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(SocketChannel c) {
        boolean permitted = requestPermits.tryAcquire();
        ScheduledFuture<?> timeout = null;
        try (c;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(Channels.newInputStream(c), StandardCharsets.UTF_8));
                BufferedWriter out = new BufferedWriter(
                        new OutputStreamWriter(Channels.newOutputStream(c), StandardCharsets.UTF_8))) {
            timeout = timeoutExecutor.schedule(() -> close(c), REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            String request = readRequest(in);
            timeout.cancel(false);
            respond(request, permitted, out);
        } catch (IOException | UncheckedIOException disconnected) {
            return; // the client disconnected, or sent no complete request in time
        } finally {
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (permitted) {
                requestPermits.release();
            }
        }
    }

    private static void close(SocketChannel c) {
        try {
            c.close();
        } catch (IOException e) {
            return; // the descriptor is closed when the process ends
        }
    }

    private static String readRequest(BufferedReader in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || text.length() >= MAX_REQUEST_CHARS) {
                throw new IOException("no complete request line");
            }
            text.append((char) c);
        }
        return text.toString();
    }

    private void respond(String request, boolean permitted, BufferedWriter out) throws IOException {
        List<String> words = List.of(request.split("\t", -1));
        Command command = commands.get(words.get(0));
        try {
            if (!permitted) {
                throw new IOException("too many requests at once: try again later");
            }
            if (command == null) {
                throw new IOException("not known here: " + words.get(0));
            }
            command.execute(
                    words.subList(1, words.size()),
                    line -> writeLine(out, "+" + line, false),
                    done -> writeLine(out, "*" + done, true));
            writeLine(out, ".", true);
        } catch (IOException | RuntimeException e) {
            if (e instanceof UncheckedIOException disconnected
                    && disconnected.getMessage().equals(CLIENT_DISCONNECTED)) {
                throw disconnected;
            }
            String reason = e instanceof StoreRefusedException r
                    ? r.reason() + ": " + r.getMessage()
                    : String.valueOf(e.getMessage());
            writeLine(out, "!" + reason.replace('\n', ' '), true);
        }
    }

    private static final String CLIENT_DISCONNECTED = "the client disconnected";

    private static void writeLine(BufferedWriter out, String line, boolean flush) {
        try {
            out.write(line);
            out.write('\n');
            if (flush) {
                out.flush();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(CLIENT_DISCONNECTED, e);
        }
    }

    /**
     * Sends a request to the process that listens on an admin socket and passes on its response. Blocks until the response
     * is complete.
     *
     * @param words the command and its arguments, without tabs or line breaks
     * @param line receives each line of the response
     * @param progress receives the progress that the process reports
     * @throws IOException if no process listens there, or with the reason that it gave for refusing
     */
    public static void sendRequest(Path socket, List<String> words, Consumer<String> line, LongConsumer progress)
            throws IOException {
        for (String w : words) {
            if (w.indexOf('\t') >= 0 || w.indexOf('\n') >= 0) {
                throw new IOException("'" + w + "' contains a tab or a line break and cannot be sent");
            }
        }
        try (SocketChannel c = SocketChannel.open(UnixDomainSocketAddress.of(socket));
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(Channels.newInputStream(c), StandardCharsets.UTF_8));
                BufferedWriter out = new BufferedWriter(
                        new OutputStreamWriter(Channels.newOutputStream(c), StandardCharsets.UTF_8))) {
            writeLine(out, String.join("\t", words), true);
            for (String l = in.readLine(); l != null; l = in.readLine()) {
                switch (l.isEmpty() ? ' ' : l.charAt(0)) {
                    case '+' -> line.accept(l.substring(1));
                    case '*' -> progress.accept(Long.parseLong(l.substring(1)));
                    case '.' -> {
                        return;
                    }
                    case '!' -> throw new IOException(l.substring(1));
                    default -> throw new IOException("an answer that cannot be read: " + l);
                }
            }
            throw new IOException(
                    "the process at " + socket + " closed the connection before the response was complete");
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /** Whether a process accepts connections on the socket. */
    public static boolean isListening(Path socket) {
        try (SocketChannel c = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
            return c.isConnected();
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    @Override
    public void close() {
        try {
            server.close();
            if (readFileKey(socket).equals(fileKey)) {
                Files.delete(socket); // but not the socket of a process that has taken the store over since
            }
        } catch (IOException e) {
            return; // the next process that opens the store deletes a file left behind
        } finally {
            workers.shutdownNow();
            timeoutExecutor.shutdownNow();
        }
    }
}
