package tallyweir.tool;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tallyweir.durable.AdminCommands;
import tallyweir.durable.AdminSocket;
import tallyweir.durable.Backup;
import tallyweir.durable.Durable;
import tallyweir.durable.Stamp;
import tallyweir.durable.StoreCounters;
import tallyweir.durable.StoredRecord;
import tallyweir.durable.View;

@Command(
        name = "durable",
        mixinStandardHelpOptions = true,
        description = "Looks after an embedded store.",
        subcommands = {
            DurableCommand.Info.class,
            DurableCommand.Get.class,
            DurableCommand.ListKeys.class,
            DurableCommand.Verify.class,
            DurableCommand.Repair.class,
            DurableCommand.Compact.class,
            DurableCommand.BackUp.class,
            DurableCommand.Restore.class,
            DurableBench.class,
            DurableDrill.class
        })
final class DurableCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand of durable is needed");
    }

    /** Figures that tell of damage, by name. */
    private static Map<String, Object> damage(Durable d) {
        Map<String, Object> of = new LinkedHashMap<>();
        for (StoreCounters.Counter f : List.of(
                StoreCounters.Counter.FRAMES_READ,
                StoreCounters.Counter.REPAIRED,
                StoreCounters.Counter.FILES_REMADE,
                StoreCounters.Counter.UNREPAIRED,
                StoreCounters.Counter.LOST_FRAMES,
                StoreCounters.Counter.SNAPSHOTS_DISTRUSTED)) {
            of.put(f.name().toLowerCase(), d.figures().get(f));
        }
        return of;
    }

    private static void print(PrintWriter out, boolean json, Map<String, Object> what) {
        if (json) {
            out.println(Json.line(what));
        } else {
            what.forEach((k, v) -> out.println(k + ": " + (v instanceof Map || v instanceof List ? Json.line(v) : v)));
        }
    }

    private static String hex(byte[] b) {
        return HexFormat.of().formatHex(b);
    }

    private static Map<String, Object> record(StoredRecord f, boolean value) {
        Map<String, Object> of = new LinkedHashMap<>();
        of.put("key", printable(f.key()));
        of.put("key_hex", hex(f.key()));
        of.put("written", at(Stamp.time(f.stamp())));
        if (f.expiresAt() != 0) {
            of.put("expires", at(f.expiresAt()));
        }
        of.put("value_bytes", f.value().length);
        if (value) {
            of.put("value_hex", hex(f.value()));
        }
        return of;
    }

    private static String printable(byte[] key) {
        return new String(key, StandardCharsets.ISO_8859_1).replaceAll("[^ -~]", "?");
    }

    private static String at(long time) {
        return Instant.ofEpochSecond(time / 10_000, time % 10_000 * 100_000).toString();
    }

    /** A command on one store. */
    abstract static class OnStore implements Callable<Integer> {
        @Mixin
        StoreOptions store;

        @Spec
        CommandSpec spec;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        PrintWriter err() {
            return spec.commandLine().getErr();
        }

        /** Says on the error stream how far long work has come, every two seconds. */
        LongConsumer progress(Durable d) {
            long all = (Long) d.info().get("bytes_of_each_copy");
            return seldom(done -> Math.min(100, 100 * done / Math.max(1, all)) + "%");
        }

        LongConsumer seldom(LongFunction<String> text) {
            long[] told = {System.nanoTime()};
            return done -> {
                if (System.nanoTime() - told[0] > 2_000_000_000L) {
                    told[0] = System.nanoTime();
                    err().println(text.apply(done));
                }
            };
        }

        /** Names and values that an admin socket says. */
        Map<String, Object> asked(Path adminSocket, String unit, String... words) throws IOException {
            Map<String, Object> all = new LinkedHashMap<>();
            AdminSocket.sendRequest(
                    adminSocket,
                    List.of(words),
                    line -> {
                        String[] of = line.split("\t", 2);
                        all.put(of[0], of[1].matches("-?[0-9]{1,18}") ? (Object) Long.valueOf(of[1]) : of[1]);
                    },
                    seldom(done -> done + " " + unit));
            return all;
        }

        byte[] key(String text, boolean isHex) {
            try {
                return isHex ? HexFormat.of().parseHex(text) : text.getBytes(StandardCharsets.ISO_8859_1);
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), "'" + text + "' is not hexadecimal");
            }
        }

        void known(View view, String namespace) {
            if (!view.namespaces().contains(namespace)) {
                throw new ParameterException(
                        spec.commandLine(), "there is no namespace " + namespace + ": there are " + view.namespaces());
            }
        }
    }

    @Command(
            name = "info",
            mixinStandardHelpOptions = true,
            description =
                    "Prints what a store holds and what its log looks like. Changes nothing. Of a store in use it asks"
                            + " the process that holds it, which also tells how long its steps take, in tenths of a millisecond.")
    static final class Info extends OnStore {
        @Override
        public Integer call() throws IOException {
            print(
                    out(),
                    store.json(),
                    store.look(
                            d -> {
                                Map<String, Object> all = d.info();
                                all.put("at_opening", damage(d));
                                all.put("figures", d.figures().toMap());
                                return all;
                            },
                            adminSocket -> asked(adminSocket, "", "info")));
            return 0;
        }
    }

    @Command(
            name = "get",
            mixinStandardHelpOptions = true,
            description = "Prints one record. Exit code 1 if there is none. Changes nothing.")
    static final class Get extends OnStore {
        @Option(names = "--namespace", required = true)
        private String namespace;

        @Option(names = "--hex", description = "The key is given in hexadecimal.")
        private boolean hex;

        @Option(names = "--raw", description = "Print the value's bytes and nothing else.")
        private boolean raw;

        @Parameters(paramLabel = "KEY")
        private String key;

        @Override
        public Integer call() throws IOException {
            byte[] k = key(key, hex);
            StoredRecord f = store.look(
                    d -> {
                        try (View view = d.view()) {
                            known(view, namespace);
                            return view.get(namespace, k);
                        }
                    },
                    adminSocket -> {
                        StoredRecord[] there = new StoredRecord[1];
                        AdminSocket.sendRequest(
                                adminSocket,
                                List.of("get", namespace, hex(k)),
                                line -> there[0] = AdminCommands.parseRecord(line),
                                n -> {});
                        return there[0];
                    });
            if (f == null) {
                err().println("tallyweir: there is no such key");
                return 1;
            }
            if (raw) {
                System.out.write(f.value());
                System.out.flush();
            } else {
                print(out(), store.json(), record(f, true));
            }
            return 0;
        }
    }

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description =
                    "Lists records in the order of their keys, or by time with --since or --until. Changes nothing.")
    static final class ListKeys extends OnStore {
        @Option(names = "--namespace", required = true)
        private String namespace;

        @Option(names = "--hex", description = "Keys are given in hexadecimal.")
        private boolean hex;

        @Option(names = "--from", defaultValue = "", description = "The first key.")
        private String from;

        @Option(names = "--to", description = "The key before which to end.")
        private String to;

        @Option(names = "--since", description = "Written at this time or later, as 2026-12-01T08:00:00Z.")
        private String since;

        @Option(names = "--until", description = "Written before this time.")
        private String until;

        @Option(names = "--limit", defaultValue = "1000", description = "At most so many (${DEFAULT-VALUE}).")
        private long limit;

        @Option(names = "--values", description = "Print values, too, in hexadecimal.")
        private boolean values;

        @Override
        public Integer call() throws IOException {
            boolean byTime = since != null || until != null;
            if (byTime && (!from.isEmpty() || to != null)) {
                throw new ParameterException(spec.commandLine(), "--from and --to do not go with --since and --until");
            }
            long first = time(since, 0);
            long end = time(until, Stamp.MAX_TIME_TENTHS_MS);
            byte[] fromKey = key(from, hex);
            byte[] toKey = to == null ? null : key(to, hex);
            boolean more = store.look(
                    d -> {
                        try (View view = d.view()) {
                            known(view, namespace);
                            Iterator<StoredRecord> in = byTime
                                    ? view.writtenBetween(namespace, first, end)
                                    : view.range(namespace, fromKey, toKey);
                            for (long n = 0; in.hasNext() && n < limit; n++) {
                                print(in.next());
                            }
                            return in.hasNext();
                        }
                    },
                    adminSocket -> {
                        long[] n = {0};
                        AdminSocket.sendRequest(
                                adminSocket,
                                List.of(
                                        "list",
                                        namespace,
                                        hex(fromKey),
                                        toKey == null ? "-" : hex(toKey),
                                        since == null ? "-" : Long.toString(first),
                                        until == null ? "-" : Long.toString(end),
                                        Long.toString(limit + 1)),
                                line -> {
                                    if (n[0]++ < limit) {
                                        print(AdminCommands.parseRecord(line));
                                    }
                                },
                                far -> {});
                        return n[0] > limit;
                    });
            if (more) {
                err().println("tallyweir: there are more: --limit " + limit);
            }
            return 0;
        }

        private void print(StoredRecord f) {
            Map<String, Object> of = record(f, values);
            out().println(
                            store.json()
                                    ? Json.line(of)
                                    : String.join(
                                            "\t",
                                            of.values().stream()
                                                    .map(Object::toString)
                                                    .toList()));
        }

        private long time(String text, long absent) {
            try {
                return text == null ? absent : Instant.parse(text).toEpochMilli() * 10;
            } catch (DateTimeParseException e) {
                throw new ParameterException(spec.commandLine(), "'" + text + "' is no time: 2026-12-01T08:00:00Z is");
            }
        }
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Compares both copies of everything with their checksums. Changes nothing; the process that holds a"
                            + " store in use mends what it finds. Exit code 1 if anything is damaged and not mended.")
    static final class Verify extends OnStore {
        @Override
        public Integer call() throws IOException {
            return store.look(
                    d -> {
                        long before = d.figures().get(StoreCounters.Counter.UNREPAIRED);
                        long lostBefore = d.figures().get(StoreCounters.Counter.LOST_FRAMES);
                        d.scrubAll(progress(d));
                        long damaged = d.figures().get(StoreCounters.Counter.UNREPAIRED) - before;
                        long lost = d.figures().get(StoreCounters.Counter.LOST_FRAMES) - lostBefore;
                        Map<String, Object> all = new LinkedHashMap<>();
                        all.put("damaged_in_one_copy", damaged);
                        all.put("damaged_in_both_copies", lost);
                        all.put("snapshots_distrusted", d.figures().get(StoreCounters.Counter.SNAPSHOTS_DISTRUSTED));
                        print(out(), store.json(), all);
                        return damaged + lost > 0 ? 1 : 0;
                    },
                    adminSocket -> {
                        Map<String, Object> all = asked(adminSocket, "bytes compared", "verify");
                        print(out(), store.json(), all);
                        return (Long) all.get("unrepaired") + (Long) all.get("damaged_in_both_copies") > 0 ? 1 : 0;
                    });
        }
    }

    @Command(
            name = "repair",
            mixinStandardHelpOptions = true,
            description = "Writes again what is damaged in one copy. Exit code 1 if something is damaged in both.")
    static final class Repair extends OnStore {
        @Override
        public Integer call() throws IOException {
            try (Durable d = store.open()) {
                d.scrubAll(progress(d));
                Map<String, Object> all = damage(d);
                print(out(), store.json(), all);
                return d.figures().get(StoreCounters.Counter.LOST_FRAMES)
                                        + d.figures().get(StoreCounters.Counter.UNREPAIRED)
                                > 0
                        ? 1
                        : 0;
            }
        }
    }

    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description = "Writes all that is current anew and gives back the rest.")
    static final class Compact extends OnStore {
        @Override
        public Integer call() throws IOException {
            try (Durable d = store.open()) {
                Object before = d.info().get("bytes_of_each_copy");
                d.compactAll(progress(d));
                Map<String, Object> all = new LinkedHashMap<>();
                all.put("bytes_of_each_copy_before", before);
                all.put("bytes_of_each_copy", d.info().get("bytes_of_each_copy"));
                all.put("moved_bytes", d.figures().get(StoreCounters.Counter.MOVED_BYTES));
                print(out(), store.json(), all);
            }
            return 0;
        }
    }

    private static int copy(OnStore c, Durable from, Path to) throws IOException {
        Backup.BackupResult made = Backup.make(from, to, c.seldom(n -> n + " records"));
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("records", made.records());
        all.put("bytes_of_each_copy", made.bytes());
        print(c.out(), c.store.json(), all);
        return 0;
    }

    @Command(
            name = "backup",
            mixinStandardHelpOptions = true,
            description =
                    "Copies a store, as it is, to a new directory. The copy is a store, too. Of a store in use the process"
                            + " that holds it makes the copy, while it goes on writing.")
    static final class BackUp extends OnStore {
        @Option(names = "--to", required = true, description = "The directory to make.")
        private Path to;

        @Override
        public Integer call() throws IOException {
            return store.look(d -> copy(this, d, to), adminSocket -> {
                print(
                        out(),
                        store.json(),
                        asked(
                                adminSocket,
                                "records",
                                "backup",
                                to.toAbsolutePath().toString()));
                return 0;
            });
        }
    }

    @Command(
            name = "restore",
            mixinStandardHelpOptions = true,
            description = "Makes a store of a backup: the store options name the backup, --to the new store.")
    static final class Restore extends OnStore {
        @Option(names = "--to", required = true, description = "The directory of the store to make.")
        private Path to;

        @Override
        public Integer call() throws IOException {
            try (Durable d = store.look()) {
                int code = copy(this, d, to);
                if (d.figures().get(StoreCounters.Counter.LOST_FRAMES) > 0) {
                    err().println("tallyweir: the backup is damaged in both copies: "
                            + d.figures().get(StoreCounters.Counter.LOST_FRAMES) + " frames are lost");
                    return 1;
                }
                return code;
            }
        }
    }
}
