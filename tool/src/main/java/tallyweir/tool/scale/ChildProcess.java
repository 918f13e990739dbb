package tallyweir.tool.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A Java process of a live run, which answers each line on its input with one line; it ends when its input ends. */
final class ChildProcess implements AutoCloseable {
    private static final int END_SECONDS = 5;

    private final Process process;
    private final PrintWriter to;
    private final BufferedReader from;

    private ChildProcess(Process process) {
        this.process = process;
        to = new PrintWriter(process.getOutputStream(), true, StandardCharsets.UTF_8);
        from = process.inputReader(StandardCharsets.UTF_8);
    }

    /** Starts one with the main class and arguments given, and its log in a file. */
    static ChildProcess start(Class<?> main, int heapMegabytes, Path log, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx" + heapMegabytes + "m",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        command.addAll(arguments);
        return new ChildProcess(
                new ProcessBuilder(command).redirectError(log.toFile()).start());
    }

    /** In a process that was started here: where its answers go. All else that is printed goes into its log. */
    static PrintStream answers() {
        PrintStream answers = System.out;
        System.setOut(System.err);
        return answers;
    }

    /** Sends a line and waits for the line that answers it. */
    String ask(String line) throws IOException {
        to.println(line);
        String answer = from.readLine();
        if (answer == null) {
            throw new IOException("a process of the run has ended: it was asked '" + line + "'");
        }
        return answer;
    }

    /** Sends a line and returns the numbers that answer it. */
    long[] numbers(String line) throws IOException {
        String[] parts = ask(line).trim().split(" ");
        long[] numbers = new long[parts.length];
        for (int i = 0; i < parts.length; i++) {
            numbers[i] = Long.parseLong(parts[i]);
        }
        return numbers;
    }

    @Override
    public void close() {
        to.close();
        try {
            if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
