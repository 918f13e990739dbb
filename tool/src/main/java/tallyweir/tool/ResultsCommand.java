package tallyweir.tool;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tallyweir.durable.AdminCommands;
import tallyweir.durable.AdminSocket;
import tallyweir.durable.StoredRecord;
import tallyweir.durable.View;
import tallyweir.results.DurableResultStore;
import tallyweir.results.Explorer;
import tallyweir.results.IdempotencyTracker;
import tallyweir.results.ResultStore;
import tallyweir.results.Settling;
import tallyweir.search.ExhaustiveSearch;

@Command(
        name = "results",
        mixinStandardHelpOptions = true,
        description = "Looks after results kept over restarts.",
        subcommands = {
            ResultsCommand.Stats.class,
            ResultsCommand.Show.class,
            ResultsCommand.Size.class,
            ResultsCommand.Explore.class,
            ResultsCommand.Export.class,
            ResultsCommand.Settle.class,
            ResultsCommand.Expire.class,
            ResultsCommand.Audit.class,
            ResultsDrill.class,
            ResultsBench.class
        })
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

    private static String kind(ResultStore.StoredResult k) {
        return k.known() == null ? "intent" : k.known().name().toLowerCase();
    }

    @Command(
            name = "stats",
            mixinStandardHelpOptions = true,
            description = "Counts marks by what is known of them. Changes nothing.")
    static final class Stats implements Callable<Integer> {
        @Mixin
        private StoreOptions store;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Map<String, Object> all = new LinkedHashMap<>();
            for (String kind : new String[] {"intent", "good", "bad", "unknown"}) {
                all.put(kind, 0L);
            }
            long[] bytes = {0};
            each(store, DurableResultStore.RESULTS, f -> {
                ResultStore.StoredResult k = DurableResultStore.decode(f);
                all.merge(k == null ? "not ours" : kind(k), 1L, (a, b) -> (Long) a + (Long) b);
                bytes[0] += 29 + f.key().length + f.value().length;
            });
            all.put("bytes", bytes[0]);
            print(spec.commandLine().getOut(), store.json(), all);
            return 0;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
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
            byte[] mark = DurableResultStore.storeKey(DurableResultStore.idempotencyKey(workload, key));
            StoredRecord f = store.look(d -> d.get(DurableResultStore.RESULTS, mark), adminSocket -> {
                StoredRecord[] there = new StoredRecord[1];
                AdminSocket.sendRequest(
                        adminSocket,
                        List.of(
                                "get",
                                DurableResultStore.RESULTS,
                                HexFormat.of().formatHex(mark)),
                        line -> there[0] = AdminCommands.parseRecord(line),
                        n -> {});
                return there[0];
            });
            ResultStore.StoredResult k = f == null ? null : DurableResultStore.decode(f);
            if (k == null) {
                spec.commandLine().getErr().println("tallyweir: nothing is kept of " + key);
                return 1;
            }
            print(spec.commandLine().getOut(), store.json(), fields(k));
            return 0;
        }
    }

    private static Map<String, Object> fields(ResultStore.StoredResult k) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("outcome", kind(k));
        all.put("request", k.job().value());
        all.put("written", at(k.writtenAt()));
        all.put("until", at(k.expiresAt()));
        all.put("result_bytes", k.result() == null ? 0 : k.result().length);
        return all;
    }

    private static String at(long time) {
        return Instant.ofEpochMilli(time / 10).toString();
    }

    /** All records of a namespace, of the store or asked of the process that holds it. */
    private static void each(StoreOptions store, String namespace, Consumer<StoredRecord> to) throws IOException {
        store.look(
                d -> {
                    try (View view = d.view()) {
                        view.range(namespace, new byte[0], null).forEachRemaining(to);
                    }
                    return null;
                },
                adminSocket -> {
                    AdminSocket.sendRequest(
                            adminSocket,
                            List.of("list", namespace, "-", "-", "-", "-", "-"),
                            line -> to.accept(AdminCommands.parseRecord(line)),
                            n -> {});
                    return null;
                });
    }

    @Command(
            name = "export",
            mixinStandardHelpOptions = true,
            description = "Prints all that is kept as JSON lines, the results in hexadecimal. Changes nothing.")
    static final class Export implements Callable<Integer> {
        @Mixin
        private StoreOptions store;

        @Option(names = "--outcome", description = "Only these: intent, good, bad, unknown.")
        private List<String> outcomes = List.of();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            for (String o : outcomes) {
                if (!List.of("intent", "good", "bad", "unknown").contains(o)) {
                    throw new ParameterException(
                            spec.commandLine(), "--outcome is '" + o + "': intent, good, bad or unknown is needed");
                }
            }
            each(store, DurableResultStore.RESULTS, f -> {
                ResultStore.StoredResult k = DurableResultStore.decode(f);
                if (k != null && (outcomes.isEmpty() || outcomes.contains(kind(k)))) {
                    Map<String, Object> all = new LinkedHashMap<>();
                    all.put("workload", k.key().workload().value());
                    all.put("mark", k.key().stamp().value());
                    all.putAll(fields(k));
                    if (k.result() != null) {
                        all.put("result_hex", HexFormat.of().formatHex(k.result()));
                    }
                    spec.commandLine().getOut().println(Json.line(all));
                }
            });
            return 0;
        }
    }

    /** A change by a person, which is kept with who made it and why. */
    abstract static class ByHand implements Callable<Integer> {
        @Mixin
        StoreOptions store;

        @Option(names = "--workload", required = true)
        String workload;

        @picocli.CommandLine.Parameters(paramLabel = "KEY", description = "The mark, as in Once-Key.")
        String key;

        @Option(names = "--by", required = true, description = "Who makes the change; kept with it.")
        String by;

        @Option(names = "--why", required = true, description = "Why; kept with it.")
        String why;

        @Spec
        CommandSpec spec;

        int settle(Settling.As as, byte[] result) throws IOException {
            store.change(
                    List.of(DurableResultStore.RESULTS, Settling.AUDIT),
                    (d, c) -> Settling.settle(
                            d, c, DurableResultStore.idempotencyKey(workload, key), as, result, by, why),
                    adminSocket -> {
                        AdminSocket.sendRequest(
                                adminSocket,
                                List.of(
                                        "settle",
                                        workload,
                                        key,
                                        as.name(),
                                        result == null ? "-" : HexFormat.of().formatHex(result),
                                        by,
                                        why),
                                line -> {},
                                n -> {});
                        return null;
                    });
            spec.commandLine()
                    .getOut()
                    .println(key + ": " + as.name().toLowerCase().replace('_', ' '));
            return 0;
        }
    }

    @Command(
            name = "settle",
            mixinStandardHelpOptions = true,
            description =
                    "Says what became of a mark whose outcome is unknown, after somebody has looked where its effect"
                            + " would show. Kept with who said it and why. Works on a store in use.")
    static final class Settle extends ByHand {
        @Option(
                names = "--as",
                required = true,
                description = "ran: repeats get --result; ran-badly: repeats are errored;"
                        + " never-ran: the next copy runs.")
        private String as;

        @Option(names = "--result", description = "A file with the answer's bytes, for --as ran.")
        private Path result;

        @Override
        public Integer call() throws IOException {
            Settling.As what = switch (as) {
                case "ran" -> Settling.As.RAN;
                case "ran-badly" -> Settling.As.RAN_BADLY;
                case "never-ran" -> Settling.As.NEVER_RAN;
                default ->
                    throw new ParameterException(
                            spec.commandLine(), "--as is '" + as + "': ran, ran-badly or never-ran is needed");
            };
            if (result != null != (what == Settling.As.RAN)) {
                throw new ParameterException(spec.commandLine(), "--result goes with --as ran, and with nothing else");
            }
            return settle(what, result == null ? null : Files.readAllBytes(result));
        }
    }

    @Command(
            name = "expire",
            mixinStandardHelpOptions = true,
            description =
                    "Forgets a mark before its window ends: its next copy runs again. Kept with who did it and why.")
    static final class Expire extends ByHand {
        @Override
        public Integer call() throws IOException {
            return settle(Settling.As.FORGOTTEN, null);
        }
    }

    @Command(
            name = "audit",
            mixinStandardHelpOptions = true,
            description = "Lists what people changed, oldest first. Changes nothing.")
    static final class Audit implements Callable<Integer> {
        @Mixin
        private StoreOptions store;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            each(store, Settling.AUDIT, f -> {
                Settling.Change c = Settling.change(f);
                if (c != null) {
                    Map<String, Object> all = new LinkedHashMap<>();
                    all.put("at", at(c.changedAt()));
                    all.put("workload", c.key().workload().value());
                    all.put("mark", c.key().stamp().value());
                    all.put("as", c.as().toLowerCase());
                    all.put("by", c.operator());
                    all.put("why", c.reason());
                    spec.commandLine()
                            .getOut()
                            .println(
                                    store.json()
                                            ? Json.line(all)
                                            : String.join(
                                                    "\t",
                                                    all.values().stream()
                                                            .map(Object::toString)
                                                            .toList()));
                }
            });
            return 0;
        }
    }

    @Command(
            name = "size",
            mixinStandardHelpOptions = true,
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
            double each = 29 + 19 + 16 + key + bytes; // record, its fields, the request's name
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("marks", Math.round(marks));
            all.put("bound_mb", (long) Math.ceil(marks * each * 1.25 / (1 << 20)));
            all.put("disk_mb_each_copy", (long) Math.ceil(marks * each * 1.25 * 2 / (1 << 20)) + 128);
            all.put("heap_mb", (long) Math.ceil(marks * (28 + 2 + key + 2) / (1 << 20)));
            print(spec.commandLine().getOut(), false, all);
            return 0;
        }
    }

    @Command(
            name = "explore",
            mixinStandardHelpOptions = true,
            description = "Plays every order of events of a few copies of one mark, with a crash of each party and a"
                    + " fault of the disk. Exit code 1 if anything runs twice, differs or is never answered.")
    static final class Explore implements Callable<Integer> {
        @Option(names = "--copies", defaultValue = "3", description = "1 to 4 (${DEFAULT-VALUE}).")
        private int copies;

        @Option(names = "--without", description = "Switch a guard off: ${COMPLETION-CANDIDATES}.")
        private IdempotencyTracker.Guard[] without = {};

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            if (copies < 1 || copies > 4) {
                throw new ParameterException(spec.commandLine(), "--copies is " + copies + ": 1 to 4 is needed");
            }
            Set<IdempotencyTracker.Guard> off = EnumSet.noneOf(IdempotencyTracker.Guard.class);
            off.addAll(Set.of(without));
            ExhaustiveSearch.SearchResult seen = Explorer.explore(copies, off, 3_000_000);
            seen.violations().stream()
                    .limit(5)
                    .forEach(w -> spec.commandLine().getOut().println("wrong: " + w));
            spec.commandLine()
                    .getOut()
                    .println("results explore: states " + seen.states() + ", steps " + seen.steps() + ", ends "
                            + seen.quiescentStates() + ", wrong "
                            + seen.violations().size());
            return seen.violations().isEmpty() ? 0 : 1;
        }
    }
}
