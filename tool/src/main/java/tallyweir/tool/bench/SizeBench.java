package tallyweir.tool.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Measures all cases with a revision of one size. The processes of all cases run side by side and are under load in turn, in
 * several rounds, so that what else happens on the machine meets all of them alike. In one round all get the same schedule.
 */
final class SizeBench implements AutoCloseable {
    private static final int ROUNDS = 2;
    private static final int SIDECAR_CONNECTIONS = 16;
    private static final double WARMUP_SECONDS = 3;
    private static final double SETTLE_SECONDS = 0.3; // of each round, until its connections are open
    private static final int SOCKETS = 1_024;
    private static final int HEAP_MB = 48;
    private static final int SEED_STRIDE = 1_000;

    private final RevisionSize size;
    private final ZipfSampler tenants;
    private final JavaProcess baseline;
    private final ServerProcess withoutFleet;
    private final BenchFleet fleet;

    private SizeBench(RevisionSize size, JavaProcess baseline, ServerProcess withoutFleet, BenchFleet fleet) {
        this.size = size;
        this.baseline = baseline;
        this.withoutFleet = withoutFleet;
        this.fleet = fleet;
        tenants = new ZipfSampler(size.tenants());
    }

    /** Starts the processes of all cases. */
    static SizeBench start(Path directory, RevisionSize size) throws IOException, InterruptedException {
        Files.createDirectories(directory);
        JavaProcess baseline = startBaseline(directory);
        ServerProcess withoutFleet = null;
        try {
            withoutFleet = ServerProcess.start(
                    directory.resolve("alone"), size.tenants(), SOCKETS, size.heapMb(HEAP_MB), null);
            withoutFleet.awaitReady();
            BenchFleet fleet = BenchFleet.start(directory.resolve("fleet"), size);
            return new SizeBench(size, baseline, withoutFleet, fleet);
        } catch (IOException | InterruptedException e) {
            baseline.close();
            if (withoutFleet != null) {
                withoutFleet.close();
            }
            throw e;
        }
    }

    private static JavaProcess startBaseline(Path directory) throws IOException, InterruptedException {
        int port = JavaProcess.freePort();
        List<String> command =
                JavaProcess.command(HEAP_MB, BareResponder.class.getName(), List.of(Integer.toString(port)));
        return JavaProcess.start(command, Map.of(), port, directory.resolve("baseline.log"));
    }

    /** Puts each case under load for so long in all, at so many queries a second. */
    SizeResult measure(int rate, double seconds, long seed) throws IOException, InterruptedException {
        Map<ServerCase, CaseResult> results = new EnumMap<>(ServerCase.class);
        for (ServerCase of : ServerCase.values()) {
            play(of, rate, WARMUP_SECONDS, 0, seed * SEED_STRIDE);
            results.put(of, new CaseResult(LoadResult.empty(), 0, 0, 0, MachineUsage.NONE));
        }
        for (int round = 1; round <= ROUNDS; round++) {
            for (ServerCase of : ServerCase.values()) {
                CaseResult measured = measureRound(of, rate, seconds / ROUNDS, seed * SEED_STRIDE + round);
                results.merge(of, measured, SizeBench::sum);
            }
        }
        return new SizeResult(size, results);
    }

    private CaseResult measureRound(ServerCase of, int rate, double seconds, long seed)
            throws IOException, InterruptedException {
        ProcessUsage before = process(of).usage();
        MachineUsage machineBefore = MachineUsage.now();
        long began = System.nanoTime();
        LoadResult load = play(of, rate, seconds + SETTLE_SECONDS, SETTLE_SECONDS, seed);
        double loadedSeconds = (System.nanoTime() - began) / 1e9;
        ProcessUsage after = process(of).usage();
        MachineUsage machine = MachineUsage.now().minus(machineBefore);
        return new CaseResult(load, after.cpuMillis() - before.cpuMillis(), loadedSeconds, after.residentKb(), machine);
    }

    private LoadResult play(ServerCase of, int rate, double seconds, double settleSeconds, long seed)
            throws IOException, InterruptedException {
        ArrivalSchedule schedule = new ArrivalSchedule(rate, seconds, tenants, seed);
        try (SidecarTarget target = new SidecarTarget(process(of).port(), SIDECAR_CONNECTIONS)) {
            return OpenLoopLoad.run(schedule, seconds, settleSeconds, target);
        }
    }

    private JavaProcess process(ServerCase of) {
        return switch (of) {
            case BASELINE -> baseline;
            case FLEET_OFF -> withoutFleet.process();
            case FLEET_ON -> fleet.member().process();
        };
    }

    private static CaseResult sum(CaseResult first, CaseResult second) {
        return new CaseResult(
                first.load().plus(second.load()),
                first.cpuMillis() + second.cpuMillis(),
                first.loadedSeconds() + second.loadedSeconds(),
                Math.max(first.residentKb(), second.residentKb()),
                first.machine().plus(second.machine()));
    }

    @Override
    public void close() throws IOException, InterruptedException {
        fleet.close();
        withoutFleet.close();
        baseline.close();
    }
}
