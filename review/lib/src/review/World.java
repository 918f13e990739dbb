package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What all stand-ins share: the requests, the record and what was found broken. */
final class World implements AutoCloseable {
    final Map<String, Req> requests = new ConcurrentHashMap<>();
    final List<String> broken = new CopyOnWriteArrayList<>();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();

    World(Path file) {
        try {
            record = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    void note(String text) {
        synchronized (record) {
            record.printf("%9.4f %s%n", seconds(), text);
        }
    }

    void broken(String text) {
        broken.add(text);
        note("BROKEN: " + text);
    }

    @Override
    public void close() {
        synchronized (record) {
            record.close();
        }
    }
}
