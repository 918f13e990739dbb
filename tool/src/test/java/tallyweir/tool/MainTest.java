package tallyweir.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tallyweir.durable.Batch;
import tallyweir.durable.CopyExecutor;
import tallyweir.durable.Durable;
import tallyweir.durable.FileDisk;
import tallyweir.durable.FileStore;
import tallyweir.durable.Namespace;
import tallyweir.ids.JobId;
import tallyweir.results.DurableResultStore;
import tallyweir.results.Known;
import tallyweir.results.Settling;

/** The command line as a person meets it: what is printed, and the exit code. */
class MainTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        return Main.run(new PrintWriter(out, true), new PrintWriter(err, true), args);
    }

    private static void fill(Path dir) throws IOException {
        try (Durable d = new Durable(
                new FileDisk(dir.resolve("first")),
                new FileDisk(dir.resolve("second")),
                CopyExecutor.SEQUENTIAL,
                64 << 10,
                4_096,
                0.5,
                0,
                List.of(new Namespace("a", 1 << 20, false)),
                1,
                FileStore::currentTime,
                Runnable::run,
                Set.of())) {
            for (int i = 0; i < 30; i++) {
                d.commit(new Batch().put("a", ("k" + i).getBytes(), ("v" + i).getBytes()));
            }
        }
    }

    @Test
    void wrongUseIsTwoAndSaysWhatIsWrong() {
        assertEquals(2, run());
        assertTrue(err.toString().contains("a subcommand is needed"), err.toString());
        assertEquals(2, run("durabel"));
        assertTrue(err.toString().contains("durabel"), err.toString());
        assertEquals(2, run("durable", "info"));
        assertTrue(err.toString().contains("--dir"), err.toString());
        assertEquals(2, run("durable", "drill", "--dir", "x", "--without", "hope"));
        assertTrue(err.toString().contains("--without"), err.toString());
    }

    @Test
    void helpAndVersionAreZero() {
        assertEquals(0, run("--version"));
        assertTrue(out.toString().matches("(?s)tallyweir [0-9].*"), out.toString());
        for (String[] of : new String[][] {
            {"--help"},
            {"serve", "--help"},
            {"durable", "--help"},
            {"durable", "drill", "--help"},
            {"durable", "bench", "--help"},
            {"help", "durable"}
        }) {
            assertEquals(0, run(of));
            assertTrue(out.toString().contains("Usage"), out.toString());
        }
    }

    @Test
    void aStoreInUseIsAskedAboutAtItsAdminSocket(@TempDir Path dir) throws IOException {
        Path at = dir.resolve("store");
        String store = at.toString();
        fill(at);
        try (FileStore s = new FileStore(
                at.resolve("first"),
                at.resolve("second"),
                64 << 10,
                4_096,
                0.5,
                0,
                1 << 20,
                0,
                64 << 20,
                List.of(new Namespace("a", 1 << 20, false)))) {
            assertEquals(1, run("durable", "info", "--dir", store));
            assertTrue(err.toString().contains("is open in this process"), err.toString());
            s.openAdminSocket(at.resolve("desk"), java.util.Map.of());
            assertEquals(0, run("durable", "info", "--dir", store, "--json"), err.toString());
            assertTrue(out.toString().contains("\"keys\":30"), out.toString());
            assertEquals(0, run("durable", "get", "--dir", store, "--namespace", "a", "k7"));
            assertTrue(out.toString().contains("value_hex: 7637"), out.toString());
            assertEquals(1, run("durable", "get", "--dir", store, "--namespace", "a", "none"));
            assertEquals(0, run("durable", "list", "--dir", store, "--namespace", "a", "--from", "k1", "--to", "k13"));
            assertEquals(4, out.toString().lines().count(), out.toString());
            assertEquals(0, run("durable", "list", "--dir", store, "--namespace", "a", "--limit", "29"));
            assertTrue(err.toString().contains("there are more"), err.toString());
            assertEquals(0, run("durable", "verify", "--dir", store));
            assertTrue(out.toString().contains("unrepaired: 0"), out.toString());
            assertEquals(
                    0,
                    run(
                            "durable",
                            "backup",
                            "--dir",
                            store,
                            "--to",
                            dir.resolve("copy").toString()));
            assertTrue(out.toString().contains("records: 30"), out.toString());
            assertEquals(1, run("durable", "repair", "--dir", store));
        }
        assertEquals(0, run("durable", "verify", "--dir", dir.resolve("copy").toString()));
    }

    @Test
    void aStoreIsLookedAtMendedCopied(@TempDir Path dir) throws IOException {
        String store = dir.resolve("store").toString();
        assertEquals(1, run("durable", "info", "--dir", store));
        assertTrue(err.toString().contains("there is no store"), err.toString());
        fill(dir.resolve("store"));
        assertEquals(0, run("durable", "info", "--dir", store, "--json"));
        assertTrue(out.toString().contains("\"keys\":30"), out.toString());
        assertEquals(0, run("durable", "get", "--dir", store, "--namespace", "a", "k7"));
        assertTrue(out.toString().contains("value_hex: 7637"), out.toString());
        assertEquals(1, run("durable", "get", "--dir", store, "--namespace", "a", "none"));
        assertEquals(2, run("durable", "get", "--dir", store, "--namespace", "b", "k7"));
        assertEquals(0, run("durable", "list", "--dir", store, "--namespace", "a", "--from", "k2", "--to", "k3"));
        assertEquals(11, out.toString().lines().count());
        assertEquals(2, run("durable", "list", "--dir", store, "--namespace", "a", "--since", "yesterday"));
        assertEquals(0, run("durable", "list", "--dir", store, "--namespace", "a", "--since", "2026-01-01T00:00:00Z"));
        assertEquals(30, out.toString().lines().count(), "what was written since is not listed");

        Path file = dir.resolve("store/second/0000000001.seg");
        byte[] whole = Files.readAllBytes(file);
        byte[] damaged = whole.clone();
        damaged[4_096 * 3 + 40] ^= 1;
        Files.write(file, damaged);
        assertEquals(1, run("durable", "verify", "--dir", store));
        assertTrue(out.toString().contains("damaged_in_one_copy: 1"), out.toString());
        assertEquals(0, run("durable", "repair", "--dir", store));
        assertTrue(out.toString().contains("repaired: 1"), out.toString());
        assertEquals(0, run("durable", "verify", "--dir", store));

        String backup = dir.resolve("backup").toString();
        String back = dir.resolve("back").toString();
        assertEquals(0, run("durable", "backup", "--dir", store, "--to", backup));
        assertEquals(1, run("durable", "backup", "--dir", store, "--to", backup));
        assertTrue(err.toString().contains("is not empty"), err.toString());
        assertEquals(0, run("durable", "restore", "--dir", backup, "--to", back));
        assertEquals(0, run("durable", "list", "--dir", back, "--namespace", "a"));
        assertEquals(30, out.toString().lines().count());
        assertEquals(0, run("durable", "compact", "--dir", store, "--json"));
        assertTrue(out.toString().contains("moved_bytes"), out.toString());
    }

    @Test
    void whatIsPrintedAsJsonIsJson(@TempDir Path dir) throws IOException {
        fill(dir);
        for (String[] of : new String[][] {{"info"}, {"verify"}, {"repair"}, {"compact"}}) {
            assertEquals(0, run("durable", of[0], "--dir", dir.toString(), "--json"));
            List<String> tokens = new ArrayList<>();
            try (JsonParser in = new JsonFactory().createParser(out.toString())) {
                while (in.nextToken() != null) {
                    tokens.add(in.currentToken().toString());
                }
            }
            assertTrue(tokens.size() > 4, out.toString());
        }
    }

    /** The last line is the verdict, and a defence switched off is a failure. */
    @Test
    void theDrillFailsWithoutADefence(@TempDir Path dir) {
        assertEquals(1, run("durable", "drill", "--seed", "1", "--dir", dir.toString(), "--without", "second_copy"));
        List<String> lines = out.toString().lines().toList();
        assertTrue(lines.get(lines.size() - 1).startsWith("durable drill: openings "), out.toString());
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("wrong: ")), out.toString());
    }

    /** The real program, killed between its stand-ins, in a few seconds. */
    @Test
    void nothingRunsTwiceWhenProgramAndKernelAreKilled(@TempDir Path dir) {
        assertEquals(
                0, run("results", "drill", "--seed", "4", "--seconds", "6", "--dir", dir.toString()), out::toString);
        List<String> lines = out.toString().lines().toList();
        assertTrue(
                lines.get(lines.size() - 1)
                        .matches("results drill: kills [1-9].* ran twice 0, answers differing 0, "
                                + "unanswered 0, over bound 0, .*"),
                out.toString());
    }

    @Test
    void withoutKeptResultsTheSameDrillFails(@TempDir Path dir) {
        assertEquals(
                1,
                run("results", "drill", "--seed", "4", "--seconds", "6", "--dir", dir.toString(), "--results", "off"),
                out::toString);
    }

    /** The first events of this seed have the program taken over from while it stands still. */
    @Test
    void withoutTheFenceWhoeverIsTakenOverFromStays(@TempDir Path dir) {
        assertEquals(
                1,
                run(
                        "results",
                        "drill",
                        "--seed",
                        "1",
                        "--seconds",
                        "12",
                        "--dir",
                        dir.toString(),
                        "--without",
                        "FENCE"),
                out::toString);
        assertTrue(out.toString().contains("taken over from and stayed 1"), out.toString());
    }

    @Test
    void whatNobodyCouldTellIsSettledByHandAlsoInService(@TempDir Path dir) throws IOException {
        Path at = dir.resolve("store");
        String store = at.toString();
        Path result = Files.writeString(dir.resolve("result"), "slot 7");
        List<Namespace> spaces = List.of(
                new Namespace(DurableResultStore.RESULTS, 1 << 20, false),
                new Namespace(DurableResultStore.INTENTS, 1 << 20, false),
                new Namespace(Settling.AUDIT, 1 << 20, false));
        try (FileStore s = new FileStore(
                at.resolve("first"), at.resolve("second"), 1 << 20, 4_096, 0.5, 0, 1 << 20, 0, 1 << 20, spaces)) {
            for (int i = 0; i < 4; i++) {
                Batch b = new Batch();
                DurableResultStore.put(
                        b,
                        DurableResultStore.idempotencyKey("reset", "m" + i),
                        new JobId("j"),
                        1,
                        i == 3 ? Known.GOOD : Known.UNKNOWN,
                        i == 3 ? new byte[] {1} : null,
                        FileStore.currentTime() + 36_000_000);
                s.committer().write(b);
            }
            java.util.Map<String, tallyweir.durable.AdminSocket.Command> verbs =
                    Settling.commands(s.store(), s.committer());
            s.openAdminSocket(at.resolve("desk"), verbs);
            assertEquals(0, settle(store, "m0", "ran", "--result", result.toString()), err.toString());
            assertEquals(1, settle(store, "m3", "never-ran"));
            assertTrue(err.toString().contains("its outcome is known"), err.toString());
            assertEquals(0, run("results", "stats", "--dir", store));
            assertTrue(out.toString().contains("unknown: 2"), out.toString());
            assertEquals(0, run("results", "show", "--dir", store, "--workload", "reset", "m0"));
            assertTrue(out.toString().contains("result_bytes: 6"), out.toString());
        }
        assertEquals(0, settle(store, "m1", "never-ran"), err.toString());
        assertEquals(1, run("results", "show", "--dir", store, "--workload", "reset", "m1"));
        assertEquals(
                0, run("results", "expire", "--dir", store, "--workload", "reset", "m3", "--by", "amal", "--why", "x"));
        assertEquals(2, settle(store, "m2", "perhaps"));
        assertEquals(2, settle(store, "m2", "ran"));
        assertEquals(2, run("results", "settle", "--dir", store, "--workload", "reset", "m2", "--as", "ran-badly"));
        assertEquals(0, run("results", "export", "--dir", store));
        assertEquals(2, out.toString().lines().count(), out.toString());
        assertTrue(out.toString().contains("\"result_hex\":\"736c6f742037\""), out.toString());
        assertEquals(0, run("results", "export", "--dir", store, "--outcome", "unknown"));
        assertTrue(out.toString().contains("\"mark\":\"m2\""), out.toString());
        assertEquals(2, run("results", "export", "--dir", store, "--outcome", "some"));
        assertEquals(0, run("results", "audit", "--dir", store));
        assertEquals(3, out.toString().lines().count(), out.toString());
        assertTrue(out.toString().contains("m1\tnever_ran\tamal\tlooked"), out.toString());
    }

    private int settle(String store, String mark, String as, String... more) {
        List<String> words = new ArrayList<>(List.of(
                "results",
                "settle",
                "--dir",
                store,
                "--workload",
                "reset",
                mark,
                "--as",
                as,
                "--by",
                "amal",
                "--why",
                "looked"));
        words.addAll(List.of(more));
        return run(words.toArray(String[]::new));
    }

    @Test
    void sizesAndExplorations() {
        assertEquals(0, run("results", "size", "--rate", "100", "--window", "3600", "--bytes", "500"));
        assertTrue(out.toString().contains("marks: 360000"), out.toString());
        assertEquals(2, run("results", "size", "--rate", "0", "--window", "3600", "--bytes", "500"));
        assertEquals(0, run("results", "explore", "--copies", "2"));
        assertTrue(out.toString().contains("wrong 0"), out.toString());
        assertEquals(1, run("results", "explore", "--copies", "2", "--without", "order"));
        assertEquals(2, run("results", "explore", "--copies", "9"));
    }
}
