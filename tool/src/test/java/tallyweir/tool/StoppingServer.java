package tallyweir.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import tallyweir.stand.FailingCalls;
import tallyweir.stand.LoadSettings;
import tallyweir.stand.PipelinedCaller;
import tallyweir.stand.RequestLog;
import tallyweir.stand.RequestOutcome;
import tallyweir.stand.SequentialCaller;
import tallyweir.stand.SilentClient;
import tallyweir.stand.StandInKernel;

/** One server in a process of its own whose system calls may fail, under callers that go on until it is killed. */
final class StoppingServer implements AutoCloseable {
    /** The longest deadline of {@link Program#config} and what the operators leave beyond it. */
    static final int EARLIEST_STOP_MS = 1_500 + 700;

    static final int SOCKETS = 256;
    private static final int CORES = 4;
    private static final int PATIENCE_MS = 1_400;
    private static final LoadSettings READS = new LoadSettings("look", false, PATIENCE_MS);

    private final Path directory;
    private final StandInKernel kernel;
    private final Program program;
    private final FailingCalls calls;
    private final RequestLog log;
    private final List<AutoCloseable> callers = new ArrayList<>();
    private final int stopMs;
    private long noticed;
    private long killed;

    StoppingServer(Path directory, long seed, int stopMs, int sockets) throws IOException, InterruptedException {
        this.directory = directory;
        this.stopMs = stopMs;
        log = new RequestLog(seed);
        kernel = new StandInKernel(null, CORES, seed, chance -> chance.nextInt(1, 40) * 1_000);
        calls = FailingCalls.create(directory);
        Files.writeString(
                directory.resolve("config.json"),
                Program.config(kernel.port(), seed, CORES, 3_600_000_000L, sockets, stopMs));
        program = new Program(directory, false, List.of());
        program.environment(calls.environment());
        program.start();
    }

    FailingCalls calls() {
        return calls;
    }

    Program program() {
        return program;
    }

    private InetSocketAddress address() {
        return SequentialCaller.loopback(program.port());
    }

    void callers(int number, SequentialCaller.Profile manner) {
        for (int i = 0; i < number; i++) {
            callers.add(new SequentialCaller(address(), manner, READS, log));
        }
    }

    void pipelinedCallers(int number, PipelinedCaller.Profile manner) {
        for (int i = 0; i < number; i++) {
            callers.add(new PipelinedCaller(address(), manner, READS, log));
        }
    }

    void silentClients(int connections) {
        callers.add(new SilentClient(address(), connections));
    }

    /** Gives notice, waits as long as the server has, kills it, and waits until all callers know what became of their requests. */
    void stopAndKill() throws Exception {
        notice();
        killAtTheStop();
    }

    void notice() throws IOException {
        noticed = System.nanoTime();
        program.terminate();
    }

    /** Waits until so many milliseconds after the notice. */
    void awaitSinceNotice(long milliseconds) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(noticed + TimeUnit.MILLISECONDS.toNanos(milliseconds) - System.nanoTime());
    }

    void killAtTheStop() throws Exception {
        awaitSinceNotice(stopMs);
        killed = System.nanoTime();
        program.kill();
        for (AutoCloseable caller : callers) {
            caller.close();
        }
        callers.clear();
    }

    /** What callers were owed and did not get. */
    List<RequestOutcome> lost() {
        return log.lost(killed);
    }

    /** The requests lost and the server's own log, for a failed check. */
    String report() {
        String counts = log.countByEnd() + ", calls failed " + calls.failureCount();
        try {
            return counts + RequestLog.describe(lost(), killed) + "\n"
                    + Files.readString(directory.resolve("program.log"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    RequestLog log() {
        return log;
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable caller : callers) {
            caller.close();
        }
        program.close();
        kernel.close();
        log.close();
    }
}
