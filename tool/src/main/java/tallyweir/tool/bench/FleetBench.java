package tallyweir.tool.bench;

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

/** Measures what the program and its fleet part add to a query. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description =
                "Measures what the program and its fleet part add to a query: an open-loop load on processes of the program"
                        + " between stand-ins, beside the stand-ins alone. Exit code 1 if a figure is over its budget.",
        footer = {"", "First with a small revision, then with one of --routes and --tenants."})
public final class FleetBench implements Callable<Integer> {
    private static final RevisionSize SMALL = new RevisionSize(4, 100);
    private static final int RATE_MOST = 20_000;
    private static final int SECONDS_MOST = 600;
    private static final int ROUTES_LEAST = 2; // one for each workload
    private static final int ROUTES_MOST = 1_000_000;
    private static final int TENANTS_MOST = 1_000_000;

    @Option(names = "--rate", defaultValue = "183", description = "Queries a second (${DEFAULT-VALUE}).")
    private int rate;

    @Option(
            names = "--seconds",
            defaultValue = "8",
            description = "Of load on each case, warm-up left out (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--routes",
            defaultValue = "31000",
            description = "Routes of the large revision; 0 leaves it out (${DEFAULT-VALUE}).")
    private int routes;

    @Option(
            names = "--tenants",
            defaultValue = "4000",
            description = "Tenants with caps in the large revision (${DEFAULT-VALUE}).")
    private int tenants;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Arrivals and tenants are drawn from it (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", description = "Print the figures as JSON, one object a line.")
    private boolean json;

    @Option(
            names = "--dir",
            description = "A directory for configurations and logs; made if not there (a temporary one).")
    private Path directory;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        checkOptions();
        Path files = directory == null ? Files.createTempDirectory("fleet-bench") : directory;
        List<SizeResult> results = new ArrayList<>();
        results.add(measure(files.resolve("small"), SMALL));
        if (routes > 0) {
            results.add(measure(files.resolve("large"), new RevisionSize(routes, tenants)));
        }
        BenchReport report = new BenchReport(rate, results);
        report.print(spec.commandLine().getOut(), json);
        return report.overBudget() == 0 ? 0 : 1;
    }

    private SizeResult measure(Path files, RevisionSize size) throws Exception {
        try (SizeBench bench = SizeBench.start(files, size)) {
            return bench.measure(rate, seconds, seed);
        }
    }

    private void checkOptions() {
        checkRange("--rate", rate, 1, RATE_MOST);
        checkRange("--seconds", seconds, 1, SECONDS_MOST);
        if (routes != 0) {
            checkRange("--routes", routes, ROUTES_LEAST, ROUTES_MOST);
        }
        checkRange("--tenants", tenants, 1, TENANTS_MOST);
    }

    private void checkRange(String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw new ParameterException(
                    spec.commandLine(), option + " is " + value + ": " + least + " to " + most + " is needed");
        }
    }
}
