package tallyweir.tool.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import tallyweir.stand.FailingCalls;
import tallyweir.stand.FailingCalls.Call;
import tallyweir.stand.FaultRelay;
import tallyweir.stand.History;
import tallyweir.stand.LoadSettings;
import tallyweir.stand.PipelinedCaller;
import tallyweir.stand.RequestLog;
import tallyweir.stand.SequentialCaller;
import tallyweir.stand.SilentClient;
import tallyweir.stand.StandInKernel;
import tallyweir.tool.Program;

/** One backend of a soak with its kernel, the relays between them, and its callers. */
final class SoakBackend implements AutoCloseable {
    /** The longest deadline of {@link Program#config}, and what the operators leave beyond it. */
    static final int STOP_MS = 1_500 + 700;

    static final int GRACE_MS = 500; // of the same configuration
    private static final int CORES = 4;
    private static final int SOCKETS = 192;
    private static final int PATIENCE_MS = 1_400;
    private static final int RUN_MOST_MS = 40;
    private static final int FORCE_EVERY_MS = 2;
    private static final long WINDOW_US = 3_600_000_000L;
    private static final LoadSettings READS = new LoadSettings("look", false, PATIENCE_MS);
    private static final LoadSettings KEYED = new LoadSettings("reset", true, PATIENCE_MS);

    private final Path directory;
    private final long seed;
    private final History history = new History();
    private final RequestLog log;
    private final BackendLife life = new BackendLife();
    private final StandInKernel kernel;
    private final List<FaultRelay> relays = new ArrayList<>();
    private final List<Integer> relayPorts = new ArrayList<>();
    private final FailingCalls calls;
    private final Program program;
    private final List<AutoCloseable> callers = new ArrayList<>();
    private int relay; // which one the backend is told of
    private int failingSeed;
    private long otherFaults;

    /** @param keepsResults whether it keeps results over restarts in a folder */
    SoakBackend(Path directory, long seed, boolean keepsResults) throws IOException, InterruptedException {
        this.directory = Files.createDirectories(directory);
        this.seed = seed;
        log = new RequestLog(seed);
        kernel = new StandInKernel(history, CORES, seed, chance -> chance.nextInt(1, RUN_MOST_MS) * 1_000);
        for (int i = 0; i < 2; i++) {
            InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            relays.add(new FaultRelay(at, SequentialCaller.loopback(kernel.port())));
            relayPorts.add(at.getPort());
        }
        calls = FailingCalls.create(directory);
        writeConfig();
        Files.writeString(
                directory.resolve("operators.json"),
                "{\"results\":{\"bound_mb\":8},\"durable\":{\"dir\":\"" + directory.resolve("store")
                        + "\",\"segment_mb\":1,\"force_every_ms\":" + FORCE_EVERY_MS + "}}");
        program = new Program(directory, keepsResults, List.of());
        program.environment(calls.environment());
        program.start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private void writeConfig() throws IOException {
        Path next = directory.resolve("config.next");
        Files.writeString(next, Program.config(relayPorts.get(relay), seed, CORES, WINDOW_US, SOCKETS, STOP_MS));
        Files.move(
                next,
                directory.resolve("config.json"),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    /** Callers of every manner within the bounds of the protocol, and silent clients. */
    void beginCallers() {
        InetSocketAddress at = SequentialCaller.loopback(program.port());
        steady(at, 8, READS, new SequentialCaller.Profile("new connections", true, 1, 0, 10));
        steady(at, 8, READS, new SequentialCaller.Profile("kept connections", false, 1, 0, 25));
        steady(at, 4, READS, new SequentialCaller.Profile("in pieces", false, 4, 4, 25));
        steady(at, 4, KEYED, new SequentialCaller.Profile("keyed", false, 1, 0, 25));
        for (int i = 0; i < 2; i++) {
            callers.add(new PipelinedCaller(at, new PipelinedCaller.Profile("pipelined", 8, 5, 0), READS, log));
        }
        callers.add(new SilentClient(at, 10));
    }

    private void steady(InetSocketAddress at, int number, LoadSettings settings, SequentialCaller.Profile manner) {
        for (int i = 0; i < number; i++) {
            callers.add(new SequentialCaller(at, manner, settings, log));
        }
    }

    void play(SoakStep step) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(step.afterMs());
        otherFaults += step.kind() == SoakStep.Kind.FAILING_CALL ? 0 : 1;
        switch (step.kind()) {
            case FAILING_CALL -> fail(step);
            case STOP -> stop(step);
            case KILL -> kill();
            case PAUSE -> pause(step.amount());
            case RELOAD -> reload();
            case KERNEL_BREAK -> breakLink();
            case KERNEL_HOLD -> holdLink(step.amount());
            case WALL_STEP -> calls.setWallClockOffset(step.amount());
            case FOLDER_REFUSES -> refuseFolder(step.amount());
        }
    }

    private void fail(SoakStep step) {
        calls.restoreAll();
        begin(step.call(), step.oneIn());
    }

    private void begin(Call call, int oneIn) {
        calls.fail(call, oneIn, ++failingSeed, SoakPlan.ways(call));
    }

    private void stop(SoakStep step) throws IOException, InterruptedException {
        long noticed = System.nanoTime();
        program.terminate();
        sleepUntil(noticed, step.amount());
        begin(step.call(), step.oneIn());
        sleepUntil(noticed, STOP_MS);
        long killed = System.nanoTime();
        program.kill();
        life.died(noticed, killed, System.nanoTime());
        startAgain();
    }

    private static void sleepUntil(long from, long milliseconds) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(from + TimeUnit.MILLISECONDS.toNanos(milliseconds) - System.nanoTime());
    }

    private void kill() throws IOException, InterruptedException {
        long killed = System.nanoTime();
        program.kill();
        life.died(0, killed, System.nanoTime());
        startAgain();
    }

    private void startAgain() throws IOException, InterruptedException {
        calls.restoreAll();
        calls.setWallClockOffset(0);
        program.start();
    }

    private void pause(int milliseconds) throws IOException, InterruptedException {
        long began = System.nanoTime();
        program.pause();
        TimeUnit.MILLISECONDS.sleep(milliseconds);
        program.resume();
        life.stood(began, System.nanoTime());
    }

    private void reload() throws IOException, InterruptedException {
        relay = 1 - relay;
        writeConfig();
        program.reload();
    }

    private void breakLink() {
        relays.forEach(FaultRelay::resetAll);
        relays.forEach(FaultRelay::endFaults);
    }

    private void holdLink(int milliseconds) throws InterruptedException {
        relays.forEach(of -> of.stall(true, true));
        TimeUnit.MILLISECONDS.sleep(milliseconds);
        relays.forEach(FaultRelay::endFaults);
    }

    private void refuseFolder(int milliseconds) throws InterruptedException {
        begin(Call.FILE_WRITE, 1);
        begin(Call.FILE_SYNC, 1);
        TimeUnit.MILLISECONDS.sleep(milliseconds);
        calls.restore(Call.FILE_WRITE);
        calls.restore(Call.FILE_SYNC);
    }

    /** Callers stop, and what they have sent has ended. */
    SoakVerdict verdict() throws Exception {
        calls.restoreAll();
        for (AutoCloseable caller : callers) {
            caller.close();
        }
        callers.clear();
        return new SoakJudge(log, history, life, GRACE_MS).verdict(calls.failureCount(), otherFaults);
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable caller : callers) {
            caller.close();
        }
        program.close();
        for (FaultRelay of : relays) {
            of.close();
        }
        kernel.close();
        log.close();
    }
}
