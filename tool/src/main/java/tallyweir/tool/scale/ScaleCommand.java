package tallyweir.tool.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code fleet scale}: what a fleet of any size costs its voters and its servers. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Measures what a fleet of any size costs: how each operation grows with servers and tenants, and what"
                        + " messages, processor time and memory each role takes while caps change and machines fail.",
        footer = {"", "Exit codes: 0 nothing is over its budget, 1 something is, 2 wrong use or too large a run."})
public final class ScaleCommand implements Callable<Integer> {
    private static final int WARM_UP_SERVERS = 40;
    private static final int WARM_UP_TENANTS = 200;
    private static final int TARGET_SERVERS = 6_000;
    private static final String BUILT_IN = "built-in";
    private static final String NO_FAULTS = "none";

    @Spec
    private CommandSpec spec;

    @Option(names = "--servers", defaultValue = "6000", description = "Servers of the fleet (${DEFAULT-VALUE}).")
    private int servers;

    @Option(names = "--tenants", defaultValue = "400000", description = "Tenants with a cap (${DEFAULT-VALUE}).")
    private int tenants;

    @Option(names = "--routes", defaultValue = "31000", description = "Stores of the revision (${DEFAULT-VALUE}).")
    private int routes;

    @Option(
            names = "--changes-per-day",
            defaultValue = "25000",
            description = "Changes of one cap each (${DEFAULT-VALUE}).")
    private double changesPerDay;

    @Option(
            names = "--active-tenants",
            defaultValue = "20",
            description = "Tenants that each server has open connections of (${DEFAULT-VALUE}).")
    private int activeTenants;

    @Option(names = "--seed", defaultValue = "1", description = "All chance hangs on it (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "How long the fleet is run, of its own time (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(
            names = "--faults",
            defaultValue = NO_FAULTS,
            description = "A JSON list of {\"at_s\":..,\"kind\":\"server|restart|rack|zone|regions-cut\",\"for_s\":..},"
                    + " or '" + BUILT_IN + "', or '" + NO_FAULTS + "' (${DEFAULT-VALUE}).")
    private String faults;

    @Option(
            names = "--live",
            description =
                    "Runs three voters and the servers as processes on loopback in real time, in place of a simulated"
                            + " clock.")
    private boolean live;

    @Option(
            names = "--servers-each",
            defaultValue = "500",
            description = "Servers in each process of a live run at the most (${DEFAULT-VALUE}).")
    private int serversEach;

    @Option(names = "--json", description = "One JSON document in place of the text.")
    private boolean json;

    @Option(
            names = "--slopes",
            negatable = true,
            defaultValue = "true",
            fallbackValue = "true",
            description = "Whether the growth of each operation is measured (${DEFAULT-VALUE}).")
    private boolean slopes;

    @Option(
            names = "--run",
            negatable = true,
            defaultValue = "true",
            fallbackValue = "true",
            description = "Whether a whole fleet is run (${DEFAULT-VALUE}).")
    private boolean run;

    @Option(
            names = "--sizes",
            split = ",",
            description = "The sizes at which growth is measured, SERVERSxTENANTS each; five by default.")
    private List<String> sizes = new ArrayList<>();

    @Option(
            names = "--limit-s",
            defaultValue = "20",
            description = "A size of an operation that would take longer is skipped, seconds (${DEFAULT-VALUE}).")
    private double limit;

    @Option(
            names = "--warm-up-s",
            defaultValue = "6",
            description =
                    "How long all operations are run at a small size before they are measured, seconds (${DEFAULT-VALUE}).")
    private double warmUp;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ScaleOptions options =
                new ScaleOptions(new FleetSize(servers, tenants, routes), changesPerDay, seed, seconds, activeTenants);
        SimulationParts parts = new StateSimulationParts(options.size(), activeTenants);
        FaultPlan plan = plan(options);
        List<FleetSize> measured = sizes();
        refuse(options, parts);
        ScaleReport report = new ScaleReport(spec.commandLine().getOut(), json);
        Budget budget = new Budget();
        if (slopes) {
            slopes(options, measured, report, budget);
        }
        if (run) {
            run(options, parts, plan, report, budget);
        } else {
            report.budget(budget);
        }
        report.end();
        return budget.over() == 0 ? 0 : 1;
    }

    private void refuse(ScaleOptions options, SimulationParts parts) {
        Limits.refusal(options).ifPresent(this::refused);
        if (run) {
            Limits.heapRefusal(parts.heapNeeded(), live).ifPresent(this::refused);
            int processes = live ? LiveRun.processes(options.size(), serversEach) : 1;
            Limits.processRefusal(processes).ifPresent(this::refused);
        }
    }

    private void refused(String reason) {
        throw new ParameterException(spec.commandLine(), reason);
    }

    private FaultPlan plan(ScaleOptions options) throws IOException {
        if (faults.equals(NO_FAULTS)) {
            return FaultPlan.none();
        }
        if (faults.equals(BUILT_IN)) {
            return FaultPlan.builtIn(seed, seconds, options.size().servers(), TARGET_SERVERS);
        }
        try {
            return FaultPlan.read(Path.of(faults));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private void slopes(ScaleOptions options, List<FleetSize> measured, ScaleReport report, Budget budget) {
        try (FleetUnderTest fleet = new StateFleet(seed, activeTenants)) {
            SlopeRunner runner = new SlopeRunner(fleet, limit, report::point);
            runner.warmUp(new FleetSize(WARM_UP_SERVERS, WARM_UP_TENANTS, WARM_UP_TENANTS), warmUp);
            measured.forEach(runner::measure);
            runner.measured().forEach((operation, points) -> fit(report, operation, points));
            budget.state(
                    runner.microseconds(Operation.CHANGE_IN_STATE, options.size()),
                    runner.microseconds(Operation.REPORT_IN_STATE, options.size()));
        }
    }

    private static void fit(ScaleReport report, Operation operation, List<SlopePoint> points) {
        if (!points.isEmpty()) {
            report.fit(operation.label(), SlopeFit.of(points));
        }
    }

    private void run(ScaleOptions options, SimulationParts parts, FaultPlan plan, ScaleReport report, Budget budget)
            throws IOException, InterruptedException {
        report.compression(plan.compression());
        Progress progress = Progress.onConsole();
        RunResult result =
                live ? runLive(options, parts, plan, progress) : new CountedRun(options, parts, plan, progress).run();
        progress.end();
        RunResult whole = result.withServerMemory(serverMemory(options));
        budget.run(whole);
        report.run(options, whole, budget);
    }

    private long serverMemory(ScaleOptions options) {
        try (FleetUnderTest fleet = new StateFleet(seed, activeTenants)) {
            return ServerMemory.measure(fleet, options.size());
        }
    }

    private RunResult runLive(ScaleOptions options, SimulationParts parts, FaultPlan plan, Progress progress)
            throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("fleet-scale");
        try (LiveRun liveRun = new LiveRun(options, parts, plan, progress, serversEach, dir)) {
            return liveRun.run();
        } finally {
            Directories.delete(dir);
        }
    }

    private List<FleetSize> sizes() {
        FleetSize whole = new FleetSize(servers, tenants, routes);
        if (sizes.isEmpty()) {
            return List.of(whole.part(100, 1_000), whole.part(10, 100), whole.part(10, 10), whole.part(1, 10), whole);
        }
        return sizes.stream().map(this::size).toList();
    }

    private FleetSize size(String text) {
        if (!text.matches("[1-9][0-9]{0,6}x[1-9][0-9]{0,6}")) {
            throw new ParameterException(spec.commandLine(), "--sizes takes SERVERSxTENANTS, not " + text);
        }
        String[] parts = text.split("x");
        int ofTenants = Integer.parseInt(parts[1]);
        return new FleetSize(Integer.parseInt(parts[0]), ofTenants, (int) ((long) routes * ofTenants / tenants));
    }
}
