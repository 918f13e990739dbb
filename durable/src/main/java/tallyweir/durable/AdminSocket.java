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
 * Where operators ask a process that holds a store, since its lock keeps every other process out: a socket of the file
 * system, open to the process's own user. A connection is one question, a line of words with tabs between them, and its
 * answer: lines that begin with {@code +}, how far long work has come behind {@code *}, and at last {@code .}, or
 * {@code !} and why not. No question holds up the writing of the store.
 */
public final class AdminSocket implements AutoCloseable {
    /** What answers one kind of question. */
    public interface Command {
        /**
         * @param words behind the first one
         * @param line takes a line of the answer, without an end of line in it
         * @param progress takes how far long work has come, in whatever it counts
         */
        void answer(List<String> words, Consumer<String> line, LongConsumer progress) throws IOException;
    }

    private static final int AT_ONCE = 4; // questions that are answered; one more is told to come again
    private static final int LONGEST = 16 << 10; // characters of a question
    private static final int QUESTION_SECONDS = 5; // until it has been asked

    private final Path socket;
    private final Map<String, Command> commands;
    private final ServerSocketChannel server;
    private final Object file;
    private final Semaphore room = new Semaphore(AT_ONCE);
    private final ExecutorService workers = Executors.newCachedThreadPool(r -> daemon(r, "durable admin answers"));
    private final ScheduledExecutorService patience =
            Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "durable admin time-outs"));

    /**
     * Opens it. What lies at the place is taken away, so it has to be one that only the holder of the store's lock uses.
     *
     * @throws IOException where there can be no socket: the path is too long for one (about 100 bytes), or not writable
     */
    public AdminSocket(Path socket, Map<String, Command> commands) throws IOException {
        this.socket = socket;
        this.commands = Map.copyOf(commands);
        Files.deleteIfExists(socket);
        server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        try {
            server.bind(UnixDomainSocketAddress.of(socket));
            Files.setPosixFilePermissions(socket, PosixFilePermissions.fromString("rw-------"));
            file = key(socket);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw new IOException("no admin socket at " + socket + ": " + e.getMessage(), e);
        }
        daemon(this::accept, "durable admin socket").start();
    }

    /** What tells one file from a later one of the same name. */
    private static Object key(Path of) throws IOException {
        return Files.readAttributes(of, BasicFileAttributes.class).fileKey();
    }

    private static Thread daemon(Runnable run, String name) {
        Thread t = new Thread(run, name);
        t.setDaemon(true);
        return t;
    }

    private void accept() {
        while (true) {
            try {
                SocketChannel c = server.accept();
                workers.execute(() -> serve(c));
            } catch (ClosedChannelException | RejectedExecutionException e) {
                return;
            } catch (IOException e) {
                rest(); // no descriptor is left, say
            }
        }
    }

    private static void rest() {
        try {
            TimeUnit.MILLISECONDS.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(SocketChannel c) {
        boolean mine = room.tryAcquire();
        ScheduledFuture<?> late = null;
        try (c;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(Channels.newInputStream(c), StandardCharsets.UTF_8));
                BufferedWriter out = new BufferedWriter(
                        new OutputStreamWriter(Channels.newOutputStream(c), StandardCharsets.UTF_8))) {
            late = patience.schedule(() -> close(c), QUESTION_SECONDS, TimeUnit.SECONDS);
            String question = question(in);
            late.cancel(false);
            answer(question, mine, out);
        } catch (IOException | UncheckedIOException gone) {
            return; // whoever asked has left, or never asked
        } finally {
            if (late != null) {
                late.cancel(false);
            }
            if (mine) {
                room.release();
            }
        }
    }

    private static void close(SocketChannel c) {
        try {
            c.close();
        } catch (IOException e) {
            return; // the end of the process closes it
        }
    }

    private static String question(BufferedReader in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || text.length() >= LONGEST) {
                throw new IOException("no question");
            }
            text.append((char) c);
        }
        return text.toString();
    }

    private void answer(String question, boolean mine, BufferedWriter out) throws IOException {
        List<String> words = List.of(question.split("\t", -1));
        Command command = commands.get(words.get(0));
        try {
            if (!mine) {
                throw new IOException("too many ask at once: come again");
            }
            if (command == null) {
                throw new IOException("not known here: " + words.get(0));
            }
            command.answer(
                    words.subList(1, words.size()),
                    line -> say(out, "+" + line, false),
                    far -> say(out, "*" + far, true));
            say(out, ".", true);
        } catch (IOException | RuntimeException e) {
            if (e instanceof UncheckedIOException gone && gone.getMessage().equals(GONE)) {
                throw gone;
            }
            String why = e instanceof Refused r ? r.why() + ": " + r.getMessage() : String.valueOf(e.getMessage());
            say(out, "!" + why.replace('\n', ' '), true);
        }
    }

    private static final String GONE = "whoever asked has gone";

    private static void say(BufferedWriter out, String line, boolean now) {
        try {
            out.write(line);
            out.write('\n');
            if (now) {
                out.flush();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(GONE, e);
        }
    }

    /**
     * Asks the process that has an admin socket at a place.
     *
     * @throws IOException where nobody answers there, or with what it says why not
     */
    public static void ask(Path socket, List<String> words, Consumer<String> line, LongConsumer progress)
            throws IOException {
        for (String w : words) {
            if (w.indexOf('\t') >= 0 || w.indexOf('\n') >= 0) {
                throw new IOException("'" + w + "' cannot be asked about: it has a tab or an end of line in it");
            }
        }
        try (SocketChannel c = SocketChannel.open(UnixDomainSocketAddress.of(socket));
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(Channels.newInputStream(c), StandardCharsets.UTF_8));
                BufferedWriter out = new BufferedWriter(
                        new OutputStreamWriter(Channels.newOutputStream(c), StandardCharsets.UTF_8))) {
            say(out, String.join("\t", words), true);
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
            throw new IOException("the process at " + socket + " ended before it had answered");
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /** Whether somebody answers there. */
    public static boolean answers(Path socket) {
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
            if (key(socket).equals(file)) {
                Files.delete(socket); // and not that of whoever has taken the store over
            }
        } catch (IOException e) {
            return; // what is left is taken away by the next process that opens the store
        } finally {
            workers.shutdownNow();
            patience.shutdownNow();
        }
    }
}
