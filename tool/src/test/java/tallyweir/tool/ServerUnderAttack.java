package tallyweir.tool;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import tallyweir.stand.LoadSettings;
import tallyweir.stand.RequestLog;
import tallyweir.stand.RequestOutcome;
import tallyweir.stand.SequentialCaller;
import tallyweir.stand.StandInKernel;

/** A server on one core with sound callers, whose requests have to be answered in time whatever other clients do. */
final class ServerUnderAttack implements AutoCloseable {
    /** The memory that the platform allows a server. */
    static final int MEMORY_LIMIT_MB = 192;

    private static final String SETTINGS = """
            {"name":"n3","kernel":"127.0.0.1:%d","store":"127.0.0.1:9","announce":"127.0.0.1:9","seed":"8c1f30d27a5be964",
             "stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "settings":{"Classes":[{"Name":"look","Effect":"safe","TargetUs":1800000,"DeadlineUs":4600000,"Worth":1},
              {"Name":"reset","Effect":"keyed","TargetUs":1800000,"DeadlineUs":4600000,"Worth":3,"RepeatWindowUs":5000000},
              {"Name":"charge","Effect":"unsafe","TargetUs":1800000,"DeadlineUs":4600000,"Worth":2}],
              "FamilyInfo":{"Cpus":6,"MemLimitKb":27330,"RunMemFactor":8,"EntryKb":108.64,"Halt":"abort","IdleUs":30000000,
               "PassesDeadline":true,"TellsGone":true,"ClassCalls":[false,false,false],
               "Gauges":["core_use","on_cores","heap_share","links"]},
              "Permissions":{"RetryAfter":true,"MaxRetryAfterUs":1000000},"RoundUs":5000,
              "Rules":{"AnswerSlackUs":60000,"DrainGraceUs":2500000,"FallMultiple":8,"FallUs":3000000}}}
            """;
    private static final int CORES = 6;
    private static final int RUN_US = 10_000;
    private static final int TIMEOUT_MS = 1_500;
    private static final LoadSettings READS = new LoadSettings("look", false, TIMEOUT_MS);
    private static final LoadSettings WRITES = new LoadSettings("reset", true, TIMEOUT_MS);
    private static final SequentialCaller.Profile KEPT_CONNECTION =
            new SequentialCaller.Profile("kept connection", false, 1, 0, 50);
    private static final SequentialCaller.Profile NEW_CONNECTIONS =
            new SequentialCaller.Profile("new connections", true, 1, 0, 50);
    private static final int CALLERS_OF_EACH_KIND = 5;

    private final AtomicInteger runs = new AtomicInteger();
    private final StandInKernel kernel;
    private final DeployedServer server;
    private final RequestLog log;
    private final List<AutoCloseable> clients = new ArrayList<>();
    private final List<AutoCloseable> soundCallers = new ArrayList<>();

    ServerUnderAttack(Path directory, long seed) throws IOException, InterruptedException {
        this(directory, seed, RUN_US);
    }

    /** @param firstRunUs how long the first run takes, in microseconds */
    ServerUnderAttack(Path directory, long seed, int firstRunUs) throws IOException, InterruptedException {
        log = new RequestLog(seed);
        kernel = new StandInKernel(null, CORES, seed, random -> runs.getAndIncrement() == 0 ? firstRunUs : RUN_US);
        Files.writeString(directory.resolve("config.json"), String.format(SETTINGS, kernel.port()));
        server = new DeployedServer(directory);
    }

    InetSocketAddress address() {
        return server.address();
    }

    DeployedServer server() {
        return server;
    }

    StandInKernel kernel() {
        return kernel;
    }

    void startSoundCallers() {
        for (int i = 0; i < CALLERS_OF_EACH_KIND; i++) {
            soundCallers.add(new SequentialCaller(address(), KEPT_CONNECTION, READS, log));
            soundCallers.add(new SequentialCaller(address(), KEPT_CONNECTION, WRITES, log));
            soundCallers.add(new SequentialCaller(address(), NEW_CONNECTIONS, READS, log));
        }
    }

    /** Closed before the sound callers. */
    void attackWith(AutoCloseable client) {
        clients.add(client);
    }

    void endAttack() throws Exception {
        for (AutoCloseable client : clients) {
            client.close();
        }
        clients.clear();
    }

    void stopSoundCallers() throws Exception {
        for (AutoCloseable caller : soundCallers) {
            caller.close();
        }
        soundCallers.clear();
    }

    /** The sound callers' requests without an answer, or with one after its due time. */
    List<RequestOutcome> lostOrLate() {
        return log.allOutcomes().stream()
                .filter(outcome -> outcome.isLost() || outcome.end() == RequestOutcome.End.ANSWERED_LATE)
                .toList();
    }

    /** How many requests of sound callers have been served since a time by {@link System#nanoTime()}. */
    long servedSince(long time) {
        return log.allOutcomes().stream()
                .filter(outcome -> outcome.writtenAt() - time >= 0 && outcome.status() == 200)
                .count();
    }

    /** How many requests of sound callers have been answered since then, served or not. */
    long answeredSince(long time) {
        return log.allOutcomes().stream()
                .filter(outcome -> outcome.writtenAt() - time >= 0 && outcome.status() > 0)
                .count();
    }

    /** For a failed check. */
    String report() {
        try {
            long longestMs = log.allOutcomes().stream()
                    .mapToLong(outcome -> TimeUnit.NANOSECONDS.toMillis(outcome.endedAt() - outcome.writtenAt()))
                    .max()
                    .orElse(0);
            return log.countByEnd() + ", the longest " + longestMs + " ms, memory " + server.peakMemoryMb() + " MB\n"
                    + server.log();
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override
    public void close() throws Exception {
        endAttack();
        stopSoundCallers();
        server.close();
        kernel.close();
        log.close();
    }
}
