package rig;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the time since the start. */
public final class Log implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    public Log(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    public synchronized void line(String text) {
        out.printf("%9.3f %s%n", (System.nanoTime() - start) / 1e9, text);
    }

    /** Also to standard output. */
    public void say(String text) {
        System.out.println(text);
        line(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
