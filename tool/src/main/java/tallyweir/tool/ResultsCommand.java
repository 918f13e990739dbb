package tallyweir.tool;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.durable.Durable;
import tallyweir.durable.Found;
import tallyweir.durable.View;
import tallyweir.results.DurableShelf;
import tallyweir.results.Explorer;
import tallyweir.results.Marks;
import tallyweir.results.Shelf;

@Command(name = "results", mixinStandardHelpOptions = true, description = "Looks after results kept over restarts.",
        subcommands = {ResultsCommand.Stats.class, ResultsCommand.Show.class, ResultsCommand.Size.class,
            ResultsCommand.Explore.class, ResultsDrill.class})
final class ResultsCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand of results is needed");
    }

    private static void print(PrintWriter out, boolean json, Map<String, Object> what) {
        if (json) {
            out.println(Json.line(what));
        } else {
            what.forEach((k, v) -> out.println(k + ": " + v));
        }
    }

    private static String kind(Shelf.Kept k) {
        return k.known() == null ? "intent" : k.known().name().toLowerCase();
    }

    @Command(name = "stats", mixinStandardHelpOptions = true,
            description = "Counts marks by what is known of them. Changes nothing.")
    static final class Stats implements Callable<Integer> {
        @Mixin
        private StoreOptions store;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Map<String, Object> all = new LinkedHashMap<>();
            try (Durable d = store.look(); View view = d.view()) {
                for (String kind : new String[] {"intent", "good", "bad", "unknown"}) {
                    all.put(kind, 0L);
                }
                for (Iterator<Found> in = view.range(DurableShelf.RESULTS, new byte[0], null); in.hasNext();) {
                    Shelf.Kept k = DurableShelf.of(in.next());
                    all.merge(k == null ? "not ours" : kind(k), 1L, (a, b) -> (Long) a + (Long) b);
                }
                all.put("bytes", view.bytes(DurableShelf.RESULTS));
            }
            print(spec.commandLine().getOut(), store.json(), all);
            return 0;
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true,
            description = "Prints what is kept of one mark. Exit code 1 if nothing is. Changes nothing.")
    static final class Show implements Callable<Integer> {
        @Mixin
        private StoreOptions store;
        @Option(names = "--workload", required = true)
        private String workload;
        @picocli.CommandLine.Parameters(paramLabel = "KEY", description = "The mark, as in Once-Key.")
        private String key;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            try (Durable d = store.look(); View view = d.view()) {
                Found f = view.get(DurableShelf.RESULTS, (workload + "\0" + key).getBytes("UTF-8"));
                Shelf.Kept k = f == null ? null : DurableShelf.of(f);
                if (k == null) {
                    spec.commandLine().getErr().println("tallyweir: nothing is kept of " + key);
                    return 1;
                }
                Map<String, Object> all = new LinkedHashMap<>();
                all.put("outcome", kind(k));
                all.put("request", k.job().value());
                all.put("written", java.time.Instant.ofEpochMilli(k.written() / 10).toString());
                all.put("until", java.time.Instant.ofEpochMilli(k.until() / 10).toString());
                all.put("result_bytes", k.result() == null ? 0 : k.result().length);
                print(spec.commandLine().getOut(), store.json(), all);
            }
            return 0;
        }
    }

    @Command(name = "size", mixinStandardHelpOptions = true,
            description = "Tells the bound_mb that holds every mark for its window.")
    static final class Size implements Callable<Integer> {
        @Option(names = "--rate", required = true, description = "Stamped and one-shot queries a second.")
        private double rate;
        @Option(names = "--window", required = true, description = "Seconds for which a mark is kept.")
        private double window;
        @Option(names = "--bytes", required = true, description = "Mean bytes of a result.")
        private double bytes;
        @Option(names = "--key", defaultValue = "24", description = "Bytes of workload and mark (${DEFAULT-VALUE}).")
        private double key;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            if (!(rate > 0 && window > 0 && bytes >= 0 && key > 0)) {
                throw new ParameterException(spec.commandLine(), "--rate, --window and --key must be above 0");
            }
            double marks = rate * window;
            double each = 29 + 19 + 16 + key + bytes;  // record, its fields, the request's name
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("marks", Math.round(marks));
            all.put("bound_mb", (long) Math.ceil(marks * each * 1.25 / (1 << 20)));
            all.put("disk_mb_each_copy", (long) Math.ceil(marks * each * 1.25 * 2 / (1 << 20)) + 128);
            all.put("heap_mb", (long) Math.ceil(marks * (28 + 2 + key + 2) / (1 << 20)));
            print(spec.commandLine().getOut(), false, all);
            return 0;
        }
    }

    @Command(name = "explore", mixinStandardHelpOptions = true,
            description = "Plays every order of events of a few copies of one mark, with a crash of each party and a"
                    + " fault of the disk. Exit code 1 if anything runs twice, differs or is never answered.")
    static final class Explore implements Callable<Integer> {
        @Option(names = "--copies", defaultValue = "3", description = "1 to 4 (${DEFAULT-VALUE}).")
        private int copies;
        @Option(names = "--without", description = "Switch a guard off: ${COMPLETION-CANDIDATES}.")
        private Marks.Guard[] without = {};
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            if (copies < 1 || copies > 4) {
                throw new ParameterException(spec.commandLine(), "--copies is " + copies + ": 1 to 4 is needed");
            }
            Set<Marks.Guard> off = EnumSet.noneOf(Marks.Guard.class);
            off.addAll(Set.of(without));
            Explorer.Seen seen = Explorer.explore(copies, off, 3_000_000);
            seen.wrong().stream().limit(5).forEach(w -> spec.commandLine().getOut().println("wrong: " + w));
            spec.commandLine().getOut().println("results explore: states " + seen.states() + ", steps " + seen.steps()
                    + ", ends " + seen.ends() + ", wrong " + seen.wrong().size());
            return seen.wrong().isEmpty() ? 0 : 1;
        }
    }
}
