package tallyweir.tool;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tallyweir.durable.Defence;
import tallyweir.durable.Drill;
import tallyweir.durable.Kills;

@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Plays what a store must survive: cuts of the power within every operation, failing forces, full"
                + " disks, every file cut off and changed at every offset, and a writer killed at random moments. Exit"
                + " code 1 if anything acknowledged was lost, anything else returned, or an opening failed.")
final class DurableDrill implements Callable<Integer> {
    enum Size {
        SMALL,
        FULL
    }

    @Option(names = "--seed", defaultValue = "1", description = "All chance hangs on it (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--dir", required = true, description = "A directory for the drill's own files; made if not there.")
    private Path dir;

    @Option(names = "--files", defaultValue = "small", description = "small: under a minute; full: some minutes.")
    private Size files;

    @Option(
            names = "--without",
            description = "Switch a defence off, to see that it is needed: ${COMPLETION-CANDIDATES}.")
    private Defence[] without = {};

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Set<Defence> off = EnumSet.noneOf(Defence.class);
        off.addAll(Set.of(without));
        boolean small = files == Size.SMALL;
        int threads = Runtime.getRuntime().availableProcessors();
        Drill.Tally all = new Drill.Tally();
        part(out, "power cuts", all, Drill.powerCuts(seed, small ? 40 : 120, 1, 3, off));
        part(out, "failing forces, full and read-only disks", all, Drill.diskFaults(seed, small ? 300 : 3_000, off));
        part(out, "old versions", all, Drill.staleVersions(seed, small ? 300 : 3_000, off));
        part(out, "two processes at one store", all, Drill.takeovers(seed, small ? 1_000 : 10_000, off));
        part(out, "damage in memory", all, Drill.fileDamage(null, seed, small ? 60 : 200, 1, threads, off));
        part(
                out,
                "damage on files",
                all,
                Drill.fileDamage(dir.resolve("damage"), seed + 1, small ? 12 : 120, 1, threads, off));
        part(out, "kill -9", all, Kills.run(dir.resolve("kills"), seed, small ? 12 : 100, off));
        all.violations().forEach(w -> out.println("wrong: " + w));
        out.println("durable drill: openings " + all.openings() + ", acknowledged lost " + all.lost()
                + ", torn returned " + all.torn() + ", openings failed " + all.failed());
        return all.passed() ? 0 : 1;
    }

    private static void part(PrintWriter out, String name, Drill.Tally all, Drill.Tally part) {
        out.println(name + ": openings " + part.openings() + ", acknowledged lost " + part.lost() + ", torn returned "
                + part.torn() + ", openings failed " + part.failed());
        out.flush();
        all.add(part);
    }
}
