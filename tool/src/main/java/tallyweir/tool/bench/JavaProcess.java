package tallyweir.tool.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A Java process on this class path that listens on a loopback port, with the flags of a deployed server. */
final class JavaProcess implements AutoCloseable {
    private static final long START_NANOS = 30_000_000_000L;
    private static final int CONNECT_MILLIS = 200;
    private static final int POLL_MILLIS = 5;

    private final Process process;
    private final int port;

    private JavaProcess(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /** A port that nobody listens on at the moment. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return socket.getLocalPort();
        }
    }

    /** The command line of a Java process on this class path. */
    static List<String> command(int heapMb, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss256k", "-Xmx" + heapMb + "m"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(arguments);
        return command;
    }

    /** Starts it and returns once it accepts connections on the port. */
    static JavaProcess start(List<String> command, Map<String, String> environment, int port, Path log)
            throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        JavaProcess started = new JavaProcess(builder.start(), port);
        try {
            started.awaitListening(log);
        } catch (IOException e) {
            started.close();
            throw e;
        }
        return started;
    }

    private void awaitListening(Path log) throws IOException, InterruptedException {
        long end = System.nanoTime() + START_NANOS;
        while (!accepts()) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IOException("a process does not start: see " + log);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private boolean accepts() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    int port() {
        return port;
    }

    ProcessUsage usage() throws IOException {
        return ProcessUsage.of(process.pid());
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
